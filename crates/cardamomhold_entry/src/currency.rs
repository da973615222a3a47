//! Up to which time an instance's copies of configuration, members and instances are complete, and
//! whether it watches the store itself.
//!
//! Load pattern: each watch of the store is paid for, by its answers and by its wait time, and so is
//! each change for every instance that watches. So one instance watches, the others are told by
//! their readers up to which time its copies are complete, and take changed objects from them. An
//! instance whose copies aren't known to be complete recently watches the store itself: first those
//! that the others ask, then all.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::contents::Kind;

/// Time in which a change of the instances is to be known everywhere.
const INSTANCES_TIME: time::Duration = time::Duration::from_millis(20_000);

/// The same while nobody vouches: the instance that watches may have been replaced, and the voters
/// of a fleet that is replaced within seconds must follow it.
const REPLACED_TIME: time::Duration = time::Duration::from_millis(4_000);

/// Instances by rank that watch the store early when nobody vouches.
const EARLY_RANKS: u32 = 3;

/// Instances by rank that list the store at their start. A fleet of this size serves at once after
/// all were restarted, and in a larger one the others get their first copies from these.
const LISTING_RANKS: u32 = 32;

/// Time that the other instances leave for that: two ticks, and the way of the copies.
const FIRST_COPY_TIME: time::Duration = time::Duration::from_millis(600);

/// Interval at which an instance that no other asks looks for one that vouches.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Vouches that wait until this instance has the objects that it lacks.
const MAX_PENDING: usize = 8;

/// Whether a kind is watched in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// It isn't: another instance vouches for its copy, or is about to.
    #[default]
    Idle,
    /// With a long wait: the reads of the control objects show the store's revision, and so whether
    /// the watch has missed a change.
    Long,
    /// With a short wait, as a silent connection would not be noticed otherwise.
    Short,
}

/// States that the sender's copies are complete.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vouch {
    /// The instance that has compared its configuration with the store.
    pub origin: name::InstanceName,
    /// Age of the last comparison of each kind, in microseconds.
    pub ages_us: [u64; 3],
    /// Revision by which the last change of each kind was known.
    pub heads: [u64; 3],
}

/// Times in which changes must be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Of the configuration.
    pub config: time::Duration,
    /// Of the members.
    pub members: time::Duration,
}

impl Bounds {
    fn of(self, kind: Kind) -> time::Duration {
        match kind {
            Kind::Config => self.config,
            Kind::Members => self.members,
            Kind::Instances => INSTANCES_TIME,
        }
    }

    /// Age of the last comparison above which an instance watches a kind itself. The listing that
    /// follows, and passing it on, take the rest of the time.
    fn max_age(self, kind: Kind, rank: u32) -> time::Duration {
        part_of(self.of(kind), rank)
    }
}

/// The part of a time after which an instance watches the store itself.
fn part_of(time: time::Duration, rank: u32) -> time::Duration {
    match rank < EARLY_RANKS {
        true => time / 4,
        false => time / 2,
    }
}

/// This instance's copy of a kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    /// Revision of the store up to which it is complete; none without a copy.
    pub revision: Option<u64>,
    /// Revision by which the last change was known.
    pub head: u64,
    /// When the call was sent by which the copy was last compared with the store.
    pub checked: Option<Timestamp>,
}

/// What other instances have vouched for.
#[derive(Debug, Clone)]
struct Report {
    /// The instance that has compared its configuration with the store.
    origin: name::InstanceName,
    /// When each kind was last compared.
    at: [Timestamp; 3],
    heads: [u64; 3],
}

impl Report {
    fn config(&self) -> Timestamp {
        self.at[Kind::Config as usize]
    }

    /// Takes over what a report with a newer comparison of the configuration states. The kinds are
    /// compared by different instances, so that another kind may be older in it.
    fn update(&mut self, newer: Self) {
        let at = std::array::from_fn(|kind| self.at[kind].max(newer.at[kind]));
        *self = Self { at, ..newer };
    }
}

/// How recent this instance's copies are.
#[derive(Debug)]
pub struct Currency {
    bounds: Bounds,
    started: Timestamp,
    held: [Held; 3],
    /// When the last read of the control objects was sent that the store has answered.
    control: Option<Timestamp>,
    /// The vouches of which this instance lacks nothing.
    report: Option<Report>,
    /// Vouches of which it lacks something, the newest last.
    pending: collections::VecDeque<Report>,
    /// When another instance was last asked beside the reader, and how often.
    requested: Option<Timestamp>,
    requests: u32,
}

impl Currency {
    /// Creates the state of an instance that starts at `now`.
    pub fn new(now: Timestamp, bounds: Bounds) -> Self {
        Self {
            bounds,
            started: now,
            held: [Held::default(); 3],
            control: None,
            report: None,
            pending: collections::VecDeque::new(),
            requested: None,
            requests: 0,
        }
    }

    /// Records this instance's copy of a kind.
    pub fn record_held(&mut self, kind: Kind, held: Held) {
        let known = &mut self.held[kind as usize];
        let checked = known.checked.max(held.checked);
        *known = Held { checked, ..held };
        while let Some(index) = self.pending.iter().rposition(|r| !self.lacks(&r.heads)) {
            let complete = self.pending.drain(..=index).next_back();
            self.accept(complete);
        }
    }

    fn accept(&mut self, report: Option<Report>) {
        match (&mut self.report, report) {
            (Some(known), Some(report)) => known.update(report),
            (None, report) => self.report = report,
            (Some(_), None) => {}
        }
    }

