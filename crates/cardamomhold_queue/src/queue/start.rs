//! Jobs start when the limit and the breaker allow it, in the order of service.
//!
//! A job that needs a connection of its own kind may have to wait for one. Its caller keeps its
//! turn, and callers whose jobs may start go on meanwhile.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;

use crate::breaker;
use crate::job;
use crate::queue::Decision;
use crate::queue::Queue;
use crate::queue::Started;

impl Queue {
    /// Decides which jobs start now and which are refused.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = self.refuse_late(now);
        while let Some(id) = self.start_next(now, 0, &|_| true) {
            decisions.push(Decision::Start(id));
        }
        decisions.extend(self.refuse_unserved(now));
        decisions
    }

    /// Refuses evicted and late jobs; the first step of a decision with [`Queue::start_next`].
    pub fn refuse_late(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (id, rank) in std::mem::take(&mut self.evicted) {
            let refused = self.refused(now, rank, outcome::Refusal::QueueFull);
            decisions.push(Decision::Refuse(id, refused));
        }
        self.refuse_expired(now, &mut decisions);
        self.set_late_aside(now, &mut decisions);
        decisions
    }

    /// Starts the next job among those that `may_start`; `reserved` slots are in use for something
    /// else, but at least one is left.
    pub fn start_next(
        &mut self,
        now: Timestamp,
        reserved: usize,
        may_start: &dyn Fn(&job::Job) -> bool,
    ) -> Option<job::JobId> {
        let admission = self.breaker.admission(now);
        if !self.can_start(admission, reserved) {
            return None;
        }
        let (job, is_late) = self.pop_next(now, may_start)?;
        let id = job.id;
        self.start(now, job, is_late, admission == breaker::Admission::Probe);
        Some(id)
    }

    /// Refuses all jobs when the endpoint is down; the last step of a decision with
    /// [`Queue::start_next`].
    pub fn refuse_unserved(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.breaker.admission(now) == breaker::Admission::None {
            self.refuse_all(now, &mut decisions);
        }
        decisions
    }

    /// Whether another job may start now.
    pub fn has_room(&self, now: Timestamp, reserved: usize) -> bool {
        self.can_start(self.breaker.admission(now), reserved)
    }

    /// The oldest jobs of all callers, in the order of service: the ranks from the most urgent one,
    /// those on time before the late ones.
    pub fn heads(&self) -> impl Iterator<Item = &job::Job> {
        let on_time = self.ranks.iter().flat_map(|r| r.on_time.jobs.heads());
        let late = self.ranks.iter().flat_map(|r| r.late.jobs.heads());
        on_time.chain(late)
    }

    /// Whether another job may start: the limit is not reached and a connection is free. The
    /// limit doesn't apply to a probe, since hanging jobs may have reached it.
    fn can_start(&self, admission: breaker::Admission, reserved: usize) -> bool {
        let started = self.running.len() + self.paused.len();
        let limit = self.limit.get();
        let reserved = reserved.min(limit.saturating_sub(1));
        let is_below_limit = match admission {
            breaker::Admission::All => self.running.len() + reserved < limit,
            breaker::Admission::Probe => true,
            breaker::Admission::None => false,
        };
        is_below_limit && started < self.limits.max_started
    }

    /// Removes and returns the next job that `may_start`, and whether it is late.
    fn pop_next(
        &mut self,
        now: Timestamp,
        may_start: &dyn Fn(&job::Job) -> bool,
    ) -> Option<(job::Job, bool)> {
        let ranks = &self.ranks;
        let on_time = [0, 1, 2].map(|index| ranks[index].on_time.jobs.heads().any(may_start));
        let late = [0, 1, 2].map(|index| ranks[index].late.jobs.heads().any(may_start));
        let pick = self.shares.pick(on_time, late, self.costs())?;
        let job = self.ranks[pick.rank.index()].pop(now, pick.is_late, may_start)?;
        self.waiting.remove(&job.id);
        self.deadlines.remove(&(job.deadline, job.id));
        Some((job, pick.is_late))
    }

    fn start(&mut self, now: Timestamp, job: job::Job, is_late: bool, is_probe: bool) {
        let charged_us = self.ranks[job.rank.index()].service_us();
        self.shares
            .charge(job.rank, charged_us as i64, self.has_waiting());
        if is_probe {
            self.breaker.start_probe(now);
            self.pause_all(now);
        }
        let at_limit = self.running.len() + 1 >= self.limit.get();
        self.running.insert(
            job.id,
            Started {
                rank: job.rank,
                caller: job.caller,
                since: now,
                busy: time::Duration::ZERO,
                charged_us,
                is_probe,
                is_late,
                at_limit,
            },
        );
    }

    /// Pauses all running jobs before a probe. Jobs without an answer keep their connections
    /// but don't count towards the limit, so that other jobs start as soon as the probe is
    /// answered.
    fn pause_all(&mut self, now: Timestamp) {
        for (id, mut run) in self.running.drain() {
            run.busy += now.since(run.since);
            self.paused.insert(id, run);
        }
    }
}
