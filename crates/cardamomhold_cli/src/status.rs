//! Formats the status as tables for people and as JSON for scripts.

use std::collections;

use cardamomhold_proto::operator as schema;
use serde_json::Value;

use crate::table;

/// Whether every group has a reachable primary of its term and no switchover is under way, and
/// no draining member has waiting or running statements.
pub fn is_settled(status: &schema::StatusReply) -> bool {
    status.groups.iter().all(|group| {
        let is_primary = |m: &schema::MemberStatus| {
            m.name == group.primary && m.reachable && m.role == "primary" && m.term == group.term
        };
        let is_busy = |m: &schema::MemberStatus| m.draining && m.waiting + m.running > 0;
        let has_no_switchover = group.wanted.is_empty();
        has_no_switchover
            && group.members.iter().any(is_primary)
            && !group.members.iter().any(is_busy)
    })
}

/// Formats the status as tables.
pub fn render(status: &schema::StatusReply) -> String {
    let platform = if status.platform_reachable {
        "reachable"
    } else {
        "out of reach"
    };
    let mut text = format!(
        "seen by {} in zone {}: configuration {}, platform {platform}\n\n",
        status.instance, status.zone, status.config_version
    );
    text += &group_table(status);
    text.push('\n');
    text += &member_table(status);
    text.push('\n');
    text += &instance_table(status);
    text.push('\n');
    text += &zone_table(status);
    text
}

/// Counts of a zone's instances and members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Instances in the state `alive`.
    pub alive: usize,
    /// All listed instances.
    pub instances: usize,
    /// Members that the queried instance can reach.
    pub reachable: usize,
    /// All members.
    pub members: usize,
}

/// Counts the instances and members of each zone; sorted by name.
pub fn zones_of(status: &schema::StatusReply) -> Vec<Zone> {
    let mut zones = collections::BTreeMap::<&str, Zone>::new();
    for instance in &status.instances {
        let zone = zones.entry(&instance.zone).or_default();
        zone.instances += 1;
        zone.alive += usize::from(instance.state == "alive");
    }
    for member in status.groups.iter().flat_map(|g| &g.members) {
        let zone = zones.entry(&member.zone).or_default();
        zone.members += 1;
        zone.reachable += usize::from(member.reachable);
    }
    let mut list = Vec::new();
    for (name, zone) in zones {
        let name = name.to_owned();
        list.push(Zone { name, ..zone });
    }
    list
}

fn zone_table(status: &schema::StatusReply) -> String {
    let mut rows = Vec::new();
    for zone in zones_of(status) {
        rows.push([
            zone.name,
            format!("{}/{}", zone.alive, zone.instances),
            format!("{}/{}", zone.reachable, zone.members),
        ]);
    }
    table::render(["ZONE", "ALIVE", "REACHABLE"], &rows)
}

fn group_table(status: &schema::StatusReply) -> String {
    let mut rows = Vec::new();
    for group in &status.groups {
        let reachable = group.members.iter().filter(|m| m.reachable).count();
        let primary = match (group.primary.as_str(), group.wanted.as_str()) {
            ("", _) => "none".to_owned(),
            (name, "") => name.to_owned(),
            (name, wanted) => format!("{name} -> {wanted}"),
        };
        rows.push([
            group.name.clone(),
            group.term.to_string(),
            primary,
            format!("{reachable}/{}", group.members.len()),
        ]);
    }
    table::render(["GROUP", "TERM", "PRIMARY", "REACHABLE"], &rows)
}

fn member_table(status: &schema::StatusReply) -> String {
    let mut rows = Vec::new();
    for group in &status.groups {
        for member in &group.members {
            let state = match (member.reachable, member.draining) {
                (false, _) => "unreachable",
                (true, true) => "draining",
                (true, false) => "up",
            };
            rows.push([
                member.name.clone(),
                group.name.clone(),
                member.zone.clone(),
                member.role.clone(),
                state.to_owned(),
                member.received.to_string(),
                member.applied.to_string(),
                member.owner.clone(),
                member.waiting.to_string(),
                member.running.to_string(),
            ]);
        }
    }
    let header = [
        "MEMBER", "GROUP", "ZONE", "ROLE", "STATE", "RECEIVED", "APPLIED", "OWNER", "WAITING",
        "RUNNING",
    ];
    table::render(header, &rows)
}

fn instance_table(status: &schema::StatusReply) -> String {
    let mut rows = Vec::new();
    for instance in &status.instances {
        rows.push([
            instance.name.clone(),
            instance.zone.clone(),
            instance.state.clone(),
        ]);
    }
    table::render(["INSTANCE", "ZONE", "STATE"], &rows)
}

/// Formats the status as JSON.
pub fn json(status: &schema::StatusReply) -> Value {
    let groups: Vec<Value> = status.groups.iter().map(group_json).collect();
    let mut instances = Vec::new();
    for instance in &status.instances {
        instances.push(serde_json::json!({
            "name": instance.name, "zone": instance.zone, "state": instance.state,
        }));
    }
    let mut zones = Vec::new();
    for zone in zones_of(status) {
        zones.push(serde_json::json!({
            "name": zone.name, "alive": zone.alive, "instances": zone.instances,
            "reachable": zone.reachable, "members": zone.members,
        }));
    }
    serde_json::json!({
        "zones": zones,
        "instance": status.instance,
        "zone": status.zone,
        "config_version": status.config_version,
        "platform_reachable": status.platform_reachable,
        "settled": is_settled(status),
        "groups": groups,
        "instances": instances,
    })
}

fn group_json(group: &schema::GroupStatus) -> Value {
    let mut members = Vec::new();
    for member in &group.members {
        members.push(serde_json::json!({
            "name": member.name, "zone": member.zone, "role": member.role,
            "term": member.term, "received": member.received, "applied": member.applied,
            "reachable": member.reachable, "draining": member.draining,
            "owner": member.owner, "waiting": member.waiting, "running": member.running,
        }));
    }
    serde_json::json!({
        "name": group.name, "term": group.term, "primary": group.primary,
        "wanted": group.wanted, "members": members,
    })
}
