//! Instances that keep copies of the store's objects, in virtual time: the real decisions of who
//! watches, whom to ask and when to call, with modelled datagrams and a modelled lease.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used, dead_code)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::registry;

pub mod instance;
pub mod peers;
pub mod process;
pub mod store;

use instance::Instance;
use peers::Message;

/// Length of a step, in ms.
const STEP_MS: u64 = 5;

/// Time of a datagram, in ms.
const DATAGRAM_MS: u64 = 5;

/// Time without disturbance after which the bounds hold for an instance.
const STABLE_WINDOW_MS: u64 = 4_000;

/// Time in which a change of the configuration must be in force, in ms.
pub const CONFIG_MS: u64 = 3_000;

/// Time in which a change of the members must be in force, in ms.
pub const MEMBERS_MS: u64 = 7_000;

/// A fix that is switched off, to show that the check reports its fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// Pauses between calls end only with an answered watch, and a forgotten history counts as a
    /// failure.
    Backoff,
    /// A vouch has the age of the configuration for all kinds.
    Ages,
}

/// Which instance a fault hits.
#[derive(Debug, Clone, Copy)]
pub enum Who {
    /// The one whose read of the control objects the store answered last.
    Reader,
    /// The one of this rank among those that watch the store for the others.
    Rank(usize),
    /// Any.
    Index(usize),
}

/// What happens to an instance.
#[derive(Debug, Clone, Copy)]
pub enum How {
    /// It is killed, and starts again after this time in ms.
    Killed(u64),
    /// It stands still for this time in ms.
    Frozen(u64),
    /// It reaches neither the store nor other instances for this time in ms.
    Cut(u64),
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: u64,
    pub who: Who,
    pub how: How,
}

/// All that happens in a history.
#[derive(Debug, Clone)]
pub struct Script {
    pub instances: usize,
    pub outages: Vec<store::Outage>,
    pub forgets: Vec<u64>,
    pub faults: Vec<Fault>,
    /// Times of the changes and their kinds.
    pub changes: Vec<(u64, Kind)>,
    /// Whether an instance may pass its objects on to others.
    pub is_passed: bool,
}

/// A change that must be in force everywhere from `due` on.
#[derive(Debug, Clone, Copy)]
struct Acked {
    kind: Kind,
    revision: u64,
    acked: u64,
    due: u64,
}

/// An instance that was in touch and lacked a change after its time.
#[derive(Debug, Clone, Copy)]
pub struct Late {
    pub instance: usize,
    pub kind: Kind,
    pub acked: u64,
    pub found: u64,
}

pub struct World {
    now: u64,
    pub store: store::Store,
    script: Script,
    registered: registry::Instances,
    pub instances: Vec<Instance>,
    acked: Vec<Acked>,
    /// Datagrams by the time of their arrival: the sender, the receiver and the message.
    datagrams: collections::BTreeMap<u64, Vec<(usize, usize, Message)>>,
    last_reader: usize,
    pub late: Vec<Late>,
    /// Longest time from a change until an instance that was always in touch had it, by kind.
    pub longest: [u64; 3],
}

pub fn name_of(index: usize) -> name::InstanceName {
    name::InstanceName::parse(&format!("entry-{index:04}")).unwrap()
}

impl World {
    pub fn new(script: Script, disabled: Disabled) -> Self {
        let registered = (0..script.instances).map(|index| {
            let entry = registry::Entry {
                address: ([127, 0, 0, 1], index as u16 + 1).into(),
                zone: format!("zone-{}", index % 3),
            };
            (name_of(index), entry)
        });
        let registered: registry::Instances = registered.collect();
        let instances = (0..script.instances)
            .map(|index| Instance::new(index, &registered, script.is_passed, disabled));
        Self {
            now: 0,
            store: store::Store::new(
                script.instances,
                script.outages.clone(),
                script.forgets.clone(),
            ),
            instances: instances.collect(),
            registered,
            script,
            acked: Vec::new(),
            datagrams: collections::BTreeMap::new(),
            last_reader: 0,
            late: Vec::new(),
            longest: [0; 3],
        }
    }

    /// Plays the history until `end`, in ms.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            self.store.step(self.now);
            self.play_script();
            self.deliver();
            for index in 0..self.instances.len() {
                let instance = &mut self.instances[index];
                if instance.step(self.now, &mut self.store) {
                    self.last_reader = index;
                }
                let arrival = self.now + DATAGRAM_MS;
                let sent = instance.sent.drain(..).map(|(to, m)| (index, to, m));
                self.datagrams.entry(arrival).or_default().extend(sent);
            }
            self.check();
        }
    }

    fn play_script(&mut self) {
        let now = self.now;
        let is_now = |at: u64| at <= now && now < at + STEP_MS;
        for (at, kind) in self.script.changes.clone() {
            if !is_now(at) {
                continue;
            }
            let Some(revision) = self.store.change(now, kind) else {
                continue;
            };
            let bound = match kind {
                Kind::Config => CONFIG_MS,
                Kind::Members | Kind::Instances => MEMBERS_MS,
            };
            self.acked.push(Acked {
                kind,
                revision,
                acked: now,
                due: now + bound,
            });
        }
        for fault in self.script.faults.clone() {
            if !is_now(fault.at) {
                continue;
            }
            let index = self.index_of(fault.who);
            self.instances[index].disturb(now, fault.how);
        }
    }

    fn index_of(&self, who: Who) -> usize {
        match who {
            Who::Reader => self.last_reader,
            Who::Rank(rank) => {
                let rank_of = |index: &usize| {
                    registry::watcher_rank(&self.registered, &name_of(*index)) as usize
                };
                let index = (0..self.instances.len()).find(|i| rank_of(i) == rank);
                index.unwrap_or(rank % self.instances.len())
            }
            Who::Index(index) => index % self.instances.len(),
        }
    }

    fn deliver(&mut self) {
        for (from, to, message) in self.datagrams.remove(&self.now).unwrap_or_default() {
            let is_sent = !self.instances[from].is_cut(self.now);
            let receiver = &mut self.instances[to];
            if is_sent && receiver.is_running(self.now) && !receiver.is_cut(self.now) {
                receiver.receive(self.now, from, message);
            }
        }
    }

    /// Records who lacks a change that must be in force.
    fn check(&mut self) {
        let now = self.now;
        if !self.store.is_stable(now, STABLE_WINDOW_MS) {
            return;
        }
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.is_calm(now, STABLE_WINDOW_MS) {
                continue;
            }
            for acked in &self.acked {
                let Acked {
                    kind,
                    revision,
                    acked,
                    due,
                } = *acked;
                if instance.known[kind as usize] >= revision {
                    continue;
                }
                let longest = &mut self.longest[kind as usize];
                *longest = (*longest).max(now - acked);
                if now >= due {
                    self.late.push(Late {
                        instance: index,
                        kind,
                        acked,
                        found: now,
                    });
                }
            }
        }
    }
}
