//! How a group's task comes to each member: directly, or through an owner.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::share;

use crate::owners;
use crate::registry;

/// Time for which an owner that failed is passed over.
const PASS_OVER: time::Duration = time::Duration::from_millis(1_000);

/// Where this instance is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place<'a> {
    pub(super) own: &'a name::InstanceName,
    pub(super) zone: &'a str,
    pub(super) fleet: &'a registry::Instances,
    /// Connections that each member takes.
    pub(super) connections: usize,
    pub(super) now: Timestamp,
}

/// The owner through which a member is reached.
#[derive(Debug)]
struct Via {
    owner: name::InstanceName,
    address: net::SocketAddr,
}

/// The ways to the members of a group.
#[derive(Debug, Default)]
pub(super) struct Routes {
    ways: collections::BTreeMap<name::MemberName, Via>,
    /// Owners that failed for a member, and until when they are passed over.
    suspects: collections::BTreeMap<(name::MemberName, name::InstanceName), Timestamp>,
}

impl Routes {
    /// This instance's share of a member's connections; takes note of the way there.
    pub(super) fn share(&mut self, member: &name::MemberName, place: &Place<'_>) -> share::Share {
        self.ways.remove(member.as_str());
        self.suspects.retain(|_, until| *until > place.now);
        if let Some(own) = share::equal(place.connections, place.fleet.len()) {
            return share::Share::Owned(own);
        }
        let owners = owners::of_member(place.fleet, place.zone, member);
        if owners.contains(&place.own) {
            let all = owners::count(place.fleet);
            return share::Share::Owned(share::owned(place.connections, all));
        }
        let first = owners::first(place.own, owners.len());
        for at in 0..owners.len() {
            let owner = owners[(first + at) % owners.len()];
            let key = (member.clone(), owner.clone());
            let Some(entry) = place.fleet.get(owner.as_str()) else {
                continue;
            };
            if self.suspects.contains_key(&key) {
                continue;
            }
            let via = Via {
                owner: owner.clone(),
                address: entry.address,
            };
            self.ways.insert(member.clone(), via);
            return share::Share::Relayed;
        }
        share::Share::Contended
    }

    /// The owner's address; none when the member is reached directly.
    pub(super) fn via(&self, member: &name::MemberName) -> Option<net::SocketAddr> {
        self.ways.get(member.as_str()).map(|via| via.address)
    }

    /// Takes note that an owner failed; false when the member is reached directly.
    pub(super) fn suspect(&mut self, now: Timestamp, member: &name::MemberName) -> bool {
        let Some(via) = self.ways.remove(member.as_str()) else {
            return false;
        };
        log::info!(
            "event=owner_passed_over member={member} owner={}",
            via.owner
        );
        let until = now.after(PASS_OVER);
        self.suspects.insert((member.clone(), via.owner), until);
        true
    }

    /// When an owner is no longer passed over.
    pub(super) fn wake(&self) -> Option<Timestamp> {
        self.suspects.values().min().copied()
    }
}
