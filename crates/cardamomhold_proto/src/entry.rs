//! Converts between messages of the operators' service and configuration objects.

use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::spec;

use crate::operator as schema;

/// Parses the name of an object; `None` when the kind is unspecified or the name is invalid.
pub fn decode_name(kind: schema::Kind, text: &str) -> Option<object::ObjectName> {
    Some(match kind {
        schema::Kind::Group => object::ObjectName::Group(name::GroupName::parse(text).ok()?),
        schema::Kind::Rank => object::ObjectName::Rank(text.parse::<rank::Rank>().ok()?),
        schema::Kind::ReadKind => object::ObjectName::ReadKind(name::KindName::parse(text).ok()?),
        schema::Kind::Caller => object::ObjectName::Caller(name::CallerName::parse(text).ok()?),
        schema::Kind::StopRule => object::ObjectName::StopRule,
        schema::Kind::Leadership => {
            object::ObjectName::Leadership(name::GroupName::parse(text).ok()?)
        }
        schema::Kind::Unspecified => return None,
    })
}

/// Decodes the content of an object.
///
/// # Errors
/// The path of the rejected field.
pub fn decode_spec(entry: &schema::Entry) -> Result<object::Spec, String> {
    use schema::entry::Spec;
    Ok(match entry.spec.as_ref().ok_or("spec")? {
        Spec::Group(group) => object::Spec::Group(decode_group(group)?),
        Spec::Rank(rule) => object::Spec::Rank(object::RankRule {
            share_percent: rule.share_percent,
            target_ms: rule.target_ms,
            deadline_ms: rule.deadline_ms,
            queue: rule.queue,
        }),
        Spec::ReadKind(kind) => object::Spec::ReadKind(object::ReadRule {
            staleness_ms: kind.staleness_ms,
        }),
        Spec::Caller(rule) => object::Spec::Caller(object::CallerRule {
            weight: rule.weight,
            connections: rule.connections,
        }),
        Spec::StopRule(rule) => object::Spec::StopRule(object::StopRule {
            notice_ms: rule.notice_ms,
            grace_ms: rule.grace_ms,
            idle_ms: rule.idle_ms,
        }),
        Spec::Leadership(_) => return Err("kind".to_owned()),
    })
}

fn decode_group(group: &schema::Group) -> Result<spec::GroupSpec, String> {
    let mut members = Vec::new();
    for (i, member) in group.members.iter().enumerate() {
        let path = |field: &str| format!("members[{i}].{field}");
        members.push(spec::MemberSpec {
            name: name::MemberName::parse(&member.name).map_err(|_| path("name"))?,
            zone: name::ZoneName::parse(&member.zone).map_err(|_| path("zone"))?,
            address: member.address.clone(),
            draining: member.draining,
        });
    }
    Ok(spec::GroupSpec {
        members,
        slots: group.slots,
        connections: group.connections,
        key_retention_s: group.key_retention_s,
    })
}

/// Encodes an object.
pub fn encode_entry(name: &object::ObjectName, entry: &config::Entry) -> schema::Entry {
    let base = empty_entry(name);
    let without_content = schema::Entry {
        version: entry.change.version,
        removed: entry.change.removed,
        ..base
    };
    let Some(envelope) = &entry.envelope else {
        return without_content;
    };
    schema::Entry {
        author: envelope.author.clone(),
        changed_ms: change_time(&envelope.change),
        change: envelope.change.clone(),
        spec: Some(encode_spec(&envelope.spec)),
        ..without_content
    }
}

/// Encodes the default of an object that operators have not set; `None` when it has none.
pub fn encode_default(name: &object::ObjectName) -> Option<schema::Entry> {
    let spec = object::default_of(name)?;
    Some(schema::Entry {
        spec: Some(encode_spec(&spec)),
        ..empty_entry(name)
    })
}

/// Encodes an object and its earlier changes, the newest first.
pub fn encode_history(name: &object::ObjectName, entry: &config::Entry) -> Vec<schema::Entry> {
    let mut entries = vec![encode_entry(name, entry)];
    for past in entry.envelope.iter().flat_map(|e| &e.history) {
        entries.push(schema::Entry {
            version: past.version,
            author: past.author.clone(),
            changed_ms: change_time(&past.change),
            change: past.change.clone(),
            spec: Some(encode_spec(&past.spec)),
            ..empty_entry(name)
        });
    }
    entries
}

fn empty_entry(name: &object::ObjectName) -> schema::Entry {
    let (kind, text) = match name {
        object::ObjectName::Group(name) => (schema::Kind::Group, name.to_string()),
        object::ObjectName::Rank(rank) => (schema::Kind::Rank, rank.to_string()),
        object::ObjectName::ReadKind(name) => (schema::Kind::ReadKind, name.to_string()),
        object::ObjectName::Caller(name) => (schema::Kind::Caller, name.to_string()),
        object::ObjectName::StopRule => (schema::Kind::StopRule, "default".to_owned()),
        object::ObjectName::Leadership(name) => (schema::Kind::Leadership, name.to_string()),
    };
    schema::Entry {
        kind: kind.into(),
        name: text,
        ..Default::default()
    }
}

/// Returns the time in a change's identity, in milliseconds since 1970; 0 when it has none.
fn change_time(change: &str) -> u64 {
    let timestamp = change
        .parse::<uuid::Uuid>()
        .ok()
        .and_then(|id| id.get_timestamp());
    let Some(timestamp) = timestamp else {
        return 0;
    };
    let (seconds, nanos) = timestamp.to_unix();
    seconds * 1_000 + u64::from(nanos) / 1_000_000
}

/// Encodes the content of an object.
pub fn encode_spec(spec: &object::Spec) -> schema::entry::Spec {
    use schema::entry::Spec;
    match spec {
        object::Spec::Group(group) => Spec::Group(schema::Group {
            members: group.members.iter().map(encode_member).collect(),
            slots: group.slots,
            connections: group.connections,
            key_retention_s: group.key_retention_s,
        }),
        object::Spec::Rank(rule) => Spec::Rank(schema::RankRule {
            share_percent: rule.share_percent,
            target_ms: rule.target_ms,
            deadline_ms: rule.deadline_ms,
            queue: rule.queue,
        }),
        object::Spec::ReadKind(rule) => Spec::ReadKind(schema::ReadKind {
            staleness_ms: rule.staleness_ms,
        }),
        object::Spec::Caller(rule) => Spec::Caller(schema::CallerLimit {
            weight: rule.weight,
            connections: rule.connections,
        }),
        object::Spec::StopRule(rule) => Spec::StopRule(schema::StopRule {
            notice_ms: rule.notice_ms,
            grace_ms: rule.grace_ms,
            idle_ms: rule.idle_ms,
        }),
        object::Spec::Leadership(leadership) => Spec::Leadership(schema::Leadership {
            term: leadership.term.0,
            primary: leadership
                .primary
                .as_ref()
                .map(|p| p.to_string())
                .unwrap_or_default(),
            wanted: leadership
                .wanted
                .as_ref()
                .map(|p| p.to_string())
                .unwrap_or_default(),
        }),
    }
}

fn encode_member(member: &spec::MemberSpec) -> schema::Member {
    schema::Member {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        address: member.address.clone(),
        draining: member.draining,
    }
}
