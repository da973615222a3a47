//! What statements show of the primary's state, reported to the coordinator.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;

use crate::coordinator;
use crate::group::Task;
use crate::link;

/// Minimum interval between two reports that the primary can't be reached.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl<C: link::Connector> Task<C> {
    /// Updates the failure detector with the result of a statement at the primary.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        completion: pool::Completion,
    ) {
        if self.primary_change(member).is_none() {
            return;
        }
        match completion {
            pool::Completion::Failed
            | pool::Completion::StatementFailed
            | pool::Completion::Unserved => self.failure_detector.record_failure(now),
            pool::Completion::Answered(_) => self.failure_detector.record_success(),
            _ => {}
        }
    }

    /// Change number of the leadership, if the member is the primary.
    pub(super) fn primary_change(&self, member: &name::MemberName) -> Option<u64> {
        let view = self.context.views.borrow();
        let record = view.leaderships.get(self.context.group.as_str())?;
        (record.primary.as_ref() == Some(member)).then_some(record.change)
    }

    /// Reports an observation of the primary to the coordinator: each change, and failures
    /// repeatedly.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        observation: suspicion::Observation,
    ) {
        if self.primary_change(member).is_none() {
            return;
        }
        let is_new = observation != self.last_observation;
        let is_due = now.since(self.last_report) >= REPORT_INTERVAL;
        if !is_new && (observation == suspicion::Observation::Reached || !is_due) {
            return;
        }
        self.last_observation = observation;
        self.last_report = now;
        self.context
            .coordinator
            .send(coordinator::Event::PrimaryObserved {
                group: self.context.group.clone(),
                member: member.clone(),
                observation,
                is_failing: self.failure_detector.is_failing(now),
            });
    }
}
