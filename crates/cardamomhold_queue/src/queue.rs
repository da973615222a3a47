//! Admission control of transactions to one endpoint.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

use crate::breaker;
use crate::job;
use crate::limit;
use crate::rank_queue;
use crate::refusal;
use crate::share;

/// Minimum number of jobs that may wait in a rank, for each of its callers, even in a long
/// overload.
const MIN_WAITING_PER_CALLER: usize = 2;

/// Time for which the breaker stays open before its next probe.
const BREAKER_OPEN_TIME: time::Duration = time::Duration::from_millis(250);

mod forecast;
mod late;
mod start;

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
    Refuse(job::JobId, refusal::Refused),
}

#[derive(Debug)]
struct Waiting {
    rank: rank::Rank,
    caller: name::CallerName,
    place: rank_queue::Place,
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
    /// Whether the job missed its target while it waited.
    is_late: bool,
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
    ranks: [rank_queue::RankQueue; 3],
    waiting: collections::HashMap<job::JobId, Waiting>,
    /// Deadlines of the waiting jobs.
    deadlines: collections::BTreeSet<(Timestamp, job::JobId)>,
    running: collections::HashMap<job::JobId, Started>,
    /// Started jobs that wait for their callers, and those that had no answer when the breaker
    /// started a probe.
    paused: collections::HashMap<job::JobId, Started>,
    /// Evicted jobs that the next poll reports.
    evicted: Vec<(job::JobId, rank::Rank)>,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            limit: limit::Limit::new(limits.slots, limits.max_started),
            breaker: breaker::Breaker::new(limits.trip, BREAKER_OPEN_TIME),
            shares: share::Shares::new(limits.ranks.map(|r| r.share_percent)),
            ranks: Default::default(),
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
    pub fn offer(&mut self, now: Timestamp, job: job::Job) -> Result<(), refusal::Refused> {
        let rank = job.rank;
        if self.breaker.admission(now) == breaker::Admission::None {
            return Err(self.refused(now, rank, outcome::Refusal::EndpointDown));
        }
        let is_late = job.target < job.deadline && !self.can_meet(now, &job, job.target);
        let can_meet = match is_late {
            true => self.can_meet_late(now, &job),
            false => self.can_meet(now, &job, job.deadline),
        };
        if !can_meet {
            return Err(self.refused(now, rank, outcome::Refusal::DeadlineUnmet));
        }
        let room = match is_late {
            true => self.check_late_room(now, rank),
            false => self.make_room(now, &job),
        };
        if let Err(reason) = room {
            return Err(self.refused(now, rank, reason));
        }
        self.push(now, job, is_late);
        Ok(())
    }

    /// Evicts a job if too many jobs of the rank wait.
    fn make_room(&mut self, now: Timestamp, job: &job::Job) -> Result<(), outcome::Refusal> {
        let index = job.rank.index();
        let limits = &self.limits.ranks[index];
        let class = &self.ranks[index].on_time;
        let min_waiting = (class.jobs.callers() + 1) * MIN_WAITING_PER_CALLER;
        let max_waiting = class
            .estimate
            .max_waiting(now, limits.target, limits.max_waiting);
        let max_waiting = max_waiting.max(min_waiting).min(limits.max_waiting);
        if class.jobs.len() < max_waiting {
            return Ok(());
        }
        let candidate = class.jobs.eviction_candidate(&job.caller, job.weight);
        let id = candidate.map(|j| j.id).ok_or(outcome::Refusal::QueueFull)?;
        self.withdraw(id);
        self.evicted.push((id, job.rank));
        Ok(())
    }

    fn push(&mut self, now: Timestamp, job: job::Job, is_late: bool) {
        let job::Job {
            id, rank, deadline, ..
        } = job;
        let caller = job.caller.clone();
        let place = self.ranks[rank.index()].push(now, job, is_late);
        self.deadlines.insert((deadline, id));
        self.waiting.insert(
            id,
            Waiting {
                rank,
                caller,
                place,
                deadline,
            },
        );
    }

    fn refused(
        &mut self,
        now: Timestamp,
        rank: rank::Rank,
        reason: outcome::Refusal,
    ) -> refusal::Refused {
        let wait = self.expected_wait(now, rank);
        let limit = self.limit.get();
        let rank = &mut self.ranks[rank.index()];
        let interval = rank.on_time.estimate.expected_wait(now, 1, limit);
        refusal::Refused {
            reason,
            return_after: rank.returns.reserve(now, wait, interval),
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.refuse(now, id, outcome::Refusal::DeadlineUnmet, decisions);
        }
    }

    fn refuse_all(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while let Some((_, id)) = self.deadlines.first().copied() {
            self.refuse(now, id, outcome::Refusal::EndpointDown, decisions);
        }
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        id: job::JobId,
        reason: outcome::Refusal,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(job) = self.remove(id) else {
            return;
        };
        let refused = self.refused(now, job.rank, reason);
        decisions.push(Decision::Refuse(id, refused));
    }

    /// Expected service time of each rank's jobs, in microseconds.
    fn costs(&self) -> [u64; 3] {
        [0, 1, 2].map(|index| self.ranks[index].service_us())
    }

    /// Whether each rank has waiting jobs.
    fn has_waiting(&self) -> [bool; 3] {
        [0, 1, 2].map(|index| !self.ranks[index].is_empty())
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
        self.ranks[index].correct_charge(&run.caller, run.is_late, run.charged_us, busy_us);
        match completion {
            job::Completion::Answered(service_time) => {
                self.ranks[index].record_service(busy);
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
        self.remove(id).is_some()
    }

    fn remove(&mut self, id: job::JobId) -> Option<job::Job> {
        let waiting = self.waiting.remove(&id)?;
        self.deadlines.remove(&(waiting.deadline, id));
        self.ranks[waiting.rank.index()].remove(&waiting.caller, waiting.place)
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
