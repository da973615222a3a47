//! Losses of the holder, and the time until there is another one.

use cardamomhold_core::time::Timestamp;

use crate::world::Event;
use crate::world::World;

/// Step of the search for a holder.
const STEP_MS: u64 = 1;

impl World {
    /// The instance that holds the tenure at present.
    pub fn holder(&self) -> Option<usize> {
        self.instances.iter().position(|i| {
            let limiter = i.limiter.as_ref();
            limiter.is_some_and(|l| l.is_holder(Timestamp(self.now + i.offset)))
        })
    }

    /// Runs until an instance holds the tenure; returns the time that it took, in milliseconds.
    pub fn time_to_holder(&mut self) -> u64 {
        let began = self.now;
        while self.holder().is_none() {
            assert_eq!(self.run(self.now / 1_000 + STEP_MS), None);
            assert!(self.now - began < 10_000_000, "no holder in 10 s");
        }
        (self.now - began) / 1_000
    }

    /// Begins the planned stop of an instance, whose process serves on for a while.
    pub fn stop(&mut self, index: usize) {
        self.with(index, |limiter, _| limiter.leave());
    }

    /// Ends the processes of instances, which don't start again.
    pub fn kill(&mut self, indices: &[usize]) {
        for index in indices {
            self.instances[*index].limiter = None;
            self.oracle.stop(self.now, *index);
        }
    }

    /// Starts all instances anew; all know the voters at once.
    pub fn restart_all(&mut self) {
        for index in 0..self.instances.len() {
            self.start(index);
            self.events
                .retain(|_, event| !matches!(event, Event::Read(i) if *i == index));
            self.read(index);
        }
    }

    /// Proposes other voters, without the first ones; all read it at once, and its acceptance
    /// within 50 ms.
    pub fn replace_voters(&mut self) {
        let names = self.instances.iter().map(|i| i.name.clone());
        let next = names.skip(2).collect();
        self.stored = self.stored.proposing(next);
        for index in 0..self.instances.len() {
            self.read(index);
        }
        self.events
            .retain(|_, event| !matches!(event, Event::Read(_)));
        for index in 0..self.instances.len() {
            self.after(50, Event::Read(index));
        }
    }
}
