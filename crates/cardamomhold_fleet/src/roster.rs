//! What is known of every instance, and which of it is still to be passed on.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use xxhash_rust::xxh3;

use crate::fleet;
use crate::message;

/// Copies of a rumour that an instance sends, for each doubling of the fleet.
const COPIES_PER_DOUBLING: u32 = 3;

/// One instance as it is known here.
#[derive(Debug, Clone)]
pub struct Known {
    /// The newest that was said of it.
    pub rumor: message::Rumor,
    /// When it came into this state here.
    pub since: Timestamp,
}

/// The instances, by zone and by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    known: collections::BTreeMap<name::InstanceName, Known>,
    zones: collections::BTreeMap<name::ZoneName, collections::BTreeSet<name::InstanceName>>,
    /// Rumours to pass on, those sent least often first.
    queue: collections::BTreeSet<(u32, name::InstanceName)>,
    revision: u64,
}

impl Roster {
    /// Takes a rumour in if it is news, and queues it to be passed on.
    pub fn merge(&mut self, rumor: &message::Rumor, now: Timestamp) -> bool {
        let name = &rumor.instance.name;
        if let Some(known) = self.known.get(name)
            && !rumor.overrides(&known.rumor)
        {
            return false;
        }
        let is_unknown = !self.known.contains_key(name);
        if is_unknown && rumor.instance.state == fleet::InstanceState::Dead {
            return false;
        }
        self.put(rumor.clone(), now);
        self.queue.retain(|(_, n)| n != name);
        self.queue.insert((0, name.clone()));
        true
    }

    /// Passes nothing on of what is known so far.
    pub fn settle(&mut self) {
        self.queue.clear();
    }

    /// Takes in what the platform's list says, if nothing better is known.
    pub fn hint(&mut self, instance: &fleet::Instance, now: Timestamp) {
        if self.known.contains_key(&instance.name) {
            return;
        }
        let rumor = message::Rumor {
            instance: instance.clone(),
            incarnation: 0,
        };
        self.put(rumor, now);
    }

    fn put(&mut self, rumor: message::Rumor, now: Timestamp) {
        let name = rumor.instance.name.clone();
        if let Some(old) = self.known.get(&name)
            && let Some(zone) = self.zones.get_mut(&old.rumor.instance.zone)
        {
            zone.remove(&name);
        }
        let zone = rumor.instance.zone.clone();
        self.zones.entry(zone).or_default().insert(name.clone());
        self.known.insert(name, Known { rumor, since: now });
        self.revision += 1;
    }

    /// Removes what has been dead or leaving since before a time.
    pub fn forget(&mut self, before: Timestamp) {
        let mut gone = Vec::new();
        for (name, known) in &self.known {
            if known.rumor.instance.state >= fleet::InstanceState::Leaving && known.since < before {
                gone.push(name.clone());
            }
        }
        for name in gone {
            if let Some(known) = self.known.remove(&name)
                && let Some(zone) = self.zones.get_mut(&known.rumor.instance.zone)
            {
                zone.remove(&name);
            }
            self.queue.retain(|(_, n)| *n != name);
            self.revision += 1;
        }
    }

    /// Gives every suspicion its full time again.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for known in self.known.values_mut() {
            known.since = now;
        }
    }

    /// One instance.
    pub fn get(&self, name: &name::InstanceName) -> Option<&Known> {
        self.known.get(name)
    }

    /// The names of a zone's instances, whatever their state.
    pub fn zone(&self, zone: &name::ZoneName) -> impl Iterator<Item = &Known> {
        let names = self.zones.get(zone).into_iter().flatten();
        names.filter_map(|n| self.known.get(n))
    }

    /// The instances of a zone that serve, as far as is known.
    pub fn serving(&self, zone: &name::ZoneName) -> impl Iterator<Item = &fleet::Instance> {
        let instances = self.zone(zone).map(|k| &k.rumor.instance);
        instances.filter(|i| i.state <= fleet::InstanceState::Suspect)
    }

    /// The zones.
    pub fn zones(&self) -> impl Iterator<Item = &name::ZoneName> {
        self.zones.keys()
    }

    /// Everything known.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Number of instances known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The rumours for the next message, within a byte budget.
    pub fn take(&mut self, budget: usize) -> Vec<message::Rumor> {
        let copies = COPIES_PER_DOUBLING * (usize::BITS - self.known.len().leading_zeros());
        let mut left = budget;
        let mut taken = Vec::new();
        while let Some((sent, name)) = self.queue.pop_first() {
            let Some(known) = self.known.get(&name) else {
                continue;
            };
            let size = known.rumor.size();
            if size > left {
                self.queue.insert((sent, name));
                break;
            }
            left -= size;
            taken.push((sent, known.rumor.clone()));
        }
        let mut rumors = Vec::new();
        for (sent, rumor) in taken {
            if sent + 1 < copies {
                self.queue.insert((sent + 1, rumor.instance.name.clone()));
            }
            rumors.push(rumor);
        }
        rumors
    }

    /// A digest of each zone's instances.
    pub fn digests(&self) -> Vec<(name::ZoneName, u64)> {
        let mut digests = Vec::new();
        for zone in self.zones.keys() {
            digests.push((zone.clone(), self.digest(zone)));
        }
        digests
    }

    fn digest(&self, zone: &name::ZoneName) -> u64 {
        let mut digest = 0;
        for known in self.zone(zone) {
            let rumor = &known.rumor;
            let state = rumor.instance.state as u64;
            let seed = digest ^ rumor.incarnation.rotate_left(8) ^ state;
            digest = xxh3::xxh3_64_with_seed(rumor.instance.name.as_str().as_bytes(), seed);
        }
        digest
    }

    /// What is known of the zones whose digest differs from the asker's.
    pub fn differing(&self, digests: &[(name::ZoneName, u64)]) -> Vec<message::Rumor> {
        let mut rumors = Vec::new();
        for zone in self.zones.keys() {
            let asked = digests.iter().find(|(z, _)| z == zone);
            if asked.is_some_and(|(_, d)| *d == self.digest(zone)) {
                continue;
            }
            rumors.extend(self.zone(zone).map(|k| k.rumor.clone()));
        }
        rumors
    }
}
