//! The members by their entries in the store, including those whose entries recently
//! disappeared, as entries may expire during a store outage.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::durability;

use crate::failovers;
use crate::view;

type Members = collections::BTreeMap<name::MemberName, view::Member>;

/// How long a member without an entry counts as one that may alone hold acknowledged commits, unless
/// another one has taken over its address. While the primary serves, the other replicas receive them
/// within seconds.
const DEPARTED_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// The members of all groups.
#[derive(Debug, Default)]
pub struct Roster {
    listed: Members,
    /// Members without an entry, with the time when the entry disappeared or the store last
    /// failed to answer, whichever is later.
    missing: collections::BTreeMap<name::MemberName, (view::Member, Timestamp)>,
    /// Members without an entry, with the time when it disappeared.
    departed: collections::BTreeMap<name::MemberName, (view::Member, Timestamp)>,
}

impl Roster {
    /// Replaces the entries by those that the store has now.
    pub fn update(&mut self, now: Timestamp, listed: Members) {
        for (name, member) in &self.listed {
            if listed.contains_key(name.as_str()) {
                continue;
            }
            log::info!("event=member_missing member={name} group={}", member.group);
            self.departed.insert(name.clone(), (member.clone(), now));
            if member.state == view::MemberState::Ready {
                self.missing.insert(name.clone(), (member.clone(), now));
            }
        }
        for (name, member) in &listed {
            self.missing.remove(name.as_str());
            let known = self.listed.get(name.as_str());
            if known.is_none_or(|k| k.state != member.state || k.is_primary != member.is_primary) {
                log::info!(
                    "event=member member={name} group={} zone={} state={:?} is_primary={} address={}",
                    member.group,
                    member.zone,
                    member.state,
                    member.is_primary,
                    member.address
                );
            }
        }
        self.listed = listed;
        self.prune_departed(now);
    }

    /// Drops departed members that are listed again, are replaced at their address, or left long ago.
    fn prune_departed(&mut self, now: Timestamp) {
        if self.departed.is_empty() {
            return;
        }
        let listed = self.listed.values();
        let taken: collections::HashSet<_> = listed.map(|m| (&m.group, m.address)).collect();
        self.departed.retain(|name, (member, since)| {
            let is_old = now >= since.after(DEPARTED_LIFETIME);
            let is_replaced = taken.contains(&(&member.group, member.address));
            !is_old && !is_replaced && !self.listed.contains_key(name.as_str())
        });
    }

    /// Members of a group without an entry whose logs nobody else is known to have.
    pub fn departed(&self, now: Timestamp, group: &name::GroupName) -> Vec<durability::Holder> {
        let mut holders = Vec::new();
        for (member, since) in self.departed.values() {
            if member.group != *group || now >= since.after(DEPARTED_LIFETIME) {
                continue;
            }
            holders.push(durability::Holder {
                member: member.name.clone(),
                address: member.address,
            });
        }
        holders
    }

    /// Restarts the timeouts of missing entries: entries that expire during a store outage don't
    /// show that the member is gone.
    pub fn restart_timeouts(&mut self, now: Timestamp) {
        for (_, since) in self.missing.values_mut() {
            *since = now;
        }
    }

    /// Whether members without an entry are still included.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// All current members; drops those whose entry has been missing for too long.
    pub fn members(&mut self, now: Timestamp) -> Members {
        self.missing.retain(|name, (_, since)| {
            let is_kept = now < since.after(failovers::MISSING_ENTRY_TIMEOUT);
            if !is_kept {
                log::info!("event=member_gone member={name}");
            }
            is_kept
        });
        let mut members = self.listed.clone();
        for (name, (member, _)) in &self.missing {
            members.insert(name.clone(), member.clone());
        }
        members
    }
}
