//! A store in virtual time that is away, refuses, is silent, loses answers and forgets its history.

use std::hash;
use std::hash::Hasher;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::follow;
use cardamomhold_entry::store;

/// Time until an answer, in ms.
const ANSWER_MS: u64 = 4;

/// Age up to which the store keeps its history, in ms.
const HISTORY_MS: u64 = 20_000;

/// Age of the store's cache, in ms.
const CACHE_AGE_MS: u64 = 2_000;

/// Interval of changes to objects of no kind that is followed, in ms.
const OTHER_CHANGES_MS: u64 = 2_500;

/// Time at the start in which all instances list, in ms.
const START_MS: u64 = 5_000;

/// How the store fails calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It refuses them.
    Busy,
    /// It closes their connections.
    Reset,
    /// It doesn't answer.
    Silent,
    /// It loses one of so many answers.
    Lost(u64),
}

/// A time in which the store fails the calls of some instances.
#[derive(Debug, Clone)]
pub struct Outage {
    pub from: u64,
    pub until: u64,
    pub failure: Failure,
    /// One instance of so many has it, from this index on; 1 for all.
    pub one_of: usize,
}

impl Outage {
    fn hits(&self, now: u64, instance: usize) -> bool {
        (self.from..self.until).contains(&now) && instance.is_multiple_of(self.one_of)
    }
}

/// A change of an object; each kind has one.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: u64,
    revision: u64,
    kind: Option<Kind>,
}

/// A running call.
#[derive(Debug)]
pub struct Running {
    pub instance: usize,
    pub sent: u64,
    /// None for a read of the control objects.
    pub kind: Option<Kind>,
    pub call: follow::Call,
    /// Whether it gets no answer any more.
    is_lost: bool,
}

impl Running {
    pub fn new(instance: usize, sent: u64, kind: Option<Kind>, call: follow::Call) -> Self {
        Self {
            instance,
            sent,
            kind,
            call,
            is_lost: false,
        }
    }
}

#[derive(Debug)]
pub struct Store {
    changes: Vec<Change>,
    outages: Vec<Outage>,
    /// When it forgets its history, in ms.
    forgets: Vec<u64>,
    /// Number of calls of each instance, refused ones included.
    pub callers: Vec<usize>,
    /// Number of reads of the control objects, and of the other calls by kind.
    pub reads: usize,
    pub by_kind: [usize; 3],
    /// The most of these other calls in a second after the start.
    pub busiest: usize,
    second: (u64, usize),
}

impl Store {
    pub fn new(instances: usize, outages: Vec<Outage>, forgets: Vec<u64>) -> Self {
        let first = Kind::ALL.into_iter().zip(1..);
        let changes = first.map(|(kind, revision)| Change {
            at: 0,
            revision,
            kind: Some(kind),
        });
        Self {
            changes: changes.collect(),
            outages,
            forgets,
            callers: vec![0; instances],
            reads: 0,
            by_kind: [0; 3],
            busiest: 0,
            second: (0, 0),
        }
    }

    fn push(&mut self, at: u64, kind: Option<Kind>) -> u64 {
        let revision = self.changes.last().map_or(0, |c| c.revision) + 1;
        self.changes.push(Change { at, revision, kind });
        revision
    }

    /// Changes the object of a kind; returns the revision, none if the store is away.
    pub fn change(&mut self, now: u64, kind: Kind) -> Option<u64> {
        let is_away = |o: &Outage| o.one_of == 1 && o.hits(now, 0);
        if self.outages.iter().any(is_away) {
            return None;
        }
        Some(self.push(now, Some(kind)))
    }

    /// Counts a call.
    pub fn count_call(&mut self, now: u64, instance: usize, kind: Option<Kind>) {
        self.callers[instance] += 1;
        let Some(kind) = kind else {
            self.reads += 1;
            return;
        };
        self.by_kind[kind as usize] += 1;
        let (second, count) = self.second;
        self.second = match second == now / 1_000 {
            true => (second, count + 1),
            false => (now / 1_000, 1),
        };
        if now >= START_MS {
            self.busiest = self.busiest.max(self.second.1);
        }
    }

