//! The instances of the system, as one of them sees them.

use std::borrow;
use std::collections;

use cardamomhold_core::name;

use crate::owner;

/// Whether an instance takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InstanceState {
    /// Serves, and may own endpoints.
    Alive,
    /// Has missed a heartbeat; still an owner.
    Suspect,
    /// Finishes what it has; owns nothing.
    Leaving,
    /// Gone.
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
    /// Whether it takes part.
    pub state: InstanceState,
}

/// The instances that one instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    instances: collections::BTreeMap<name::InstanceName, Instance>,
}

impl Fleet {
    /// Takes an instance in, in place of what was known of it.
    pub fn insert(&mut self, instance: Instance) {
        self.instances.insert(instance.name.clone(), instance);
    }

    /// One instance.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// All known instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// The fleet as it is once the instances at these addresses have left.
    pub fn without(&self, addresses: &[String]) -> borrow::Cow<'_, Self> {
        if addresses.is_empty() {
            return borrow::Cow::Borrowed(self);
        }
        let mut rest = self.clone();
        for instance in rest.instances.values_mut() {
            if addresses.contains(&instance.address) {
                instance.state = InstanceState::Leaving;
            }
        }
        borrow::Cow::Owned(rest)
    }

    /// The owner of an endpoint: an instance in the endpoint's zone, or one anywhere
    /// while its zone has none.
    pub fn owner(&self, endpoint: &name::MemberName, zone: &name::ZoneName) -> Option<&Instance> {
        let serving = || {
            let serves = |i: &&Instance| i.state <= InstanceState::Suspect;
            self.instances.values().filter(serves)
        };
        let near = serving().filter(|i| i.zone == *zone).map(|i| &i.name);
        let chosen = owner::choose(endpoint, near)
            .or_else(|| owner::choose(endpoint, serving().map(|i| &i.name)));
        chosen.and_then(|name| self.instances.get(name))
    }
}
