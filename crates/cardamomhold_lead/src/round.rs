//! Confirmation of the leaderships by a majority of the instances, for when the store does not
//! answer.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// One request to all registered instances, which asks for newer leaderships.
#[derive(Debug)]
pub struct Round {
    /// Number that the answers repeat, to match them to the request.
    pub number: u64,
    /// When the request was sent.
    pub requested: Timestamp,
    voters: usize,
    answered: collections::BTreeSet<name::InstanceName>,
}

impl Round {
    /// Creates a request to `voters` instances, including the sender.
    pub fn new(number: u64, requested: Timestamp, voters: usize) -> Self {
        Self {
            number,
            requested,
            voters,
            answered: collections::BTreeSet::new(),
        }
    }

    /// Records the answer of an instance that has confirmed its leaderships since its start.
    /// The newer records of the answer must have been stored before this call.
    pub fn record_answer(&mut self, number: u64, voter: &name::InstanceName) {
        if number == self.number {
            self.answered.insert(voter.clone());
        }
    }

    /// Whether more than half of the voters have answered.
    pub fn is_majority(&self) -> bool {
        self.answered.len() * 2 > self.voters
    }
}
