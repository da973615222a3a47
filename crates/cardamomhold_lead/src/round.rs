//! Confirmation of the leaderships by a majority of the instances, for when the store does not
//! answer.

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::voters;

/// One request to all voters, which asks for newer leaderships.
#[derive(Debug)]
pub struct Round {
    /// Number that the answers repeat, to match them to the request.
    pub number: u64,
    /// When the request was sent.
    pub requested: Timestamp,
    voters: voters::Voters,
    answered: voters::Set,
}

impl Round {
    /// Creates a request to `voters`.
    pub fn new(number: u64, requested: Timestamp, voters: &voters::Voters) -> Self {
        Self {
            number,
            requested,
            voters: voters.clone(),
            answered: voters::Set::new(),
        }
    }

    /// Records the answer of an instance that has confirmed its leaderships since its start, with
    /// the generation of the voters that it has adopted. The newer records of the answer must have
    /// been stored before this call.
    pub fn record_answer(&mut self, number: u64, generation: u64, voter: &name::InstanceName) {
        if number == self.number && generation == self.voters.generation {
            self.answered.insert(voter.clone());
        }
    }

    /// Whether more than half of the voters have answered.
    pub fn is_majority(&self) -> bool {
        self.voters.is_majority(|name| self.answered.contains(name))
    }
}
