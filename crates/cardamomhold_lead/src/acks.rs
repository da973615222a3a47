//! Acknowledgements of the end of a leadership, after which a successor may be promoted.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::lease;

/// Acknowledgements of the end of one leadership.
#[derive(Debug)]
pub struct Acks {
    voters: collections::BTreeSet<name::InstanceName>,
    acked: collections::BTreeSet<name::InstanceName>,
    /// When more than half of the voters had acknowledged.
    majority_at: Option<Timestamp>,
}

impl Acks {
    /// Starts without acknowledgements; `voters` are the registered instances.
    pub fn new(voters: impl IntoIterator<Item = name::InstanceName>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            acked: collections::BTreeSet::new(),
            majority_at: None,
        }
    }

    /// Records an acknowledgement; ignores instances that are not voters.
    pub fn record(&mut self, now: Timestamp, voter: &name::InstanceName) {
        if self.voters.contains(voter) {
            self.acked.insert(voter.clone());
        }
        if self.acked.len() * 2 > self.voters.len() {
            self.majority_at.get_or_insert(now);
        }
    }

    /// Voters that have not acknowledged yet.
    pub fn missing(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.voters.difference(&self.acked)
    }

    /// Time from which a successor may be promoted; `None` without a majority. This is the time
    /// of the majority if all voters have acknowledged; otherwise the leases of the missing
    /// voters must expire first.
    ///
    /// The record that ended the leadership must have been written to the store before the
    /// first acknowledgement.
    pub fn ended_at(&self) -> Option<Timestamp> {
        let majority_at = self.majority_at?;
        if self.acked.len() == self.voters.len() {
            return Some(majority_at);
        }
        Some(majority_at.after(lease::DURATION + lease::MAX_CLOCK_DRIFT))
    }

    /// Whether no instance relies on the ended leadership, so that a successor may be promoted.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.ended_at().is_some_and(|at| now >= at)
    }
}
