//! Table of the known instances, and queue of the rumours still to be sent.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use xxhash_rust::xxh3;

use crate::fleet;
use crate::message;

/// Number of times that an instance sends a rumour, per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;

/// A known instance.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The newest rumour about it.
    pub rumor: message::Rumor,
    /// Time of the last change of `rumor`, or of the last restart of the suspicions.
    pub since: Timestamp,
}

/// The known instances, by zone and by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: collections::BTreeMap<name::InstanceName, Entry>,
    zones: collections::BTreeMap<name::ZoneName, collections::BTreeSet<name::InstanceName>>,
    /// Rumours to send, with the number of times sent; the least sent first.
    queue: collections::BTreeSet<(u32, name::InstanceName)>,
    revision: u64,
}

impl Roster {
    /// Stores a rumour if it is newer than the known one, and queues it to be sent; true if it
    /// was stored. A dead instance that is unknown is not stored.
    pub fn merge(&mut self, rumor: &message::Rumor, now: Timestamp) -> bool {
        let name = &rumor.instance.name;
        if let Some(known) = self.entries.get(name)
            && !rumor.overrides(&known.rumor)
        {
            return false;
        }
        let is_unknown = !self.entries.contains_key(name);
        if is_unknown && rumor.instance.state == fleet::InstanceState::Dead {
            return false;
        }
        self.insert(rumor.clone(), now);
        self.queue.retain(|(_, n)| n != name);
        self.queue.insert((0, name.clone()));
        true
    }

    /// Removes all rumours from the queue, so that none of those known so far is sent.
    pub fn clear_queue(&mut self) {
        self.queue.clear();
    }

    /// Stores an instance from the platform's list if it is unknown.
    pub fn insert_listed(&mut self, instance: &fleet::Instance, now: Timestamp) {
        if self.entries.contains_key(&instance.name) {
            return;
        }
        let rumor = message::Rumor {
            instance: instance.clone(),
            incarnation: 0,
        };
        self.insert(rumor, now);
    }

    fn insert(&mut self, rumor: message::Rumor, now: Timestamp) {
        let name = rumor.instance.name.clone();
        if let Some(old) = self.entries.get(&name)
            && let Some(zone) = self.zones.get_mut(&old.rumor.instance.zone)
        {
            zone.remove(&name);
        }
        let zone = rumor.instance.zone.clone();
        self.zones.entry(zone).or_default().insert(name.clone());
        self.entries.insert(name, Entry { rumor, since: now });
        self.revision += 1;
    }

    /// Removes the instances that have been dead or leaving since before a time.
    pub fn remove_before(&mut self, before: Timestamp) {
        let mut expired = Vec::new();
        for (name, known) in &self.entries {
            if known.rumor.instance.state >= fleet::InstanceState::Leaving && known.since < before {
                expired.push(name.clone());
            }
        }
        for name in expired {
            if let Some(known) = self.entries.remove(&name)
                && let Some(zone) = self.zones.get_mut(&known.rumor.instance.zone)
            {
                zone.remove(&name);
            }
            self.queue.retain(|(_, n)| *n != name);
            self.revision += 1;
        }
    }

    /// Sets `since` of every entry to now, which gives each suspicion its full timeout again.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for known in self.entries.values_mut() {
            known.since = now;
        }
    }

    /// The entry of the instance with this name.
    pub fn get(&self, name: &name::InstanceName) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// The entries of a zone's instances, in any state.
    pub fn zone(&self, zone: &name::ZoneName) -> impl Iterator<Item = &Entry> {
        let names = self.zones.get(zone).into_iter().flatten();
        names.filter_map(|n| self.entries.get(n))
    }

    /// The instances of a zone that are alive or suspected.
    pub fn serving(&self, zone: &name::ZoneName) -> impl Iterator<Item = &fleet::Instance> {
        let instances = self.zone(zone).map(|k| &k.rumor.instance);
        instances.filter(|i| i.state <= fleet::InstanceState::Suspect)
    }

    /// All known zones.
    pub fn zones(&self) -> impl Iterator<Item = &name::ZoneName> {
        self.zones.keys()
    }

    /// All entries.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counter that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The rumours for the next message, of at most `budget` bytes in total.
    pub fn next_rumors(&mut self, budget: usize) -> Vec<message::Rumor> {
        let max_sends = SENDS_PER_DOUBLING * (usize::BITS - self.entries.len().leading_zeros());
        let mut remaining = budget;
        let mut selected = Vec::new();
        while let Some((sends, name)) = self.queue.pop_first() {
            let Some(known) = self.entries.get(&name) else {
                continue;
            };
            let size = known.rumor.size();
            if size > remaining {
                self.queue.insert((sends, name));
                break;
            }
            remaining -= size;
            selected.push((sends, known.rumor.clone()));
        }
        let mut rumors = Vec::new();
        for (sends, rumor) in selected {
            if sends + 1 < max_sends {
                self.queue.insert((sends + 1, rumor.instance.name.clone()));
            }
            rumors.push(rumor);
        }
        rumors
    }

    /// A digest of the instances of each zone.
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

    /// All rumours of the zones whose digest is missing from `digests` or differs there.
    pub fn differing(&self, digests: &[(name::ZoneName, u64)]) -> Vec<message::Rumor> {
        let mut rumors = Vec::new();
        for zone in self.zones.keys() {
            let remote = digests.iter().find(|(z, _)| z == zone);
            if remote.is_some_and(|(_, d)| *d == self.digest(zone)) {
                continue;
            }
            rumors.extend(self.zone(zone).map(|k| k.rumor.clone()));
        }
        rumors
    }
}
