//! Admission of transactions to one endpoint.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time;

/// Identifies a job within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// One transaction that wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its identity.
    pub id: JobId,
    /// Its rank.
    pub rank: rank::Rank,
    /// Who asks.
    pub caller: name::CallerName,
    /// When an answer is no longer of use.
    pub deadline: time::Timestamp,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Transactions that run at once.
    pub running: usize,
    /// Transactions of one rank that wait.
    pub waiting: usize,
}

/// What the queue decided of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Start(JobId),
    /// Refuse it; it did not run.
    Refuse(JobId, outcome::Refusal),
}

/// The queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    running: usize,
    waiting: [collections::VecDeque<Job>; 3],
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: 0,
            waiting: Default::default(),
        }
    }

    /// Takes a job in, or refuses it at once.
    ///
    /// # Errors
    /// The refusal, when the queue of the job's rank is full or its deadline has passed.
    pub fn offer(&mut self, now: time::Timestamp, job: Job) -> Result<(), outcome::Refusal> {
        if job.deadline <= now {
            return Err(outcome::Refusal::DeadlineUnmet);
        }
        let line = &mut self.waiting[job.rank.index()];
        if line.len() >= self.limits.waiting {
            return Err(outcome::Refusal::QueueFull);
        }
        line.push_back(job);
        Ok(())
    }

    /// Decides what starts and what is refused now.
    pub fn poll(&mut self, now: time::Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for line in &mut self.waiting {
            while self.running < self.limits.running {
                let Some(job) = line.pop_front() else {
                    break;
                };
                if job.deadline <= now {
                    decisions.push(Decision::Refuse(job.id, outcome::Refusal::DeadlineUnmet));
                    continue;
                }
                self.running += 1;
                decisions.push(Decision::Start(job.id));
            }
        }
        decisions
    }

    /// Forgets a job that waits no longer; true when it was waiting.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        for line in &mut self.waiting {
            let before = line.len();
            line.retain(|job| job.id != id);
            if line.len() < before {
                return true;
            }
        }
        false
    }

    /// Takes note that a started job has ended.
    pub fn finish(&mut self, _id: JobId) {
        self.running = self.running.saturating_sub(1);
    }

    /// When [`Queue::poll`] has something to decide without another event.
    pub fn wake(&self) -> Option<time::Timestamp> {
        let deadlines = self.waiting.iter().flatten().map(|job| job.deadline);
        deadlines.min()
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(|line| line.len()).sum()
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Takes new bounds.
    pub fn resize(&mut self, limits: Limits) {
        self.limits = limits;
    }
}
