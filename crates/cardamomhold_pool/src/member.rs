//! One member as its pool sees it: connections, load, position, health.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::share;

/// Service time that is assumed before anything was measured, in microseconds.
const FIRST_SERVICE_US: f64 = 20_000.0;

/// Part of each new sample in the average service time.
const WEIGHT: f64 = 1.0 / 8.0;

/// Cost of leaving the zone, as a time, in microseconds.
const FAR_US: f64 = 15_000.0;

/// Time in which a replica usually applies what it lacked; doubled each time that it still
/// lacks something.
const CATCH_UP: time::Duration = time::Duration::from_millis(60);

/// Longest time for which a replica that lacked something is left out.
const MAX_CATCH_UP: time::Duration = time::Duration::from_millis(960);

/// Pause after a failed connection; doubled with each further one.
const RETRY: time::Duration = time::Duration::from_millis(50);

/// Longest pause between attempts to connect.
const MAX_RETRY: time::Duration = time::Duration::from_millis(400);

/// Pause after the member refused work for want of a slot or a connection.
const FULL: time::Duration = time::Duration::from_millis(10);

/// Longest pause after the member had no connection left.
const MAX_CROWDED: time::Duration = time::Duration::from_millis(80);

/// Growth of the limit with each answer.
const LIMIT_GROWTH: f64 = 0.2;

/// What is left of the limit after a refusal for want of a slot.
const LIMIT_SHRINK: f64 = 0.8;

/// Cost of opening a connection, as a time, in microseconds.
const OPEN_US: f64 = 15_000.0;

/// What the configuration and the members' entries say of a member.
#[derive(Debug, Clone, Copy)]
pub struct MemberInfo<'a> {
    /// Its name.
    pub name: &'a name::MemberName,
    /// Whether it is in the instance's own zone.
    pub is_near: bool,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// How this instance comes to its connections.
    pub share: share::Share,
}

/// One member.
#[derive(Debug)]
pub struct Member<L> {
    pub(crate) name: name::MemberName,
    pub(crate) is_near: bool,
    pub(crate) is_ready: bool,
    /// Idle connections and when each came back, the newest last.
    idle: Vec<(L, Timestamp)>,
    share: share::Share,
    keep: share::Keep,
    /// Pieces of work that it is given at once; shrinks when it refuses.
    limit: f64,
    /// Refusals for want of a connection since the last one that was opened.
    crowded: u32,
    /// Connections that work uses or that are being opened.
    pub(crate) lent: usize,
    service_us: f64,
    position: Option<position::Position>,
    lacked: Option<(position::Position, Timestamp)>,
    /// Times in a row that it lacked something.
    lacks: u32,
    failures: u32,
    closed_until: Timestamp,
    pub(crate) is_probed: bool,
    full_until: Timestamp,
}

impl<L> Member<L> {
    pub(crate) fn new(info: &MemberInfo<'_>) -> Self {
        Self {
            name: info.name.clone(),
            is_near: info.is_near,
            is_ready: info.is_ready,
            idle: Vec::new(),
            share: info.share,
            keep: share::Keep::new(info.is_near),
            limit: info.share.cap() as f64,
            crowded: 0,
            lent: 0,
            service_us: FIRST_SERVICE_US,
            position: None,
            lacked: None,
            lacks: 0,
            failures: 0,
            closed_until: Timestamp(0),
            is_probed: false,
            full_until: Timestamp(0),
        }
    }

    /// Whether a connection is free or may be opened.
    pub(crate) fn has_room(&self, now: Timestamp) -> bool {
        self.lent < self.limit as usize && !self.is_down() && now >= self.full_until
    }

    /// Takes what the configuration and the entry say now.
    pub(crate) fn update(&mut self, info: &MemberInfo<'_>) {
        self.is_near = info.is_near;
        self.is_ready = info.is_ready;
        if self.share != info.share {
            self.share = info.share;
            self.limit = info.share.cap() as f64;
            self.idle.clear();
        }
    }

    /// Whether one more idle connection is of use.
    pub(crate) fn lacks_idle(&self) -> bool {
        let has_room = self.lent + self.idle.len() < self.share.cap();
        has_room && self.share != share::Share::Relayed
    }

    /// Takes out an idle connection.
    pub(crate) fn take_idle(&mut self) -> Option<L> {
        self.idle.pop().map(|(link, _)| link)
    }

