//! How a group's task reaches each member: through an owner of its connections, or directly.

use std::collections;
use std::sync;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::share;

use crate::group::standing;
use crate::link;
use crate::owners;
use crate::registry;
use crate::view;

/// Inputs of the routes' computation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Inputs<'a> {
    pub(super) own: &'a name::InstanceName,
    pub(super) fleet: &'a sync::Arc<registry::Instances>,
}

/// A member's zone and its owners, as long as the registered instances stay the same.
#[derive(Debug)]
struct Owners {
    zone: String,
    names: Vec<name::InstanceName>,
    /// Whether this instance serves the member for others: as one of the owners, or as a successor
    /// of theirs.
    is_served: bool,
}

/// The routes to the members of a group.
#[derive(Debug, Default)]
pub(super) struct Routes {
    by_member: collections::BTreeMap<name::MemberName, link::Owner>,
    /// The instances from which `owners` was computed.
    fleet: sync::Arc<registry::Instances>,
    owners: collections::BTreeMap<name::MemberName, Owners>,
    /// Instances that leave, which own nothing.
    leaving: sync::Arc<collections::BTreeSet<name::InstanceName>>,
    standings: standing::Standings,
}

impl Routes {
    /// Clears the routes before they are recomputed.
    pub(super) fn reset(&mut self, now: Timestamp, view: &view::View) {
        self.by_member.clear();
        if self.leaving != view.leaving {
            self.leaving = view.leaving.clone();
            self.owners.clear();
            self.standings.set_leaving(now, &self.leaving);
        }
        if sync::Arc::ptr_eq(&self.fleet, &view.fleet) {
            return;
        }
        self.fleet = view.fleet.clone();
        self.owners.clear();
        let fleet = &self.fleet;
        self.standings.retain(|name| fleet.contains_key(name));
    }

    /// Returns how this instance reaches a member of `zone`, and stores the member's route if it
    /// goes through another instance.
    pub(super) fn share(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        zone: &str,
        inputs: &Inputs<'_>,
    ) -> share::Share {
        self.update_owners(inputs.own, member, zone);
        let Some(owner) = self.choose(now, member) else {
            return share::Share::Contended;
        };
        if owner == *inputs.own {
            return share::Share::Local;
        }
        let Some(entry) = inputs.fleet.get(owner.as_str()) else {
            return share::Share::Contended;
        };
        let address = entry.address;
        let owner = link::Owner {
            name: owner,
            address,
        };
        self.by_member.insert(member.clone(), owner);
        share::Share::Relayed
    }

    fn update_owners(&mut self, own: &name::InstanceName, member: &name::MemberName, zone: &str) {
        if self
            .owners
            .get(member.as_str())
            .is_some_and(|o| o.zone == zone)
        {
            return;
        }
        let owners = owners::that_serve(&self.fleet, &self.leaving, zone, member);
        let owners = Owners {
            zone: zone.to_owned(),
            names: owners.into_iter().cloned().collect(),
            is_served: owners::may_serve(&self.fleet, own, zone, member),
        };
        self.owners.insert(member.clone(), owners);
    }

    /// Whether this instance serves a member for others. Those may not know yet which owners leave,
    /// or know it before this instance.
    pub(super) fn is_served(&self, member: &name::MemberName) -> bool {
        let owners = self.owners.get(member.as_str());
        owners.is_some_and(|o| o.is_served)
    }

    /// The first owner that isn't avoided. If all that answer can't serve the member, the one that
    /// may be asked again first: the member itself is then out of reach or full, and connections
    /// of this instance would only add to its load. None if no owner answers.
    fn choose(&self, now: Timestamp, member: &name::MemberName) -> Option<name::InstanceName> {
        let owners = self.owners.get(member.as_str())?;
        let mut best: Option<(Timestamp, &name::InstanceName)> = None;
        for owner in &owners.names {
            match self.standings.of(now, owner, member) {
                standing::Standing::Usable => return Some(owner.clone()),
                standing::Standing::Unusable => {}
                standing::Standing::Unserving(until) => {
                    if best.is_none_or(|(earliest, _)| until < earliest) {
                        best = Some((until, owner));
                    }
                }
            }
        }
        best.map(|(_, owner)| owner.clone())
    }

    /// The owner on a member's route; none when the member is reached otherwise.
    pub(super) fn owner(&self, member: &name::MemberName) -> Option<&link::Owner> {
        self.by_member.get(member.as_str())
    }

    /// Owners that are silent.
    pub(super) fn silent(&self) -> collections::BTreeSet<name::InstanceName> {
        self.standings.silent()
    }

    /// The other owners of a member that aren't known to be silent, with their addresses.
    pub(super) fn others(
        &self,
        member: &name::MemberName,
        now: Timestamp,
        own: &name::InstanceName,
    ) -> Vec<link::Owner> {
        let mut others = Vec::new();
        let Some(owners) = self.owners.get(member.as_str()) else {
            return others;
        };
        for owner in &owners.names {
            let standing = self.standings.of(now, owner, member);
            if owner == own || standing == standing::Standing::Unusable {
                continue;
            }
            if let Some(entry) = self.fleet.get(owner.as_str()) {
                others.push(link::Owner {
                    name: owner.clone(),
                    address: entry.address,
                });
            }
        }
        others
    }

    /// The owners' standings, for what is learnt about them.
    pub(super) fn standings(&mut self) -> &mut standing::Standings {
        &mut self.standings
    }

    /// A member of the group, if any is known.
    pub(super) fn any_member(&self) -> Option<name::MemberName> {
        self.owners.keys().next().cloned()
    }

    /// Silent owners of the group's members to ping now, with their addresses; the result of each
    /// ping must be recorded.
    pub(super) fn start_pings(&mut self, now: Timestamp) -> Vec<link::Owner> {
        let mut due = Vec::new();
        let owners = &self.owners;
        let is_owner = |name: &_| owns_any(owners, name);
        for name in self.standings.start_pings(now, is_owner) {
            if let Some(entry) = self.fleet.get(name.as_str()) {
                let address = entry.address;
                due.push(link::Owner { name, address });
            }
        }
        due
    }

    /// When a ping is due or the routes must be recomputed.
    pub(super) fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let is_owner = |name: &_| owns_any(&self.owners, name);
        self.standings.next_wakeup(now, is_owner)
    }
}

/// Whether an instance is an owner of any member.
fn owns_any(
    owners: &collections::BTreeMap<name::MemberName, Owners>,
    name: &name::InstanceName,
) -> bool {
    owners.values().any(|o| o.names.contains(name))
}