    /// Lets time pass.
    pub fn step(&mut self, now: u64) {
        if now.is_multiple_of(OTHER_CHANGES_MS) {
            self.push(now, None);
        }
    }

    /// Whether it has been without disturbance for `window` ms.
    pub fn is_stable(&self, now: u64, window: u64) -> bool {
        let is_disturbed = |o: &Outage| o.from <= now && now < o.until + window;
        !self.outages.iter().any(is_disturbed)
    }

    fn revision_at(&self, at: u64) -> u64 {
        let before = self.changes.iter().rev().find(|c| c.at <= at);
        before.map_or(0, |c| c.revision)
    }

    /// Oldest revision from which it can be watched.
    fn oldest(&self, now: u64) -> u64 {
        let forgotten = self.forgets.iter().filter(|at| **at <= now).max();
        let kept = now.saturating_sub(HISTORY_MS);
        self.revision_at(kept.max(forgotten.copied().unwrap_or(0)))
    }

    fn document(&self, kind: Kind, until: u64) -> Option<store::Document> {
        let mut changes = self.changes.iter().rev();
        let last = changes.find(|c| c.kind == Some(kind) && c.revision <= until)?;
        Some(store::Document {
            name: "main".to_owned(),
            revision: last.revision,
            content: serde_json::Value::Null,
        })
    }

    /// The answer to a call, if there is one now. `is_reachable` tells whether its instance reaches
    /// the store.
    pub fn poll(
        &self,
        now: u64,
        running: &mut Running,
        is_reachable: bool,
    ) -> Option<follow::Answer> {
        let timeout = match running.call {
            follow::Call::List { timeout } | follow::Call::Watch { timeout, .. } => timeout,
        };
        if now >= running.sent + timeout.as_millis() as u64 {
            return Some(follow::Answer::TimedOut);
        }
        running.is_lost |= !is_reachable;
        let is_first = now < running.sent + 2 * ANSWER_MS;
        for outage in &self.outages {
            if !outage.hits(now, running.instance) {
                continue;
            }
            match outage.failure {
                Failure::Busy if is_first => {
                    return Some(failed(running, store::StoreError::Refused(503)));
                }
                Failure::Busy => {}
                Failure::Reset => {
                    let error = store::StoreError::Lost("reset".to_owned());
                    return Some(failed(running, error));
                }
                Failure::Silent => running.is_lost = true,
                Failure::Lost(one_of) => {
                    let mut hasher = hash::DefaultHasher::new();
                    hasher.write_u64(running.sent);
                    hasher.write_usize(running.instance);
                    running.is_lost |= hasher.finish().is_multiple_of(one_of);
                }
            }
        }
        if running.is_lost || now < running.sent + ANSWER_MS {
            return None;
        }
        self.answer(now, running)
    }

    fn answer(&self, now: u64, running: &Running) -> Option<follow::Answer> {
        let revision = self.revision_at(now);
        match running.call {
            follow::Call::List { .. } => {
                let document = running.kind.and_then(|k| self.document(k, revision));
                Some(follow::Answer::Listed(Ok(store::Listing {
                    documents: document.into_iter().collect(),
                    revision,
                })))
            }
            follow::Call::Watch {
                revision: after, ..
            } if after < self.oldest(now) => Some(failed(running, store::StoreError::Compacted)),
            follow::Call::Watch {
                freshness,
                revision: after,
                wait,
                ..
            } => {
                let visible = match freshness {
                    store::Freshness::Latest => revision,
                    store::Freshness::Cached => self.revision_at(now.saturating_sub(CACHE_AGE_MS)),
                };
                let document = running.kind.and_then(|k| self.document(k, visible));
                let changed = document.filter(|d| d.revision > after);
                let is_over = now >= running.sent + wait.as_millis() as u64;
                let is_due = changed.is_some() || is_over;
                let changes = changed.map(store::Change::Put).into_iter().collect();
                is_due.then_some(follow::Answer::Watched(Ok((changes, visible))))
            }
        }
    }
}

fn failed(running: &Running, error: store::StoreError) -> follow::Answer {
    match running.call {
        follow::Call::List { .. } => follow::Answer::Listed(Err(error)),
        follow::Call::Watch { .. } => follow::Answer::Watched(Err(error)),
    }
}

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}
