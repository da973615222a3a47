//! Admission control of transactions to one endpoint.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

use crate::breaker;
use crate::estimate;
use crate::fair_queue;
use crate::job;
use crate::limit;
use crate::share;

/// Number of service times that must fit between a job's expected start and its deadline.
const DEADLINE_MARGIN_SERVICES: u32 = 2;

/// Minimum number of jobs that may wait in a rank, for each of its callers, even in a long
/// overload.
const MIN_WAITING_PER_CALLER: usize = 2;

/// Time for which the breaker stays open before its next probe.
const BREAKER_OPEN_TIME: time::Duration = time::Duration::from_millis(250);

/// Limits of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankLimits {
    /// Guaranteed share of the endpoint's service, in percent.
    pub share_percent: u32,
    /// Maximum number of waiting jobs.
    pub max_waiting: usize,
    /// Longest wait that a long overload should cause.
    pub target: time::Duration,
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of jobs that have started, paused ones included.
    pub max_started: usize,
    /// Initial limit of the number of jobs that run at once; the queue adapts it to the
    /// endpoint.
    pub slots: usize,
    /// Limits of each rank, the most urgent first.
    pub ranks: [RankLimits; 3],
    /// Condition that opens the breaker.
    pub trip: breaker::Trip,
}

/// Decision of the queue on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Start the job now.
    Start(job::JobId),
    /// Refuse the job; it did not run.
    Refuse(job::JobId, outcome::Refusal),
}

#[derive(Debug)]
struct Waiting {
    rank: rank::Rank,
    caller: name::CallerName,
    seq: u64,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Started {
    rank: rank::Rank,
    caller: name::CallerName,
    /// Time when the job started or was last resumed.
    since: Timestamp,
    /// Time that the job ran before `since`, without pauses; while the job is paused, all of
    /// its running time.
    busy: time::Duration,
    /// Service charged at the start.
    charged_us: u64,
    is_probe: bool,
    /// Whether the limit was reached when the job started.
    at_limit: bool,
}

/// The queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    limit: limit::Limit,
    breaker: breaker::Breaker,
    shares: share::Shares,
    /// Waiting jobs of each rank, the most urgent first.
    queues: [fair_queue::FairQueue; 3],
    estimates: [estimate::Estimate; 3],
    waiting: collections::HashMap<job::JobId, Waiting>,
    /// Deadlines of the waiting jobs.
    deadlines: collections::BTreeSet<(Timestamp, job::JobId)>,
    running: collections::HashMap<job::JobId, Started>,
    /// Started jobs that wait for their callers, and those that had no answer when the breaker
    /// started a probe.
    paused: collections::HashMap<job::JobId, Started>,
    /// Evicted jobs that the next poll reports.
    evicted: Vec<job::JobId>,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            limit: limit::Limit::new(limits.slots, limits.max_started),
            breaker: breaker::Breaker::new(limits.trip, BREAKER_OPEN_TIME),
            shares: share::Shares::new(limits.ranks.map(|r| r.share_percent)),
            queues: Default::default(),
            estimates: Default::default(),
            waiting: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            running: collections::HashMap::new(),
            paused: collections::HashMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Adds a job to the queue, or refuses it at once.
    ///
    /// A full queue evicts the newest job of the caller with the highest load; the next
    /// [`Queue::poll`] reports that job.
    ///
    /// # Errors
    /// The refusal: the endpoint is down, the deadline can't be met, or the queue is full
    /// and no waiting caller has a higher load in the rank than the job's caller.
    pub fn offer(&mut self, now: Timestamp, job: job::Job) -> Result<(), outcome::Refusal> {
        if self.breaker.admission(now) == breaker::Admission::None {
            return Err(outcome::Refusal::EndpointDown);
        }
        if !self.can_meet_deadline(now, &job) {
            return Err(outcome::Refusal::DeadlineUnmet);
        }
        let index = job.rank.index();
        let limits = &self.limits.ranks[index];
        let min_waiting = (self.queues[index].callers() + 1) * MIN_WAITING_PER_CALLER;
        let max_waiting = self.estimates[index].max_waiting(now, limits.target, limits.max_waiting);
        let max_waiting = max_waiting.max(min_waiting).min(limits.max_waiting);
        if self.queues[index].len() >= max_waiting {
            let candidate = self.queues[index].eviction_candidate(&job.caller, job.weight);
            let id = candidate.map(|j| j.id).ok_or(outcome::Refusal::QueueFull)?;
            self.withdraw(id);
            self.evicted.push(id);
        }
        let job::Job {
            id, rank, deadline, ..
        } = job;
        let caller = job.caller.clone();
        let seq = self.queues[index].push(job);
        self.estimates[index].record_waiting(now);
        self.deadlines.insert((deadline, id));
        self.waiting.insert(
            id,
            Waiting {
                rank,
                caller,
                seq,
                deadline,
            },
        );
        Ok(())
    }

    /// Whether a job is expected to be answered before its deadline.
    fn can_meet_deadline(&self, now: Timestamp, job: &job::Job) -> bool {
        let index = job.rank.index();
        if job.deadline <= now {
            return false;
        }
        let ahead = self.queues[index].jobs_ahead(&job.caller, job.weight);
        if ahead == 0 {
            // A job with none ahead is always accepted, so that the estimates stay up to date.
            return true;
        }
        let estimate = &self.estimates[index];
        let service_time = time::Duration::from_micros(estimate.service_us());
        let wait = estimate.expected_wait(ahead, self.limit.get());
        now.after(wait + service_time * DEADLINE_MARGIN_SERVICES) <= job.deadline
    }

