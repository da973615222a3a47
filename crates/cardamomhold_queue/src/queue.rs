//! Admission of transactions to one endpoint.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

use crate::breaker;
use crate::fair;
use crate::job;
use crate::limit;
use crate::pace;
use crate::share;

/// Services that must fit between a job's expected start and its deadline.
const SERVICES_TO_SPARE: u32 = 2;

/// Jobs of each caller that may wait, however long an overload lasts.
const LEAST_WAITING: usize = 2;

/// Time that an open breaker waits before its next probe.
const BREAKER_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Bounds of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankLimits {
    /// Guaranteed part of the endpoint's service, in percent.
    pub share_percent: u32,
    /// Jobs that wait.
    pub waiting: usize,
    /// Wait that a lasting overload may cause.
    pub target: time::Duration,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Greatest number of jobs that run at once.
    pub running: usize,
    /// Jobs that run at once until something was measured.
    pub slots: usize,
    /// Bounds of each rank, the most urgent first.
    pub ranks: [RankLimits; 3],
    /// When the breaker opens.
    pub trip: breaker::Trip,
}

/// What the queue decided of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Start(job::JobId),
    /// Refuse it; it did not run.
    Refuse(job::JobId, outcome::Refusal),
}

/// Where a waiting job stands.
#[derive(Debug)]
struct Place {
    rank: rank::Rank,
    caller: name::CallerName,
    seq: u64,
    deadline: Timestamp,
}

/// A job that runs.
#[derive(Debug)]
struct Running {
    rank: rank::Rank,
    caller: name::CallerName,
    since: Timestamp,
    held: time::Duration,
    charged_us: u64,
    is_probe: bool,
    filled: bool,
}

