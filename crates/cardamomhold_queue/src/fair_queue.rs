//! Fair queueing between the callers of one rank, by start-time fair queueing (SFQ).
//!
//! Each caller has a tag of virtual time that grows by the service it gets, divided by
//! its weight; the caller with the lowest tag is served next.

use std::collections;

use cardamomhold_core::name;

use crate::job;

/// Fixed-point scale of virtual time and of loads, to limit rounding in divisions by a weight.
const FIXED_POINT_SCALE: u64 = 1_000;

/// Number of the rank's latest starts that count towards the load of their callers when a
/// full queue must evict a job.
pub const RECENT_STARTS: usize = 1_024;

/// The waiting jobs of one rank.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: u64,
    next_seq: u64,
    len: usize,
    /// Sum of the weights of all callers with waiting jobs.
    total_weight: u64,
    queues: collections::BTreeMap<name::CallerName, CallerQueue>,
    /// Callers with waiting jobs, by tag and then by their oldest job.
    ready: collections::BTreeSet<(u64, u64, name::CallerName)>,
    /// Callers without waiting jobs, by tag.
    idle: collections::BTreeSet<(u64, name::CallerName)>,
    /// Callers with waiting jobs, by load.
    by_load: collections::BTreeSet<(u64, name::CallerName)>,
    /// Callers of the latest starts, oldest first.
    recent_starts: collections::VecDeque<name::CallerName>,
}

/// The waiting jobs of one caller.
#[derive(Debug, Default)]
struct CallerQueue {
    tag: u64,
    weight: u64,
    recent_starts: u64,
    jobs: collections::BTreeMap<u64, job::Job>,
}

impl CallerQueue {
    /// Key in the order of service: the tag and the sequence number of the oldest job.
    fn key(&self, caller: &name::CallerName) -> (u64, u64, name::CallerName) {
        let oldest = self.jobs.first_key_value().map_or(0, |(seq, _)| *seq);
        (self.tag, oldest, caller.clone())
    }

    /// The caller's waiting jobs and recent starts, divided by its weight.
    fn load(&self) -> u64 {
        (self.jobs.len() as u64 + self.recent_starts) * FIXED_POINT_SCALE / self.weight
    }
}

