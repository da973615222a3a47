//! Samples of the primary's log position: what this instance's statements show, and what others have
//! passed on.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;

use crate::coordinator;
use crate::group::Task;
use crate::link;

/// Minimum interval between two samples of the primary's position sent to the coordinator.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Minimum interval between two notices that samples are used.
const USE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl<C: link::Connector> Task<C> {
    /// Records a member's log position; samples of the primary go to the coordinator, which
    /// sends them to other instances.
    pub(super) fn record_sample(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        sample: sample::Sample,
    ) {
        let is_leased = self.is_leased(now);
        let is_new = self.pool.record_position(member, sample, is_leased);
        if !is_new || now.since(self.last_sample) < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = now;
        self.context.coordinator.send(coordinator::Event::Sampled {
            group: self.context.group.clone(),
            sample,
        });
    }

    /// Tells the coordinator that a read may need samples of the primary's position.
    pub(super) fn record_use(&mut self, now: Timestamp, requirement: &wait_queue::Requirement) {
        let is_read = matches!(requirement, wait_queue::Requirement::Read { .. });
        let is_due = self.last_use.is_none_or(|at| now.since(at) >= USE_INTERVAL);
        if is_read && is_due {
            self.last_use = Some(now);
            let used = coordinator::Event::SamplesUsed(self.context.group.clone());
            self.context.coordinator.send(used);
        }
    }

    /// Applies the newest published sample of the primary's position.
    pub(super) fn apply_sample(&mut self) {
        let samples = self.context.samples.borrow_and_update();
        if let Some(sample) = samples.get(self.context.group.as_str()) {
            self.pool.add_sample(*sample);
        }
    }
}