/// The queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    limit: limit::Limit,
    breaker: breaker::Breaker,
    shares: share::Shares,
    lines: [fair::Fair; 3],
    paces: [pace::Pace; 3],
    places: collections::HashMap<job::JobId, Place>,
    deadlines: collections::BTreeSet<(Timestamp, job::JobId)>,
    running: collections::HashMap<job::JobId, Running>,
    paused: collections::HashMap<job::JobId, Running>,
    evicted: Vec<job::JobId>,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            limit: limit::Limit::new(limits.slots, limits.running),
            breaker: breaker::Breaker::new(limits.trip, BREAKER_PAUSE),
            shares: share::Shares::new(limits.ranks.map(|r| r.share_percent)),
            lines: Default::default(),
            paces: Default::default(),
            places: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            running: collections::HashMap::new(),
            paused: collections::HashMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Takes a job in, or refuses it at once.
    ///
    /// A full line makes room by giving up the youngest job of the caller that holds most
    /// of it; the next [`Queue::poll`] reports that job.
    ///
    /// # Errors
    /// The refusal: the endpoint is down, the deadline can't be met, or the line is full
    /// and no waiting caller holds more of the rank than the job's caller.
    pub fn offer(&mut self, now: Timestamp, job: job::Job) -> Result<(), outcome::Refusal> {
        if self.breaker.gate(now) == breaker::Gate::Shut {
            return Err(outcome::Refusal::EndpointDown);
        }
        if !self.is_in_time(now, &job) {
            return Err(outcome::Refusal::DeadlineUnmet);
        }
        let at = job.rank.index();
        let limits = &self.limits.ranks[at];
        let least = (self.lines[at].callers() + 1) * LEAST_WAITING;
        let room = self.paces[at].room(now, limits.target, limits.waiting);
        let room = room.max(least).min(limits.waiting);
        if self.lines[at].len() >= room {
            let largest = self.lines[at].larger_than(&job.caller, job.weight);
            let id = largest.map(|j| j.id).ok_or(outcome::Refusal::QueueFull)?;
            self.withdraw(id);
            self.evicted.push(id);
        }
        let job::Job {
            id, rank, deadline, ..
        } = job;
        let caller = job.caller.clone();
        let seq = self.lines[at].push(job);
        self.paces[at].waits(now);
        self.deadlines.insert((deadline, id));
        self.places.insert(
            id,
            Place {
                rank,
                caller,
                seq,
                deadline,
            },
        );
        Ok(())
    }

    /// Whether a job is likely to be answered in time.
    fn is_in_time(&self, now: Timestamp, job: &job::Job) -> bool {
        let at = job.rank.index();
        if job.deadline <= now {
            return false;
        }
        let ahead = self.lines[at].ahead(&job.caller, job.weight);
        if ahead == 0 {
            // The head of a line always gets its trial, so that estimates stay true.
            return true;
        }
        let pace = &self.paces[at];
        let service = time::Duration::from_micros(pace.service_us());
        let wait = pace.wait(ahead, self.limit.get());
        now.after(wait + service * SERVICES_TO_SPARE) <= job.deadline
    }

    /// Decides what starts and what is refused now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for id in self.evicted.drain(..) {
            decisions.push(Decision::Refuse(id, outcome::Refusal::QueueFull));
        }
        self.expire(now, &mut decisions);
        while self.has_room() {
            let gate = self.breaker.gate(now);
            if gate == breaker::Gate::Shut {
                break;
            }
            let Some(job) = self.next() else {
                break;
            };
            let id = job.id;
            self.start(now, job, gate == breaker::Gate::Probe);
            decisions.push(Decision::Start(id));
        }
        if self.breaker.gate(now) == breaker::Gate::Shut {
            self.refuse_all(&mut decisions);
        }
        decisions
    }

    /// Whether another job may start: within the limit, and with a connection to spare.
    fn has_room(&self) -> bool {
        let started = self.running.len() + self.paused.len();
        self.running.len() < self.limit.get() && started < self.limits.running
    }

    fn expire(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
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

    fn has_work(&self) -> [bool; 3] {
        [0, 1, 2].map(|at| !self.lines[at].is_empty())
    }

    fn costs(&self) -> [u64; 3] {
        [0, 1, 2].map(|at| self.paces[at].service_us())
    }

    fn next(&mut self) -> Option<job::Job> {
        let costs = self.costs();
        let rank = self.shares.pick(self.has_work(), costs)?;
        let job = self.lines[rank.index()].pop(costs[rank.index()])?;
        self.places.remove(&job.id);
        self.deadlines.remove(&(job.deadline, job.id));
        Some(job)
    }

    fn start(&mut self, now: Timestamp, job: job::Job, is_probe: bool) {
        let at = job.rank.index();
        let charged_us = self.paces[at].service_us();
        self.shares
            .charge(job.rank, charged_us as i64, self.has_work());
        self.paces[at].started(now, !self.lines[at].is_empty());
        if is_probe {
            self.breaker.probe();
        }
        let filled = self.running.len() + 1 >= self.limit.get();
        self.running.insert(
            job.id,
            Running {
                rank: job.rank,
                caller: job.caller,
                since: now,
                held: time::Duration::ZERO,
                charged_us,
                is_probe,
                filled,
            },
        );
    }

    /// Takes note that a started job has ended; of others it takes no note.
    pub fn finish(&mut self, now: Timestamp, id: job::JobId, ended: job::Ended) {
        let Some(run) = self.take_started(now, id) else {
            return;
        };
        let at = run.rank.index();
        let held = run.held;
        let held_us = held.as_micros() as u64;
        let correction = held_us as i64 - run.charged_us as i64;
        self.shares.charge(run.rank, correction, self.has_work());
        self.lines[at].correct(&run.caller, run.charged_us, held_us);
        match ended {
            job::Ended::Answered(took) => {
                self.paces[at].ended(held);
                if run.filled {
                    self.limit.sample(at, took);
                }
                self.breaker.record(now, true, run.is_probe);
            }
            job::Ended::Failed => self.breaker.record(now, false, run.is_probe),
            job::Ended::Unused if run.is_probe => self.breaker.abandon(now),
            job::Ended::Unused => {}
        }
    }

    fn take_started(&mut self, now: Timestamp, id: job::JobId) -> Option<Running> {
        if let Some(mut run) = self.running.remove(&id) {
            run.held += now.since(run.since);
            return Some(run);
        }
        self.paused.remove(&id)
    }

    /// Takes note that a started job leaves the endpoint idle for a while: its caller
    /// thinks, and others may run meanwhile.
    pub fn pause(&mut self, now: Timestamp, id: job::JobId) {
        if let Some(mut run) = self.running.remove(&id) {
            run.held += now.since(run.since);
            self.paused.insert(id, run);
        }
    }

    /// Takes note that a paused job goes on; it has its connection, so it does not wait,
    /// and the limit may be exceeded until another job ends.
    pub fn resume(&mut self, now: Timestamp, id: job::JobId) {
        if let Some(mut run) = self.paused.remove(&id) {
            run.since = now;
            self.running.insert(id, run);
        }
    }

    /// Forgets a job that waits no longer; true when it was waiting.
    pub fn withdraw(&mut self, id: job::JobId) -> bool {
        let Some(place) = self.places.remove(&id) else {
            return false;
        };
        self.deadlines.remove(&(place.deadline, id));
        let at = place.rank.index();
        self.lines[at].remove(&place.caller, place.seq);
        if self.lines[at].is_empty() {
            self.paces[at].emptied();
        }
        true
    }

    /// When [`Queue::poll`] has something to decide without another event.
    pub fn wake(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of started jobs that leave the endpoint idle.
    pub fn paused(&self) -> usize {
        self.paused.len()
    }

    /// Number of jobs that may run at once now.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Takes new bounds; what was measured stays.
    pub fn resize(&mut self, limits: Limits) {
        self.shares.set(limits.ranks.map(|r| r.share_percent));
        self.limit.bound(limits.running);
        if limits.slots != self.limits.slots {
            self.limit = limit::Limit::new(limits.slots, limits.running);
        }
        self.limits = limits;
    }
}
