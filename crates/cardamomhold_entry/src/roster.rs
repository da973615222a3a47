//! The members as their entries show them, and those whose entries lapsed while the store
//! was away.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::needs;
use crate::view;

type Members = collections::BTreeMap<name::MemberName, view::Member>;

/// The members of all groups.
#[derive(Debug, Default)]
pub struct Roster {
    listed: Members,
    /// Members without an entry, and when that was seen or the store was last away.
    missing: collections::BTreeMap<name::MemberName, (view::Member, Timestamp)>,
}

impl Roster {
    /// Takes the entries that the store has now.
    pub fn take(&mut self, now: Timestamp, listed: Members) {
        for (name, member) in &self.listed {
            if listed.contains_key(name.as_str()) {
                continue;
            }
            log::info!("event=member_missing member={name} group={}", member.group);
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
    }

    /// Entries that lapse while the store is away say nothing.
    pub fn hold(&mut self, now: Timestamp) {
        for (_, since) in self.missing.values_mut() {
            *since = now;
        }
    }

    /// Whether members without an entry are still counted.
    pub fn is_holding(&self) -> bool {
        !self.missing.is_empty()
    }

    /// The members to work with.
    pub fn members(&mut self, now: Timestamp) -> Members {
        self.missing.retain(|name, (_, since)| {
            let is_kept = now < since.after(needs::GONE_AFTER);
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
