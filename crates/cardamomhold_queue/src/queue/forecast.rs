//! How long a job would wait, and whether it would be answered in time.

use std::time;

use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

use crate::job;
use crate::queue::Queue;

/// Number of service times that must fit between a job's expected start and its deadline.
const DEADLINE_MARGIN_SERVICES: u32 = 2;

impl Queue {
    /// Expected time until a job of the rank that is offered now would start.
    pub fn expected_wait(&self, now: Timestamp, rank: rank::Rank) -> time::Duration {
        let ahead = self.ranks[rank.index()].on_time.jobs.len();
        if ahead == 0 && self.running.len() < self.limit.get() {
            return time::Duration::ZERO;
        }
        self.wait_behind(now, rank, ahead + 1)
    }

    /// Expected time until `ahead` jobs of the rank and all jobs of more urgent ranks have
    /// started.
    pub(super) fn wait_behind(
        &self,
        now: Timestamp,
        rank: rank::Rank,
        ahead: usize,
    ) -> time::Duration {
        let limit = self.limit.get().max(1);
        let index = rank.index();
        let mut work = self.ranks[index].service_time() * ahead as u32;
        for queue in &self.ranks[..index] {
            work += queue.service_time() * queue.on_time.jobs.len() as u32;
        }
        let estimate = &self.ranks[index].on_time.estimate;
        let measured = estimate.expected_wait(now, ahead, limit);
        measured.max(work / limit as u32)
    }

    /// Whether a job is expected to be answered before `time` if it waits among those on time.
    pub(super) fn can_meet(&self, now: Timestamp, job: &job::Job, time: Timestamp) -> bool {
        let jobs = &self.ranks[job.rank.index()].on_time.jobs;
        let ahead = jobs.jobs_ahead(&job.caller, job.weight);
        let wait = self.wait_behind(now, job.rank, ahead);
        self.is_answered_by(now, job, time, ahead, wait)
    }

    /// Whether a job is expected to be answered before its deadline if it waits among the late
    /// jobs.
    pub(super) fn can_meet_late(&self, now: Timestamp, job: &job::Job) -> bool {
        let rank = &self.ranks[job.rank.index()];
        let ahead_late = rank.late.jobs.jobs_ahead(&job.caller, job.weight);
        let ahead = rank.on_time.jobs.len() + ahead_late;
        let measured = rank
            .late
            .estimate
            .expected_wait(now, ahead_late, self.limit.get());
        let wait = self.wait_behind(now, job.rank, ahead).max(measured);
        self.is_answered_by(now, job, job.deadline, ahead, wait)
    }

    fn is_answered_by(
        &self,
        now: Timestamp,
        job: &job::Job,
        time: Timestamp,
        ahead: usize,
        wait: time::Duration,
    ) -> bool {
        if time <= now {
            return false;
        }
        if ahead == 0 {
            // A job with none ahead is always accepted, so that the estimates stay up to date.
            return true;
        }
        let service_time = self.ranks[job.rank.index()].service_time();
        now.after(wait + service_time * DEADLINE_MARGIN_SERVICES) <= time
    }
}
