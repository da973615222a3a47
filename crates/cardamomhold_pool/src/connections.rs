//! The connections of a member's owner, by workspace: which one serves a statement, when another
//! is opened, and which idle one is closed for it.
//!
//! A connection serves one workspace for its whole life. Load pattern: more workspaces than
//! connections, a few of them large. Opening a connection takes a slot of the member for some time,
//! so only a few are opened at once, a workspace that has connections doesn't take those that
//! others have just used, and after a refusal the next attempt waits, longer each time.

use std::collections;
use std::time;

use cardamomhold_core::backoff;
use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

mod demand;
mod evict;

/// Maximum number of connections that are being opened at once.
const MAX_OPENING: usize = 2;

/// Pauses after failed attempts to open a connection.
const FAILURE_PAUSES: backoff::Schedule = backoff::Schedule {
    first: time::Duration::from_millis(20),
    max: time::Duration::from_millis(640),
    factor: 2,
    gap: time::Duration::from_millis(5_000),
};

/// Consecutive failed attempts after which an owner without connections gives up for now.
const HOPELESS_FAILURES: u32 = 4;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The same at an owner that leaves, whose successor needs the connections. Instances hear within
/// 100 to 300 ms that it leaves, and use it until then.
const LEAVING_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time for which the number of open connections counts as the limit after the member has refused
/// another one.
const CEILING_TIME: time::Duration = time::Duration::from_secs(2);

/// The workspace that a connection serves; none in a deployment without workspaces.
pub type Key = Option<name::WorkspaceName>;

/// Statements of a workspace that wait for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The workspace.
    pub key: Key,
    /// Their number.
    pub count: usize,
}

/// A connection to open.
#[derive(Debug, PartialEq, Eq)]
pub struct Opening<L> {
    /// The workspace that it will serve.
    pub key: Key,
    /// The idle connection to close for it, with its workspace.
    pub evicted: Option<(Key, L)>,
}

/// An idle connection.
#[derive(Debug)]
struct Idle<L> {
    link: L,
    since: Timestamp,
    /// Whether it was opened for a statement and has served none yet.
    is_unused: bool,
}

/// The connections of one workspace.
#[derive(Debug)]
struct Part<L> {
    /// Idle connections, the one that was returned last at the end.
    idle: Vec<Idle<L>>,
    in_use: usize,
    opening: usize,
    demand: demand::Demand,
}

impl<L> Default for Part<L> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            in_use: 0,
            opening: 0,
            demand: demand::Demand::default(),
        }
    }
}

impl<L> Part<L> {
    /// Connections that are open or being opened.
    fn connections(&self) -> usize {
        self.idle.len() + self.in_use + self.opening
    }
}

/// The connections of a member's owner.
#[derive(Debug)]
pub struct Connections<L> {
    max: usize,
    idle_timeout: time::Duration,
    parts: collections::BTreeMap<Key, Part<L>>,
    /// The pause after failed attempts.
    backoff: backoff::Backoff,
    /// Consecutive failed attempts, as of the last one.
    failures: u32,
    /// Open connections when the member last refused another one, and until when that counts.
    ceiling: Option<(usize, Timestamp)>,
    /// When a connection may be evicted next.
    next_eviction: Timestamp,
    /// Workspace of the last attempt to open a connection.
    last: Key,
}

