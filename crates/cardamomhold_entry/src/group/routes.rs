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
const PASS_OVER: time::Duration = time::Duration::from_millis(300);

/// Failures in a row of every owner after which an instance opens connections itself. Owners
/// that restart together are back sooner.
const GIVE_UP: u32 = 4;

/// Time after the last failure from which an owner counts as good again.
const FORGET: time::Duration = time::Duration::from_millis(3_000);

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

/// An owner that failed.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    /// In a row.
    failures: u32,
    last: Timestamp,
}

impl Suspect {
    fn until(self) -> Timestamp {
        self.last.after(PASS_OVER)
    }
}

/// The ways to the members of a group.
#[derive(Debug, Default)]
pub(super) struct Routes {
    ways: collections::BTreeMap<name::MemberName, Via>,
    suspects: collections::BTreeMap<name::InstanceName, Suspect>,
    /// When the ways are to be looked at again.
    wake: Option<Timestamp>,
}

impl Routes {
    /// Begins to look at all ways anew.
    pub(super) fn renew(&mut self, now: Timestamp) {
        self.ways.clear();
        self.suspects.retain(|_, s| now < s.last.after(FORGET));
        let ends = self.suspects.values().map(|s| s.until());
        self.wake = ends.filter(|until| *until > now).min();
    }

    /// This instance's share of a member's connections; takes note of the way there.
    pub(super) fn share(&mut self, member: &name::MemberName, place: &Place<'_>) -> share::Share {
        if let Some(own) = share::per_instance(place.connections, place.fleet.len()) {
            return share::Share::Owned(own);
        }
        let owners = owners::of_member(place.fleet, place.zone, member);
        if owners.contains(&place.own) {
            let all = owners::count(place.fleet);
            return share::Share::Owned(share::per_owner(place.connections, all));
        }
        let Some(owner) = self.choose(place, &owners) else {
            return share::Share::Contended;
        };
        if let Some(entry) = place.fleet.get(owner.as_str()) {
            let via = Via {
                owner: owner.clone(),
                address: entry.address,
            };
            self.ways.insert(member.clone(), via);
        }
        share::Share::Relayed
    }

    /// The first owner that is not passed over, or the one that failed longest ago; none
    /// when all have failed for long.
    fn choose<'a>(
        &self,
        place: &Place<'_>,
        owners: &[&'a name::InstanceName],
    ) -> Option<&'a name::InstanceName> {
        let first = owners::first(place.own, owners.len());
        let mut best: Option<(Timestamp, &name::InstanceName)> = None;
        for at in 0..owners.len() {
            let owner = owners[(first + at) % owners.len()];
            let suspect = self.suspects.get(owner.as_str());
            let Some(suspect) = suspect.filter(|s| place.now < s.until()) else {
                return Some(owner);
            };
            let is_lost = suspect.failures >= GIVE_UP;
            if !is_lost && best.is_none_or(|(last, _)| suspect.last < last) {
                best = Some((suspect.last, owner));
            }
        }
        best.map(|(_, owner)| owner)
    }

    /// The owner's address; none when the member is reached directly.
    pub(super) fn via(&self, member: &name::MemberName) -> Option<net::SocketAddr> {
        self.ways.get(member.as_str()).map(|via| via.address)
    }

    /// Takes note that the owner on the way to a member failed; false when the member is
    /// reached directly.
    pub(super) fn suspect(&mut self, now: Timestamp, member: &name::MemberName) -> bool {
        let Some(via) = self.ways.get(member.as_str()) else {
            return false;
        };
        let known = self.suspects.get(via.owner.as_str());
        let failures = known.map_or(0, |s| s.failures) + 1;
        log::info!(
            "event=owner_passed_over member={member} owner={} failures={failures}",
            via.owner
        );
        let suspect = Suspect {
            failures,
            last: now,
        };
        self.suspects.insert(via.owner.clone(), suspect);
        true
    }

    /// When the ways are to be looked at again.
    pub(super) fn wake(&self) -> Option<Timestamp> {
        self.wake
    }
}