    /// Records that the store had this revision when a read of the control objects was sent. Copies
    /// of this revision are complete.
    pub fn record_control(&mut self, sent: Timestamp, revision: u64) {
        self.control = self.control.max(Some(sent));
        for held in &mut self.held {
            if held.revision.is_some_and(|r| r >= revision) {
                held.checked = held.checked.max(Some(sent));
            }
        }
    }

    /// Records the vouch of another instance, which was given at the time `given`.
    pub fn record_vouch(&mut self, own: &name::InstanceName, given: Timestamp, vouch: &Vouch) {
        let report = Report {
            origin: vouch.origin.clone(),
            at: vouch.ages_us.map(|age| given.before_us(age)),
            heads: vouch.heads,
        };
        let known = self.report.as_ref();
        let is_newer = known.is_none_or(|r| r.config() < report.config());
        if vouch.origin == *own || !is_newer {
            return;
        }
        if !self.lacks(&report.heads) {
            self.accept(Some(report));
            self.pending.clear();
            return;
        }
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(MAX_PENDING / 2);
        }
        self.pending.push_back(report);
    }

    /// Whether the copy of a kind lacks changes up to `head`.
    pub fn is_behind(&self, kind: Kind, head: u64) -> bool {
        let revision = self.held[kind as usize].revision;
        revision.is_none_or(|r| r < head)
    }

    fn lacks(&self, heads: &[u64; 3]) -> bool {
        let mut kinds = Kind::ALL.into_iter().zip(heads);
        kinds.any(|(kind, head)| self.is_behind(kind, *head))
    }

    /// When this instance's copy of each kind was last compared with the store, by itself or by those
    /// that vouch for it.
    fn compared(&self) -> [Option<Timestamp>; 3] {
        Kind::ALL.map(|kind| {
            let reported = self.report.as_ref().map(|r| r.at[kind as usize]);
            self.held[kind as usize].checked.max(reported)
        })
    }

    /// What this instance tells those that ask it; none if its copies may lack changes. The others are
    /// watched later than the configuration when nobody vouches, as their changes have more time.
    pub fn vouch(&self, now: Timestamp, own: &name::InstanceName) -> Option<Vouch> {
        let mut ages_us = [0; 3];
        for (kind, at) in Kind::ALL.into_iter().zip(self.compared()) {
            let age = now.since(at?);
            if age >= self.bounds.of(kind) / 2 {
                return None;
            }
            ages_us[kind as usize] = age.as_micros() as u64;
        }
        let checked = self.held[Kind::Config as usize].checked;
        let reported = self.report.as_ref().filter(|r| Some(r.config()) > checked);
        Some(Vouch {
            origin: reported.map_or(own, |r| &r.origin).clone(),
            ages_us,
            heads: self.held.map(|h| h.head),
        })
    }

    /// Whether to ask another instance now how recent its copies are: the store and the readers say
    /// nothing. The readers of the zones do so on each tick, as others wait for them. It begins at half
    /// the age at which the instance would watch.
    pub fn next_request(&mut self, now: Timestamp, rank: u32) -> Option<u32> {
        let compared = self.compared()[Kind::Config as usize];
        let last = self.started.max(compared.unwrap_or_default());
        let is_due = self
            .requested
            .is_none_or(|at| rank < EARLY_RANKS || now.since(at) >= REQUEST_INTERVAL);
        let lacks_copy = self.held.iter().any(|h| h.revision.is_none());
        let is_old = now.since(last) >= self.bounds.max_age(Kind::Config, rank) / 2;
        if !(is_old || lacks_copy) || !is_due {
            return None;
        }
        self.requested = Some(now);
        self.requests += 1;
        Some(self.requests)
    }

    /// Whether each kind is to be watched now. `rank_of` gives the rank of an instance among those
    /// that watch the store, 0 the first.
    pub fn modes(
        &self,
        now: Timestamp,
        own: &name::InstanceName,
        rank_of: impl Fn(&name::InstanceName) -> u32,
        current: [Mode; 3],
    ) -> [Mode; 3] {
        let knows_instances = self.held[Kind::Instances as usize].revision.is_some();
        let rank = match knows_instances {
            true => rank_of(own),
            false => u32::MAX,
        };
        let report = self.report.as_ref();
        let last = |kind: Kind| {
            let at = report.map_or(self.started, |r| r.at[kind as usize]);
            at.max(self.started)
        };
        // Of two that watch, the first by rank goes on. Otherwise each might stop for the other.
        let is_preceded = report.is_none_or(|r| rank_of(&r.origin) < rank);
        let read_age = self.control.map(|at| now.since(at));
        let shows_revision = read_age.is_some_and(|age| age < self.bounds.config / 4);
        let is_silent = now.since(last(Kind::Config)) >= part_of(REPLACED_TIME, rank);
        Kind::ALL.map(|kind| {
            let may_be_replaced = kind == Kind::Instances && is_silent;
            // An instance that isn't listed yet has no reader to ask.
            let is_unlisted = kind == Kind::Instances && knows_instances && rank == u32::MAX;
            let is_recent = match self.held[kind as usize].revision {
                Some(_) => now.since(last(kind)) < self.bounds.max_age(kind, rank),
                // Nothing is served without a copy.
                None => rank >= LISTING_RANKS && now.since(self.started) < FIRST_COPY_TIME,
            };
            let is_told = is_recent && !is_unlisted && !may_be_replaced;
            let may_stop = current[kind as usize] == Mode::Idle || is_preceded;
            match (rank, shows_revision) {
                (1.., _) if is_told && may_stop => Mode::Idle,
                (_, true) => Mode::Long,
                (_, false) => Mode::Short,
            }
        })
    }
}