impl<L> Connections<L> {
    /// No connections yet, and at most `max` of them.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            idle_timeout: IDLE_TIMEOUT,
            parts: collections::BTreeMap::new(),
            backoff: backoff::Backoff::new(FAILURE_PAUSES),
            failures: 0,
            ceiling: None,
            next_eviction: Timestamp(0),
            last: None,
        }
    }

    /// Sets the maximum number of connections; those beyond it are not closed.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Records that the owner leaves: idle connections are left to its successor.
    pub fn leave(&mut self) {
        self.idle_timeout = LEAVING_IDLE_TIMEOUT;
    }

    /// Open connections, idle ones included.
    pub fn open(&self) -> usize {
        let open = self.parts.values().map(|p| p.idle.len() + p.in_use);
        open.sum()
    }

    /// Connections that are being opened for workspaces.
    pub fn opening_for_workspaces(&self) -> usize {
        let parts = self.parts.iter().filter(|(key, _)| key.is_some());
        parts.map(|(_, p)| p.opening).sum()
    }

    /// Whether a workspace has an idle connection.
    pub fn has_idle(&self, key: &Key) -> bool {
        self.parts.get(key).is_some_and(|p| !p.idle.is_empty())
    }

    /// Takes the workspace's connection that was returned last.
    pub fn take_idle(&mut self, now: Timestamp, key: &Key) -> Option<L> {
        let part = self.parts.get_mut(key)?;
        let idle = part.idle.pop()?;
        part.in_use += 1;
        part.demand.record(now, part.in_use);
        Some(idle.link)
    }

    /// Keeps a connection for the workspace's next statement.
    pub fn put_back(&mut self, now: Timestamp, key: &Key, link: L) {
        let part = self.parts.entry(key.clone()).or_default();
        part.in_use = part.in_use.saturating_sub(1);
        part.idle.push(Idle {
            link,
            since: now,
            is_unused: false,
        });
    }

    /// Records that a connection in use was closed.
    pub fn record_closed(&mut self, key: &Key) {
        if let Some(part) = self.parts.get_mut(key) {
            part.in_use = part.in_use.saturating_sub(1);
        }
    }

    /// The next connection to open for statements that wait, in the order of their turns; it
    /// counts as being opened from then on.
    pub fn next_opening(&mut self, now: Timestamp, wanted: &[Wanted]) -> Option<Opening<L>> {
        for Wanted { key, .. } in wanted {
            let part = self.parts.entry(key.clone()).or_default();
            let needed = part.in_use + part.opening.max(1);
            part.demand.record(now, needed);
        }
        let connections = self.open() + self.opening();
        // Nothing can be evicted: for a workspace with connections, and for one without any. The
        // former is refused whenever the latter is.
        let mut is_refused = [false; 2];
        for Wanted { key, count } in wanted {
            if self.opening() >= MAX_OPENING || self.is_paused(now) {
                return None;
            }
            let part = self.parts.get(key);
            let opening = part.map_or(0, |p| p.opening);
            let has_own = part.is_some_and(|p| p.connections() > 0);
            if opening >= *count || self.has_idle(key) {
                continue;
            }
            let mut evicted = None;
            if connections >= self.limit(now, key) {
                if !is_refused[usize::from(has_own)] {
                    evicted = self.evict(now, key);
                }
                if evicted.is_none() {
                    // Waits until a connection is returned; others may proceed.
                    is_refused[usize::from(has_own)] = true;
                    is_refused[1] = true;
                    continue;
                }
            }
            self.record_opening(key);
            return Some(Opening {
                key: key.clone(),
                evicted,
            });
        }
        None
    }

    /// Whether a connection may be opened to see whether a member that has failed is back; it
    /// counts as being opened from then on.
    pub fn start_check(&mut self, now: Timestamp) -> Option<Key> {
        let has_room = self.open() + self.opening() < self.max;
        if self.opening() > 0 || !has_room || self.is_paused(now) {
            return None;
        }
        let key = self.last.clone();
        self.record_opening(&key);
        Some(key)
    }

    fn is_paused(&self, now: Timestamp) -> bool {
        self.backoff.due().is_some_and(|at| now < at)
    }

    fn opening(&self) -> usize {
        self.parts.values().map(|p| p.opening).sum()
    }

    fn record_opening(&mut self, key: &Key) {
        let part = self.parts.entry(key.clone()).or_default();
        part.opening += 1;
        self.last = key.clone();
    }

    /// Maximum number of connections now. Connections without a workspace can't replace each other,
    /// so a refusal by the member doesn't lower their maximum.
    fn limit(&self, now: Timestamp, key: &Key) -> usize {
        match self.ceiling {
            Some((ceiling, until)) if key.is_some() && now < until => self.max.min(ceiling.max(1)),
            _ => self.max,
        }
    }

    /// Records that a connection was opened, which is kept for the workspace's oldest statement.
    pub fn record_opened(&mut self, now: Timestamp, key: &Key, link: L) {
        let part = self.parts.entry(key.clone()).or_default();
        part.opening = part.opening.saturating_sub(1);
        part.idle.push(Idle {
            link,
            since: now,
            is_unused: true,
        });
        self.backoff.reset();
        self.failures = 0;
    }

    /// Records that a connection could not be opened; `is_full` tells whether the member accepts no
    /// more of them.
    pub fn record_failed(&mut self, now: Timestamp, key: &Key, is_full: bool) {
        if let Some(part) = self.parts.get_mut(key) {
            part.opening = part.opening.saturating_sub(1);
        }
        self.backoff.record_failure(now);
        self.failures = self.backoff.failures(now);
        if is_full {
            self.ceiling = Some((self.open(), now.after(CEILING_TIME)));
        }
    }

    /// Whether the owner has no connection and several attempts to open one have failed.
    pub fn is_hopeless(&self) -> bool {
        self.open() == 0 && self.failures >= HOPELESS_FAILURES
    }

    /// Closes connections that have been idle for too long, and forgets workspaces without any.
    pub fn close_expired(&mut self, now: Timestamp) {
        let timeout = self.idle_timeout;
        self.parts.retain(|_, part| {
            part.idle.retain(|i| now < i.since.after(timeout));
            part.connections() > 0 || part.demand.get(now) > 0
        });
    }

    /// When a connection expires or, if one `is_needed`, may be opened or evicted.
    pub fn next_wakeup(&self, now: Timestamp, is_needed: bool) -> Option<Timestamp> {
        let idle = self.parts.values().flat_map(|p| &p.idle);
        let expiry = idle.map(|i| i.since.after(self.idle_timeout)).min();
        let pause_end = self.backoff.due().filter(|at| is_needed && *at > now);
        let eviction = is_needed.then(|| self.eviction_wakeup(now)).flatten();
        expiry.into_iter().chain(pause_end).chain(eviction).min()
    }
}
