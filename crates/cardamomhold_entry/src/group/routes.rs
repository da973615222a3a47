//! How a group's task reaches each member: directly or through an owner of its connections.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::share;

use crate::owners;
use crate::registry;

/// How long an owner is avoided after a failure.
const PASS_OVER: time::Duration = time::Duration::from_millis(300);

/// Consecutive failures of every owner after which an instance opens connections itself.
/// Owners that restart together are back sooner.
const GIVE_UP: u32 = 4;

/// Time after the last failure at which an owner's failures are forgotten.
const FORGET: time::Duration = time::Duration::from_millis(3_000);

/// This instance's position in the fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place<'a> {
    pub(super) own: &'a name::InstanceName,
    pub(super) zone: &'a str,
    pub(super) fleet: &'a registry::Instances,
    /// Connections that each member accepts from all instances.
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
    /// Consecutive failures.
    failures: u32,
    last: Timestamp,
}

impl Suspect {
    fn until(self) -> Timestamp {
        self.last.after(PASS_OVER)
    }
}

/// The routes to the members of a group.
#[derive(Debug, Default)]
pub(super) struct Routes {
    ways: collections::BTreeMap<name::MemberName, Via>,
    suspects: collections::BTreeMap<name::InstanceName, Suspect>,
    /// When the routes must be recomputed.
    wake: Option<Timestamp>,
}

impl Routes {
    /// Clears the routes before they are recomputed, and forgets old failures.
    pub(super) fn renew(&mut self, now: Timestamp) {
        self.ways.clear();
        self.suspects.retain(|_, s| now < s.last.after(FORGET));
        let ends = self.suspects.values().map(|s| s.until());
        self.wake = ends.filter(|until| *until > now).min();
    }

    /// Returns this instance's share of a member's connections, and stores the member's route if
    /// it goes through an owner.
    pub(super) fn share(&mut self, member: &name::MemberName, place: &Place<'_>) -> share::Share {
        if let Some(own) = share::equal(place.connections, place.fleet.len()) {
            return share::Share::Owned(own);
        }
        let owners = owners::of_member(place.fleet, place.zone, member);
        if owners.contains(&place.own) {
            let all = owners::count(place.fleet);
            return share::Share::Owned(share::owned(place.connections, all));
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

    /// The first owner that isn't avoided, or else the one whose last failure is the oldest; none
    /// when every owner has reached the limit of failures.
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

    /// Records a failure of the owner on a member's route; false when the member is reached
    /// directly.
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

    /// When the routes must be recomputed.
    pub(super) fn wake(&self) -> Option<Timestamp> {
        self.wake
    }
}
