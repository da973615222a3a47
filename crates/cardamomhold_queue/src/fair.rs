//! Fair shares between the callers of one rank, by start-time fair queueing.
//!
//! Each caller has a tag of virtual time that grows by the service it gets, divided by
//! its weight; the caller with the least tag goes next.

use std::collections;

use cardamomhold_core::name;

use crate::job;

/// Scale of virtual time and of queue lengths, so that division by a weight keeps digits.
const SCALE: u64 = 1_000;

/// Starts of a rank that count as recent use when a full line must give up a job.
pub const RECENT: usize = 1_024;

/// The waiting jobs of one rank.
#[derive(Debug, Default)]
pub struct Fair {
    now: u64,
    next_seq: u64,
    len: usize,
    weight: u64,
    lines: collections::BTreeMap<name::CallerName, Line>,
    ready: collections::BTreeSet<(u64, name::CallerName)>,
    idle: collections::BTreeSet<(u64, name::CallerName)>,
    largest: collections::BTreeSet<(u64, name::CallerName)>,
    recent: collections::VecDeque<name::CallerName>,
}

/// What one caller has waiting.
#[derive(Debug, Default)]
struct Line {
    tag: u64,
    weight: u64,
    recent: u64,
    jobs: collections::BTreeMap<u64, job::Job>,
}

impl Line {
    /// What the caller has and had of late, for its weight.
    fn load(&self) -> u64 {
        (self.jobs.len() as u64 + self.recent) * SCALE / self.weight
    }
}

impl Fair {
    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Puts a job at the end of its caller's line and returns its place there.
    pub fn push(&mut self, job: job::Job) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        let caller = job.caller.clone();
        self.detach(&caller);
        let line = self.lines.entry(caller.clone()).or_default();
        line.weight = job.weight.max(1).into();
        if line.jobs.is_empty() {
            line.tag = line.tag.max(self.now);
        }
        line.jobs.insert(seq, job);
        self.len += 1;
        self.attach(&caller);
        seq
    }

    /// Takes the next job: the oldest of the caller that is furthest behind its share.
    pub fn pop(&mut self, cost_us: u64) -> Option<job::Job> {
        let (tag, caller) = self.ready.first()?.clone();
        self.now = self.now.max(tag);
        self.detach(&caller);
        let line = self.lines.get_mut(&caller)?;
        let (_, job) = line.jobs.pop_first()?;
        line.tag += cost_us * SCALE / line.weight;
        line.recent += 1;
        self.len -= 1;
        self.attach(&caller);
        self.recent.push_back(caller);
        if self.recent.len() > RECENT {
            self.forget_start();
        }
        self.forget_idle();
        Some(job)
    }

    /// Takes a job out of the line.
    pub fn remove(&mut self, caller: &name::CallerName, seq: u64) -> Option<job::Job> {
        self.detach(caller);
        let line = self.lines.get_mut(caller);
        let job = line.and_then(|l| l.jobs.remove(&seq));
        if job.is_some() {
            self.len -= 1;
        }
        self.attach(caller);
        job
    }

    /// Corrects what a caller was charged at the start of a job.
    pub fn correct(&mut self, caller: &name::CallerName, charged_us: u64, cost_us: u64) {
        self.detach(caller);
        if let Some(line) = self.lines.get_mut(caller) {
            let charged = charged_us * SCALE / line.weight;
            let cost = cost_us * SCALE / line.weight;
            line.tag = (line.tag + cost).saturating_sub(charged);
        }
        self.attach(caller);
    }

    /// The youngest job of the caller that has most of the rank for its weight, if that is
    /// more than `caller` would have with one job more. What a caller has are its waiting
    /// jobs and its recent starts.
    pub fn larger_than(&self, caller: &name::CallerName, weight: u32) -> Option<&job::Job> {
        let line = self.lines.get(caller);
        let own = line.map_or(0, |l| l.jobs.len() as u64 + l.recent) + 1;
        let (load, largest) = self.largest.last()?;
        if *load <= own * SCALE / u64::from(weight.max(1)) {
            return None;
        }
        let (_, job) = self.lines.get(largest)?.jobs.last_key_value()?;
        Some(job)
    }

    /// Number of callers with waiting jobs.
    pub fn callers(&self) -> usize {
        self.ready.len()
    }

    /// Greatest number of waiting jobs that go before the next job of a caller.
    pub fn ahead(&self, caller: &name::CallerName, weight: u32) -> usize {
        let line = self.lines.get(caller).filter(|l| !l.jobs.is_empty());
        let own = line.map_or(0, |l| l.jobs.len());
        let weight = u64::from(weight.max(1));
        let all = self.weight + if line.is_some() { 0 } else { weight };
        let rounds = (own as u64 + 1) * all / weight;
        self.len.min(rounds as usize)
    }

    /// Takes a caller out of the indexes before its line changes.
    fn detach(&mut self, caller: &name::CallerName) {
        let Some(line) = self.lines.get(caller) else {
            return;
        };
        let by_tag = (line.tag, caller.clone());
        if line.jobs.is_empty() {
            self.idle.remove(&by_tag);
            return;
        }
        self.ready.remove(&by_tag);
        self.largest.remove(&(line.load(), caller.clone()));
        self.weight -= line.weight;
    }

    /// Puts a caller into the indexes after its line has changed.
    fn attach(&mut self, caller: &name::CallerName) {
        let Some(line) = self.lines.get(caller) else {
            return;
        };
        let by_tag = (line.tag, caller.clone());
        if line.jobs.is_empty() {
            self.idle.insert(by_tag);
            return;
        }
        self.ready.insert(by_tag);
        self.largest.insert((line.load(), caller.clone()));
        self.weight += line.weight;
    }

    /// Forgets the oldest of the recent starts.
    fn forget_start(&mut self) {
        let Some(caller) = self.recent.pop_front() else {
            return;
        };
        self.detach(&caller);
        if let Some(line) = self.lines.get_mut(&caller) {
            line.recent -= 1;
        }
        self.attach(&caller);
    }

    /// Drops callers without jobs and recent starts whose next job would start at the
    /// present tag anyway.
    fn forget_idle(&mut self) {
        while let Some((tag, caller)) = self.idle.pop_first() {
            if tag > self.now {
                self.idle.insert((tag, caller));
                return;
            }
            if self.lines.get(&caller).is_some_and(|l| l.recent == 0) {
                self.lines.remove(&caller);
            }
        }
    }
}
