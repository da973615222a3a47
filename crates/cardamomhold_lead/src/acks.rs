//! Who has acknowledged the end of a leadership, and when a successor may be promoted.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::lease;

/// Acknowledgements of one ended leadership.
#[derive(Debug)]
pub struct Acks {
    voters: collections::BTreeSet<name::InstanceName>,
    acked: collections::BTreeSet<name::InstanceName>,
    majority: Option<Timestamp>,
}

impl Acks {
    /// Expects acknowledgements of the registered instances.
    pub fn new(voters: impl IntoIterator<Item = name::InstanceName>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            acked: collections::BTreeSet::new(),
            majority: None,
        }
    }

    /// Takes an acknowledgement.
    pub fn ack(&mut self, now: Timestamp, voter: &name::InstanceName) {
        if self.voters.contains(voter) {
            self.acked.insert(voter.clone());
        }
        if self.acked.len() * 2 > self.voters.len() {
            self.majority.get_or_insert(now);
        }
    }

    /// Instances that have not acknowledged yet.
    pub fn missing(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.voters.difference(&self.acked)
    }

    /// When nobody can rely on the ended leadership any more; none without a majority.
    ///
    /// The record that ended it must have been in the store before the first
    /// acknowledgement.
    pub fn over_at(&self) -> Option<Timestamp> {
        let majority = self.majority?;
        if self.acked.len() == self.voters.len() {
            return Some(majority);
        }
        Some(majority.after(lease::LENGTH + lease::DRIFT))
    }

    /// Whether a successor may be promoted.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.over_at().is_some_and(|at| now >= at)
    }
}
