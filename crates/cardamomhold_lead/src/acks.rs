//! Acknowledgements of the end of a leadership, after which a successor may be promoted.

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::lease;
use crate::voters;

/// Acknowledgements of the end of one leadership.
#[derive(Debug)]
pub struct Acks {
    voters: voters::Voters,
    /// The registered instances.
    instances: voters::Set,
    acked: voters::Set,
    /// When a majority of the voters had acknowledged.
    majority_at: Option<Timestamp>,
}

impl Acks {
    /// Starts without acknowledgements; `instances` are the registered ones.
    pub fn new(
        voters: &voters::Voters,
        instances: impl IntoIterator<Item = name::InstanceName>,
    ) -> Self {
        Self {
            voters: voters.clone(),
            instances: instances.into_iter().collect(),
            acked: voters::Set::new(),
            majority_at: None,
        }
    }

    /// Records an acknowledgement.
    pub fn record(&mut self, now: Timestamp, instance: &name::InstanceName) {
        self.acked.insert(instance.clone());
        self.update_majority(now);
    }

    /// Replaces the voters, after a read of the store that began after the acknowledgements until
    /// now.
    pub fn update_voters(&mut self, now: Timestamp, voters: &voters::Voters) {
        if voters.generation == self.voters.generation {
            return;
        }
        self.voters = voters.clone();
        self.majority_at = None;
        self.update_majority(now);
    }

    fn update_majority(&mut self, now: Timestamp) {
        if self.voters.is_majority(|name| self.acked.contains(name)) {
            self.majority_at.get_or_insert(now);
        }
    }

    /// Instances that have not acknowledged yet.
    pub fn missing(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.instances.difference(&self.acked)
    }

    /// Time from which a successor may be promoted; `None` without a majority. This is the time
    /// of the majority if all instances have acknowledged; otherwise the leases of the missing
    /// ones must expire first.
    ///
    /// The record that ended the leadership must have been written to the store before the
    /// first acknowledgement.
    pub fn ended_at(&self) -> Option<Timestamp> {
        let majority_at = self.majority_at?;
        if self.instances.is_subset(&self.acked) {
            return Some(majority_at);
        }
        Some(majority_at.after(lease::DURATION + lease::MAX_CLOCK_DRIFT))
    }

    /// Whether no instance relies on the ended leadership, so that a successor may be promoted.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.ended_at().is_some_and(|at| now >= at)
    }
}
