//! The waiting jobs of one rank: those that can still meet their target, and the late ones.
//!
//! Load pattern: more work arrives for some seconds than the endpoint can do. Served in the order
//! of arrival, every job would miss its target by a little. So a job that will miss its target
//! is set aside, and jobs that can still meet theirs go first.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::estimate;
use crate::fair_queue;
use crate::job;
use crate::refusal;

/// How long late jobs are refused at once after those that waited got no service.
const LATE_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Place of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Whether the job is among the late ones.
    pub(crate) is_late: bool,
    /// Sequence number in its queue.
    pub(crate) seq: u64,
}

/// The waiting jobs of one rank.
#[derive(Debug, Default)]
pub(crate) struct RankQueue {
    pub(crate) on_time: Class,
    pub(crate) late: Class,
    /// Targets of the jobs that are on time.
    targets: collections::BTreeSet<(Timestamp, job::JobId)>,
    pub(crate) returns: refusal::Returns,
    /// Until when no late jobs are accepted.
    closed_until: Timestamp,
}

/// Waiting jobs that are served fairly, with their estimates.
#[derive(Debug, Default)]
pub(crate) struct Class {
    pub(crate) jobs: fair_queue::FairQueue,
    pub(crate) estimate: estimate::Estimate,
}

impl Class {
    fn push(&mut self, now: Timestamp, job: job::Job) -> u64 {
        self.estimate.record_waiting(now);
        self.jobs.push(job)
    }

    fn remove(&mut self, caller: &name::CallerName, seq: u64) -> Option<job::Job> {
        let job = self.jobs.remove(caller, seq);
        if self.jobs.is_empty() {
            self.estimate.record_empty();
        }
        job
    }

    /// Removes and returns the next job that `may_start`, and charges its expected service to its
    /// caller.
    fn pop(&mut self, now: Timestamp, may_start: &dyn Fn(&job::Job) -> bool) -> Option<job::Job> {
        let job = self.jobs.pop(self.estimate.service_us(), may_start)?;
        self.estimate.record_start(now, !self.jobs.is_empty());
        Some(job)
    }
}

impl RankQueue {
    /// Whether late jobs may wait.
    pub(crate) fn accepts_late(&self, now: Timestamp) -> bool {
        now >= self.closed_until || self.on_time.jobs.is_empty()
    }

    /// Stops accepting late jobs if none has started for some time although some wait; returns
    /// whether that is so now.
    pub(crate) fn close_if_starved(&mut self, now: Timestamp) -> bool {
        let is_starved = self.late.estimate.is_starved(now);
        if is_starved {
            self.closed_until = now.after(LATE_PAUSE);
        }
        is_starved
    }

    /// Number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.on_time.jobs.len() + self.late.jobs.len()
    }

    /// Whether no job is waiting.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a job to those that are on time, or to the late ones.
    pub(crate) fn push(&mut self, now: Timestamp, job: job::Job, is_late: bool) -> Place {
        let seq = if is_late {
            self.late.push(now, job)
        } else {
            if job.target < job.deadline {
                self.targets.insert((job.target, job.id));
            }
            self.on_time.push(now, job)
        };
        Place { is_late, seq }
    }

    /// Removes a waiting job.
    pub(crate) fn remove(&mut self, caller: &name::CallerName, place: Place) -> Option<job::Job> {
        if place.is_late {
            return self.late.remove(caller, place.seq);
        }
        let job = self.on_time.remove(caller, place.seq)?;
        self.targets.remove(&(job.target, job.id));
        Some(job)
    }

    /// Removes and returns the next job that `may_start` of those on time or of the late ones.
    pub(crate) fn pop(
        &mut self,
        now: Timestamp,
        is_late: bool,
        may_start: &dyn Fn(&job::Job) -> bool,
    ) -> Option<job::Job> {
        if is_late {
            return self.late.pop(now, may_start);
        }
        let job = self.on_time.pop(now, may_start)?;
        self.targets.remove(&(job.target, job.id));
        Some(job)
    }

    /// The job on time with the earliest target, and its target.
    pub(crate) fn oldest(&self) -> Option<(Timestamp, job::JobId)> {
        self.targets.first().copied()
    }

    /// The job on time with the latest target, and its target.
    pub(crate) fn newest(&self) -> Option<(Timestamp, job::JobId)> {
        self.targets.last().copied()
    }

    /// Expected time of one job at the endpoint.
    pub(crate) fn service_time(&self) -> time::Duration {
        time::Duration::from_micros(self.service_us())
    }

    /// Expected time of one job at the endpoint, in microseconds.
    pub(crate) fn service_us(&self) -> u64 {
        self.on_time.estimate.service_us()
    }

    /// Records the time of a job at the endpoint.
    pub(crate) fn record_service(&mut self, service_time: time::Duration) {
        self.on_time.estimate.record_service(service_time);
        self.late.estimate.record_service(service_time);
    }

    /// Corrects the service charged to a caller.
    pub(crate) fn correct_charge(
        &mut self,
        caller: &name::CallerName,
        is_late: bool,
        charged_us: u64,
        cost_us: u64,
    ) {
        let class = if is_late {
            &mut self.late
        } else {
            &mut self.on_time
        };
        class.jobs.correct_charge(caller, charged_us, cost_us);
    }
}