impl FairQueue {
    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a job at the end of its caller's queue and returns its sequence number.
    pub fn push(&mut self, job: job::Job) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        let caller = job.caller.clone();
        self.remove_from_indexes(&caller);
        let queue = self.queues.entry(caller.clone()).or_default();
        queue.weight = job.weight.max(1).into();
        if queue.jobs.is_empty() {
            queue.tag = queue.tag.max(self.virtual_time);
        }
        queue.jobs.insert(seq, job);
        self.len += 1;
        self.add_to_indexes(&caller);
        seq
    }

    /// The oldest jobs of all callers, in the order in which the callers are served.
    pub fn heads(&self) -> impl Iterator<Item = &job::Job> {
        let queues = self.ready.iter().filter_map(|(.., c)| self.queues.get(c));
        queues.filter_map(|q| q.jobs.first_key_value().map(|(_, job)| job))
    }

    /// Removes and returns the next job: the oldest one of the caller with the lowest tag, among
    /// the callers whose oldest job `may_start`. Charges `cost_us` of service to the caller.
    pub fn pop(&mut self, cost_us: u64, may_start: &dyn Fn(&job::Job) -> bool) -> Option<job::Job> {
        let caller = self.heads().find(|job| may_start(job))?.caller.clone();
        let tag = self.queues.get(&caller)?.tag;
        self.virtual_time = self.virtual_time.max(tag);
        self.remove_from_indexes(&caller);
        let queue = self.queues.get_mut(&caller)?;
        let (_, job) = queue.jobs.pop_first()?;
        queue.tag += cost_us * FIXED_POINT_SCALE / queue.weight;
        queue.recent_starts += 1;
        self.len -= 1;
        self.add_to_indexes(&caller);
        self.recent_starts.push_back(caller);
        if self.recent_starts.len() > RECENT_STARTS {
            self.drop_oldest_start();
        }
        self.drop_idle();
        Some(job)
    }

    /// Removes a waiting job.
    pub fn remove(&mut self, caller: &name::CallerName, seq: u64) -> Option<job::Job> {
        self.remove_from_indexes(caller);
        let queue = self.queues.get_mut(caller);
        let job = queue.and_then(|q| q.jobs.remove(&seq));
        if job.is_some() {
            self.len -= 1;
        }
        self.add_to_indexes(caller);
        job
    }

    /// Replaces the estimated cost charged to a caller at the start of a job by the actual
    /// cost, both in microseconds.
    pub fn correct_charge(&mut self, caller: &name::CallerName, charged_us: u64, cost_us: u64) {
        self.remove_from_indexes(caller);
        if let Some(queue) = self.queues.get_mut(caller) {
            let charged = charged_us * FIXED_POINT_SCALE / queue.weight;
            let cost = cost_us * FIXED_POINT_SCALE / queue.weight;
            queue.tag = (queue.tag + cost).saturating_sub(charged);
        }
        self.add_to_indexes(caller);
    }

    /// The job to evict for a new job of `caller`: the newest one of the caller with the
    /// highest load, if that load is higher than the load of `caller` with one more job. The
    /// load is the number of waiting jobs and recent starts, divided by the weight.
    pub fn eviction_candidate(&self, caller: &name::CallerName, weight: u32) -> Option<&job::Job> {
        let queue = self.queues.get(caller);
        let own_jobs = queue.map_or(0, |q| q.jobs.len() as u64 + q.recent_starts) + 1;
        let (load, heaviest) = self.by_load.last()?;
        if *load <= own_jobs * FIXED_POINT_SCALE / u64::from(weight.max(1)) {
            return None;
        }
        let (_, job) = self.queues.get(heaviest)?.jobs.last_key_value()?;
        Some(job)
    }

    /// Number of callers with waiting jobs.
    pub fn callers(&self) -> usize {
        self.ready.len()
    }

    /// Estimated number of waiting jobs that start before the next job of a caller, if all jobs
    /// cost the same.
    pub fn jobs_ahead(&self, caller: &name::CallerName, weight: u32) -> usize {
        let queue = self.queues.get(caller).filter(|q| !q.jobs.is_empty());
        let own_jobs = queue.map_or(0, |q| q.jobs.len());
        let weight = u64::from(weight.max(1));
        let total_weight = self.total_weight + if queue.is_some() { 0 } else { weight };
        let jobs_ahead = (own_jobs as u64 + 1) * total_weight / weight;
        self.len.min(jobs_ahead as usize)
    }

    /// Removes a caller from the indexes before its queue changes.
    fn remove_from_indexes(&mut self, caller: &name::CallerName) {
        let Some(queue) = self.queues.get(caller) else {
            return;
        };
        if queue.jobs.is_empty() {
            self.idle.remove(&(queue.tag, caller.clone()));
            return;
        }
        self.ready.remove(&queue.key(caller));
        self.by_load.remove(&(queue.load(), caller.clone()));
        self.total_weight -= queue.weight;
    }

    /// Adds a caller to the indexes after its queue has changed.
    fn add_to_indexes(&mut self, caller: &name::CallerName) {
        let Some(queue) = self.queues.get(caller) else {
            return;
        };
        if queue.jobs.is_empty() {
            self.idle.insert((queue.tag, caller.clone()));
            return;
        }
        self.ready.insert(queue.key(caller));
        self.by_load.insert((queue.load(), caller.clone()));
        self.total_weight += queue.weight;
    }

    /// Drops the oldest of the recent starts.
    fn drop_oldest_start(&mut self) {
        let Some(caller) = self.recent_starts.pop_front() else {
            return;
        };
        self.remove_from_indexes(&caller);
        if let Some(queue) = self.queues.get_mut(&caller) {
            queue.recent_starts -= 1;
        }
        self.add_to_indexes(&caller);
    }

    /// Drops callers without waiting jobs or recent starts whose next job would start at the
    /// current virtual time anyway.
    fn drop_idle(&mut self) {
        while let Some((tag, caller)) = self.idle.pop_first() {
            if tag > self.virtual_time {
                self.idle.insert((tag, caller));
                return;
            }
            if self
                .queues
                .get(&caller)
                .is_some_and(|q| q.recent_starts == 0)
            {
                self.queues.remove(&caller);
            }
        }
    }
}
