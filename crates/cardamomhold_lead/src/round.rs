//! Confirmation by a majority: what an instance asks the others when the store is silent.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// One question to all registered instances: do you know a newer leadership?
#[derive(Debug)]
pub struct Round {
    /// Number that the answers repeat.
    pub number: u64,
    /// When the question was sent.
    pub asked: Timestamp,
    voters: usize,
    answered: collections::BTreeSet<name::InstanceName>,
}

impl Round {
    /// A question to `voters` instances, the asking one among them.
    pub fn new(number: u64, asked: Timestamp, voters: usize) -> Self {
        Self {
            number,
            asked,
            voters,
            answered: collections::BTreeSet::new(),
        }
    }

    /// Takes an answer of an instance that has seen the leaderships since it started.
    /// What it knows must have been learned before.
    pub fn answer(&mut self, number: u64, voter: &name::InstanceName) {
        if number == self.number {
            self.answered.insert(voter.clone());
        }
    }

    /// Whether more than half of the voters have answered.
    pub fn is_majority(&self) -> bool {
        self.answered.len() * 2 > self.voters
    }
}