    /// Decides which jobs start now and which are refused.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for id in self.evicted.drain(..) {
            decisions.push(Decision::Refuse(id, outcome::Refusal::QueueFull));
        }
        self.refuse_expired(now, &mut decisions);
        loop {
            let admission = self.breaker.admission(now);
            if !self.can_start(admission) {
                break;
            }
            let Some(job) = self.pop_next() else {
                break;
            };
            let id = job.id;
            self.start(now, job, admission == breaker::Admission::Probe);
            decisions.push(Decision::Start(id));
        }
        if self.breaker.admission(now) == breaker::Admission::None {
            self.refuse_all(&mut decisions);
        }
        decisions
    }

    /// Whether another job may start: the limit is not reached and a connection is free. The
    /// limit doesn't apply to a probe, since hanging jobs may have reached it.
    fn can_start(&self, admission: breaker::Admission) -> bool {
        let started = self.running.len() + self.paused.len();
        let is_below_limit = match admission {
            breaker::Admission::All => self.running.len() < self.limit.get(),
            breaker::Admission::Probe => true,
            breaker::Admission::None => false,
        };
        is_below_limit && started < self.limits.max_started
    }

    fn refuse_expired(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.withdraw(id);
            decisions.push(Decision::Refuse(id, outcome::Refusal::DeadlineUnmet));
        }
    }

    fn refuse_all(&mut self, decisions: &mut Vec<Decision>) {
        while let Some((_, id)) = self.deadlines.first().copied() {
            self.withdraw(id);
            decisions.push(Decision::Refuse(id, outcome::Refusal::EndpointDown));
        }
    }

    /// Whether each rank has waiting jobs.
    fn has_waiting(&self) -> [bool; 3] {
        [0, 1, 2].map(|index| !self.queues[index].is_empty())
    }

    /// Expected service time of each rank's jobs, in microseconds.
    fn costs(&self) -> [u64; 3] {
        [0, 1, 2].map(|index| self.estimates[index].service_us())
    }

    fn pop_next(&mut self) -> Option<job::Job> {
        let costs = self.costs();
        let rank = self.shares.pick(self.has_waiting(), costs)?;
        let job = self.queues[rank.index()].pop(costs[rank.index()])?;
        self.waiting.remove(&job.id);
        self.deadlines.remove(&(job.deadline, job.id));
        Some(job)
    }

    fn start(&mut self, now: Timestamp, job: job::Job, is_probe: bool) {
        let index = job.rank.index();
        let charged_us = self.estimates[index].service_us();
        self.shares
            .charge(job.rank, charged_us as i64, self.has_waiting());
        self.estimates[index].record_start(now, !self.queues[index].is_empty());
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
                at_limit,
            },
        );
    }

    /// Records that a started job has ended; ignores a job that isn't started.
    pub fn finish(&mut self, now: Timestamp, id: job::JobId, completion: job::Completion) {
        let Some(run) = self.take_started(now, id) else {
            return;
        };
        let index = run.rank.index();
        let busy = run.busy;
        let busy_us = busy.as_micros() as u64;
        let correction = busy_us as i64 - run.charged_us as i64;
        self.shares.charge(run.rank, correction, self.has_waiting());
        self.queues[index].correct_charge(&run.caller, run.charged_us, busy_us);
        match completion {
            job::Completion::Answered(service_time) => {
                self.estimates[index].record_service(busy);
                if run.at_limit {
                    self.limit.record(index, service_time);
                }
                self.breaker.record(now, true, run.is_probe);
            }
            job::Completion::Failed => self.breaker.record(now, false, run.is_probe),
            job::Completion::Unused if run.is_probe => self.breaker.cancel_probe(now),
            job::Completion::Unused => {}
        }
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

    /// Removes and returns a started job.
    fn take_started(&mut self, now: Timestamp, id: job::JobId) -> Option<Started> {
        if let Some(mut run) = self.running.remove(&id) {
            run.busy += now.since(run.since);
            return Some(run);
        }
        self.paused.remove(&id)
    }

    /// Records that a started job doesn't use the endpoint because its caller is idle within
    /// the transaction; other jobs may run meanwhile.
    pub fn pause(&mut self, now: Timestamp, id: job::JobId) {
        if let Some(mut run) = self.running.remove(&id) {
            run.busy += now.since(run.since);
            if std::mem::take(&mut run.is_probe) {
                // The caller is idle, so it has got an answer from the endpoint.
                self.breaker.record(now, true, true);
            }
            self.paused.insert(id, run);
        }
    }

    /// Records that a paused job continues. It already has its connection, so it doesn't wait,
    /// and the limit may be exceeded until another job ends.
    pub fn resume(&mut self, now: Timestamp, id: job::JobId) {
        if let Some(mut run) = self.paused.remove(&id) {
            run.since = now;
            self.running.insert(id, run);
        }
    }

    /// Removes a waiting job; returns false if it wasn't waiting.
    pub fn withdraw(&mut self, id: job::JobId) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline, id));
        let index = waiting.rank.index();
        self.queues[index].remove(&waiting.caller, waiting.seq);
        if self.queues[index].is_empty() {
            self.estimates[index].record_empty();
        }
        true
    }

    /// When [`Queue::poll`] next has something to decide, if no event comes earlier.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of paused jobs: started jobs that wait for their callers, and those that had no
    /// answer when the breaker started a probe.
    pub fn paused(&self) -> usize {
        self.paused.len()
    }

    /// Number of jobs that may currently run at once.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Applies new limits, apart from `trip`, which only a new queue uses. The measured
    /// concurrency limit is reset only if `slots` changed.
    pub fn set_limits(&mut self, limits: Limits) {
        self.shares.set(limits.ranks.map(|r| r.share_percent));
        self.limit.set_max(limits.max_started);
        if limits.slots != self.limits.slots {
            self.limit = limit::Limit::new(limits.slots, limits.max_started);
        }
        self.limits = limits;
    }
}