    /// Takes a connection back.
    pub(crate) fn put_idle(&mut self, now: Timestamp, link: L) {
        self.idle.push((link, now));
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// When the oldest idle connection is to be closed, where others wait for one.
    pub(crate) fn expires(&self) -> Option<Timestamp> {
        match self.share {
            share::Share::Owned(_) | share::Share::Relayed => None,
            share::Share::Contended => {
                let (_, since) = self.idle.first()?;
                Some(since.after(self.keep.time()))
            }
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self.expires().is_some_and(|at| at <= now) {
            self.idle.remove(0);
        }
    }

    /// Whether this instance has connections of its own to it.
    pub(crate) fn is_owned(&self) -> bool {
        matches!(self.share, share::Share::Owned(_))
    }

    /// Whether the member failed, and no probe has succeeded since.
    pub(crate) fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// Whether a probe failed, so that waiting for it is of no use.
    pub(crate) fn is_lost(&self) -> bool {
        self.failures > 1
    }

    /// When a pause ends, if one is under way.
    pub(crate) fn reopens(&self, now: Timestamp) -> Option<Timestamp> {
        (self.full_until > now).then_some(self.full_until)
    }

    /// When the member may be probed; none while it is not down, or is being probed.
    pub(crate) fn probe_at(&self) -> Option<Timestamp> {
        (self.is_down() && !self.is_probed).then_some(self.closed_until)
    }

    /// Takes note of a long silence: the member is probed at once.
    pub(crate) fn doubt(&mut self, now: Timestamp) {
        if !self.is_down() {
            self.failures = 1;
            self.closed_until = now;
        }
    }

    /// Expected time of one more piece of work.
    pub(crate) fn cost_us(&self) -> f64 {
        let queue = self.service_us * (self.lent + 1) as f64;
        let far = if self.is_near { 0.0 } else { FAR_US };
        let is_open = !self.idle.is_empty() || self.share == share::Share::Relayed;
        let open = if is_open { 0.0 } else { OPEN_US };
        queue + far + open
    }

    /// Whether the member was seen to hold a position.
    pub(crate) fn holds(&self, needed: position::Position) -> bool {
        self.position.is_some_and(|p| p >= needed)
    }

    /// Whether the member probably holds a position.
    pub(crate) fn may_hold(&self, now: Timestamp, needed: position::Position) -> bool {
        if self.holds(needed) {
            return true;
        }
        let pause = CATCH_UP * 2u32.pow(self.lacks.saturating_sub(1).min(4));
        self.lacked
            .is_none_or(|(p, at)| needed < p || now >= at.after(pause.min(MAX_CATCH_UP)))
    }

    /// Takes note of a position that the member gave.
    pub(crate) fn observe(&mut self, position: position::Position) {
        self.position = Some(position);
    }

    /// Takes note that the member lacked a position.
    pub(crate) fn lacks(&mut self, now: Timestamp, needed: position::Position) {
        let is_news = self.lacked.is_none_or(|(_, at)| now >= at.after(CATCH_UP));
        self.lacks += u32::from(is_news);
        self.lacked = Some((needed, now));
    }

    /// Takes note of an answer and the time that it took.
    pub(crate) fn answered(&mut self, took: time::Duration) {
        let sample = took.as_micros() as f64;
        self.service_us += (sample - self.service_us) * WEIGHT;
        self.lacks = 0;
        self.limit = (self.limit + LIMIT_GROWTH).min(self.share.cap() as f64);
        self.revive();
    }

    /// Takes note that the member lives.
    pub(crate) fn revive(&mut self) {
        self.failures = 0;
    }

    /// Takes note that the member has no slot left.
    pub(crate) fn full(&mut self, now: Timestamp) {
        let used = (self.lent + 1) as f64;
        if self.share != share::Share::Relayed {
            // Where an owner stands between, it limits the work of all.
            self.limit = (self.limit.min(used) * LIMIT_SHRINK).max(1.0);
        }
        self.full_until = now.after(FULL);
    }

    /// Takes note that the member has no connection left.
    pub(crate) fn crowd(&mut self, now: Timestamp) {
        let pause = FULL * 2u32.pow(self.crowded.min(3));
        self.crowded += 1;
        self.keep.crowded();
        self.full_until = now.after(pause.min(MAX_CROWDED));
    }

    /// Takes note that a connection was opened.
    pub(crate) fn opened(&mut self) {
        self.crowded = 0;
        self.keep.opened();
    }

    /// Takes note of a connection that could not be opened or broke.
    pub(crate) fn failed(&mut self, now: Timestamp) {
        let pause = RETRY * 2u32.pow(self.failures.min(3));
        self.failures += 1;
        self.closed_until = now.after(pause.min(MAX_RETRY));
    }
}
