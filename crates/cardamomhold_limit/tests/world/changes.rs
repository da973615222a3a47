//! What changes in a history: faults, voters, limits and load.

use cardamomhold_core::name;
use cardamomhold_lead::voters;
use cardamomhold_limit::allocator;
use rand::RngExt;

use crate::world::Disabled;
use crate::world::Event;
use crate::world::WORKSPACES;
use crate::world::World;
use crate::world::instance_name;
use crate::world::workspace_name;

impl World {
    /// Lets all instances read the store.
    pub(super) fn spread(&mut self) {
        for index in 0..self.instances.len() {
            self.after(2_000, Event::Read(index));
        }
    }

    pub(super) fn read(&mut self, index: usize) {
        let is_apart = self.partitioned == Some(self.instances[index].zone);
        if is_apart && self.now < self.partitioned_until {
            self.at_us(self.partitioned_until, Event::Read(index));
            return;
        }
        let mut stored = self.stored.clone();
        if self.disabled == Disabled::Majority {
            stored.current = [self.instances[index].name.clone()].into();
            stored.next = None;
        }
        let version = self.limits.len() - 1;
        let limit = self.limits[version];
        let mut limits = allocator::Limits::new();
        for workspace in 0..WORKSPACES {
            limits.insert(workspace_name(workspace), limit);
        }
        let instance = &mut self.instances[index];
        if instance.limiter.is_none() {
            return;
        }
        instance.generation = stored.generation;
        instance.version = version;
        self.oracle.set_version(self.now, index, version);
        self.with(index, |limiter, now| {
            limiter.set_voters(now, &stored);
            limiter.allow_votes();
            limiter.set_limits(now, limits);
        });
        self.accept_proposal();
    }

    /// An instance that has just started may learn old voters from another one.
    pub(super) fn learn_old_voters(&mut self, index: usize) {
        if self.rng.random_bool(0.5) {
            return;
        }
        let oldest = self.records.len().saturating_sub(4);
        let record = self.rng.random_range(oldest..self.records.len());
        let voters = self.records[record].clone();
        self.with(index, |limiter, now| limiter.set_voters(now, &voters));
    }

    /// Proposes another set of voters.
    pub(super) fn change_voters(&mut self) {
        let count = self.instances.len().min(3);
        let start = self.rng.random_range(0..self.instances.len());
        let indices = (0..count).map(|i| (start + i) % self.instances.len());
        let next: voters::Set = indices.map(instance_name).collect();
        let proposing = self.stored.proposing(next);
        self.stored = match (self.stored.next.is_some(), self.disabled) {
            (true, _) => self.stored.withdrawn(),
            (false, Disabled::Proposal) => proposing.accepted(),
            (false, _) => proposing,
        };
        self.records.push(self.stored.clone());
        self.spread();
        let pause = self.rng.random_range(1_000..6_000);
        self.at(self.now / 1_000 + pause, Event::ChangeVoters);
    }

    /// Accepts the proposal when a majority has adopted it.
    pub(super) fn accept_proposal(&mut self) {
        let generation = self.stored.generation;
        let has_adopted = |name: &name::InstanceName| {
            let instance = self.instances.iter().find(|i| i.name == *name);
            instance.is_some_and(|i| i.limiter.is_some() && i.generation >= generation)
        };
        if self.stored.next.is_some() && self.stored.is_majority(has_adopted) {
            self.stored = self.stored.accepted();
            self.records.push(self.stored.clone());
            self.spread();
        }
    }

    pub(super) fn change_load(&mut self) {
        let count = self.instances.len();
        for workspace in 0..WORKSPACES {
            let is_moved = self.rng.random_bool(0.3);
            if is_moved {
                let start = self.rng.random_range(0..count);
                let spread = self.rng.random_range(1..=count);
                self.targets[workspace] = (0..spread).map(|i| (start + i) % count).collect();
            }
            let is_on = self.rng.random_bool(0.8);
            self.factors[workspace] = if is_on { self.plan.load } else { 0.0 };
        }
        let pause = self.rng.random_range(500..4_000);
        self.at(self.now / 1_000 + pause, Event::ChangeLoad);
    }

    pub(super) fn fault(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..4) {
            0 => {
                let ms = self.rng.random_range(50..3_000);
                self.instances[index].frozen_until = self.now + ms * 1_000;
            }
            1 => {
                self.instances[index].limiter = None;
                self.instances[index].frozen_until = 0;
                self.oracle.stop(self.now, index);
                self.after(2_000, Event::Start(index));
            }
            2 => {
                self.stop(index);
                let pause = self.rng.random_range(200..3_000);
                self.at(self.now / 1_000 + pause, Event::Start(index));
            }
            _ => {
                self.partitioned = Some(self.rng.random_range(0..self.plan.zones));
                self.partitioned_until = self.now + self.rng.random_range(200..5_000) * 1_000;
            }
        }
        let pause = self.rng.random_range(200..4_000);
        self.at(self.now / 1_000 + pause, Event::Fault);
    }
}
