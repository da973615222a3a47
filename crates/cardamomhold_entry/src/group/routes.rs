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
const AVOIDANCE_PERIOD: time::Duration = time::Duration::from_millis(300);

/// Consecutive failures of every owner after which an instance opens connections itself. Owners
/// that restart at the same time are available again before they reach this number.
const MAX_FAILURES: u32 = 4;

/// Time after the last failure at which an owner's failures are forgotten.
const FAILURE_RETENTION: time::Duration = time::Duration::from_millis(3_000);

/// Inputs of the routes' computation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Inputs<'a> {
    pub(super) own: &'a name::InstanceName,
    pub(super) zone: &'a str,
    pub(super) fleet: &'a registry::Instances,
    /// Connections that each member accepts from all instances.
    pub(super) connections: usize,
    pub(super) now: Timestamp,
}

/// The owner through which a member is reached.
#[derive(Debug)]
struct Route {
    owner: name::InstanceName,
    address: net::SocketAddr,
}

/// An owner that failed.
#[derive(Debug, Clone, Copy)]
struct FailedOwner {
    /// Consecutive failures.
    failures: u32,
    last: Timestamp,
}

impl FailedOwner {
    fn avoided_until(self) -> Timestamp {
        self.last.after(AVOIDANCE_PERIOD)
    }
}

/// The routes to the members of a group.
#[derive(Debug, Default)]
pub(super) struct Routes {
    by_member: collections::BTreeMap<name::MemberName, Route>,
    failed_owners: collections::BTreeMap<name::InstanceName, FailedOwner>,
    /// When the routes must be recomputed.
    next_wakeup: Option<Timestamp>,
}

impl Routes {
    /// Clears the routes before they are recomputed, and forgets old failures.
    pub(super) fn reset(&mut self, now: Timestamp) {
        self.by_member.clear();
        self.failed_owners
            .retain(|_, f| now < f.last.after(FAILURE_RETENTION));
        let ends = self.failed_owners.values().map(|f| f.avoided_until());
        self.next_wakeup = ends.filter(|until| *until > now).min();
    }

    /// Returns this instance's share of a member's connections, and stores the member's route
    /// if it goes through an owner.
    pub(super) fn share(&mut self, member: &name::MemberName, inputs: &Inputs<'_>) -> share::Share {
        if let Some(own_share) = share::per_instance(inputs.connections, inputs.fleet.len()) {
            return share::Share::Owned(own_share);
        }
        let owners = owners::of_member(inputs.fleet, inputs.zone, member);
        if owners.contains(&inputs.own) {
            let owner_count = owners::count(inputs.fleet);
            return share::Share::Owned(share::per_owner(inputs.connections, owner_count));
        }
        let Some(owner) = self.choose(inputs, &owners) else {
            return share::Share::Contended;
        };
        if let Some(entry) = inputs.fleet.get(owner.as_str()) {
            let route = Route {
                owner: owner.clone(),
                address: entry.address,
            };
            self.by_member.insert(member.clone(), route);
        }
        share::Share::Relayed
    }

    /// The first owner that isn't avoided. If all are, the one that failed longest ago, without
    /// those that have reached [`MAX_FAILURES`]; none when every owner has.
    fn choose<'a>(
        &self,
        inputs: &Inputs<'_>,
        owners: &[&'a name::InstanceName],
    ) -> Option<&'a name::InstanceName> {
        let start_index = owners::start_index(inputs.own, owners.len());
        let mut best: Option<(Timestamp, &name::InstanceName)> = None;
        for offset in 0..owners.len() {
            let owner = owners[(start_index + offset) % owners.len()];
            let failed = self.failed_owners.get(owner.as_str());
            let Some(failed) = failed.filter(|f| inputs.now < f.avoided_until()) else {
                return Some(owner);
            };
            let is_excluded = failed.failures >= MAX_FAILURES;
            if !is_excluded && best.is_none_or(|(last, _)| failed.last < last) {
                best = Some((failed.last, owner));
            }
        }
        best.map(|(_, owner)| owner)
    }

    /// The owner's address; none when the member is reached directly.
    pub(super) fn via(&self, member: &name::MemberName) -> Option<net::SocketAddr> {
        self.by_member
            .get(member.as_str())
            .map(|route| route.address)
    }

    /// Records a failure of the owner on a member's route; false when the member is reached
    /// directly.
    pub(super) fn record_failure(&mut self, now: Timestamp, member: &name::MemberName) -> bool {
        let Some(route) = self.by_member.get(member.as_str()) else {
            return false;
        };
        let known = self.failed_owners.get(route.owner.as_str());
        let failures = known.map_or(0, |f| f.failures) + 1;
        log::info!(
            "event=owner_passed_over member={member} owner={} failures={failures}",
            route.owner
        );
        let failed = FailedOwner {
            failures,
            last: now,
        };
        self.failed_owners.insert(route.owner.clone(), failed);
        true
    }

    /// When the routes must be recomputed.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.next_wakeup
    }
}
