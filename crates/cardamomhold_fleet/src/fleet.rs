//! One instance's view of all instances of the system.

use std::borrow;
use std::collections;

use cardamomhold_core::name;

use crate::owner;

/// Membership state of an instance; later variants are worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InstanceState {
    /// Serves, and may own endpoints.
    Alive,
    /// Has not answered a ping in time; may still own endpoints.
    Suspect,
    /// Completes its running work before it stops; owns endpoints only if no other instance can.
    Leaving,
    /// Has failed or ended.
    Dead,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: name::InstanceName,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Address of its peer service, `ip:port`.
    pub address: String,
    /// Its membership state.
    pub state: InstanceState,
}

/// The instances known to one instance, with their zones.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    instances: collections::BTreeMap<name::InstanceName, Instance>,
    /// The instances of each zone that may own endpoints.
    zones: collections::BTreeMap<name::ZoneName, Vec<owner::Candidate>>,
    unreachable: collections::BTreeSet<name::ZoneName>,
}

impl Fleet {
    /// Inserts an instance, or replaces it.
    pub fn insert(&mut self, instance: Instance) {
        if let Some(old) = self.instances.get(&instance.name)
            && let Some(zone) = self.zones.get_mut(&old.zone)
        {
            zone.retain(|c| c.name != instance.name);
        }
        if instance.state <= InstanceState::Suspect {
            let zone = self.zones.entry(instance.zone.clone()).or_default();
            zone.push(owner::Candidate::new(&instance.name));
        }
        self.instances.insert(instance.name.clone(), instance);
    }

    /// Marks a zone as unreachable: none of its instances answers this one.
    pub fn mark_unreachable(&mut self, zone: name::ZoneName) {
        self.unreachable.insert(zone);
    }

    /// Whether a zone is marked as unreachable.
    pub fn is_unreachable(&self, zone: &name::ZoneName) -> bool {
        self.unreachable.contains(zone)
    }

    /// The instance with this name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// All known instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// The instances of a zone that may own endpoints.
    pub fn candidates(&self, zone: &name::ZoneName) -> &[owner::Candidate] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The fleet with the instances at these addresses marked as leaving.
    pub fn with_leaving(&self, addresses: &[String]) -> borrow::Cow<'_, Self> {
        if addresses.is_empty() {
            return borrow::Cow::Borrowed(self);
        }
        let mut fleet = self.clone();
        for instance in self.instances.values() {
            if !addresses.contains(&instance.address) {
                continue;
            }
            fleet.insert(Instance {
                state: InstanceState::Leaving,
                ..instance.clone()
            });
        }
        borrow::Cow::Owned(fleet)
    }

    /// The owner of an endpoint: an instance in the endpoint's zone, or one in any reachable
    /// zone if the endpoint's zone has none or is unreachable. Leaving instances own
    /// endpoints only if no other instance is in a reachable zone.
    pub fn owner(&self, endpoint: &name::MemberName, zone: &name::ZoneName) -> Option<&Instance> {
        if !self.is_unreachable(zone)
            && let Some(name) = owner::choose(endpoint, self.candidates(zone))
        {
            return self.instances.get(name);
        }
        let zones = self.zones.keys().filter(|z| !self.is_unreachable(z));
        let anywhere = zones.flat_map(|z| self.candidates(z));
        if let Some(name) = owner::choose(endpoint, anywhere) {
            return self.instances.get(name);
        }
        let leaving = self.leaving();
        owner::choose(endpoint, &leaving).and_then(|name| self.instances.get(name))
    }

    fn leaving(&self) -> Vec<owner::Candidate> {
        let is_leaving = |i: &&Instance| i.state == InstanceState::Leaving;
        let leaving = self.instances.values().filter(is_leaving);
        leaving.map(|i| owner::Candidate::new(&i.name)).collect()
    }
}
