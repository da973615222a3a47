//! The decisions of the task that follows a kind, without I/O.

use std::time;

use cardamomhold_core::backoff;
use cardamomhold_core::time::Timestamp;

use crate::contents;
use crate::currency;
use crate::currency::Mode;
use crate::follow::Progress;
use crate::follow::Watched;
use crate::store;

/// Wait time of one long-polling watch whose silence would be noticed otherwise.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(30_000);

/// Time beyond this wait after which a watch is considered lost.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Wait time of a watch that asks whether there were changes.
const CHECK_WAIT: time::Duration = time::Duration::from_millis(1);

/// Longest timeout of a listing.
const MAX_LIST_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Minimum time between the starts of two listings because of a forgotten history. A store may forget
/// it again and again.
const MIN_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Pauses between calls of a store that fails them. They grow fast, as the store charges for calls that
/// it refuses. The longest one is shorter than the time after an outage from which changes must be in
/// force again, 4 s.
pub const STORE_PAUSES: backoff::Schedule = backoff::Schedule {
    first: time::Duration::from_millis(200),
    max: time::Duration::from_millis(3_200),
    factor: 4,
    gap: time::Duration::from_millis(5_000),
};

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Lists all objects, always the latest.
    List {
        /// Time after which the call is considered lost.
        timeout: time::Duration,
    },
    /// Watches the changes after a revision.
    Watch {
        /// How recent the answer must be.
        freshness: store::Freshness,
        /// The revision.
        revision: u64,
        /// Time after which the store answers without a change.
        wait: time::Duration,
        /// Time after which the call is considered lost.
        timeout: time::Duration,
    },
}

/// Result of a call of the store.
#[derive(Debug)]
pub enum Answer {
    /// Of [`Call::List`].
    Listed(Result<store::Listing, store::StoreError>),
    /// Of [`Call::Watch`]: the changes, and the revision for the next call.
    Watched(Result<(Vec<store::Change>, u64), store::StoreError>),
    /// Of either: there was none in time.
    TimedOut,
}

/// A call whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct Running {
    sent: Timestamp,
    call: Call,
}

impl Running {
    fn is_listing(&self) -> bool {
        matches!(self.call, Call::List { .. })
    }

    fn is_long(&self) -> bool {
        matches!(self.call, Call::Watch { wait, .. } if wait == WATCH_WAIT)
    }

    /// Whether the answer shows that the copy is complete as of the call. The store's cache may be
    /// seconds old.
    fn is_latest(&self) -> bool {
        match self.call {
            Call::List { .. } => true,
            Call::Watch { freshness, .. } => freshness == store::Freshness::Latest,
        }
    }
}

/// Keeps the copy of a kind: decides when the store is called and what its answers, the coordinator's
/// commands and the other instances' datagrams mean.
#[derive(Debug)]
pub struct Follower<F> {
    pub(super) watched: Watched,
    pub(super) on_progress: F,
    pub(super) replica: contents::Replica,
    pub(super) fetch: Option<contents::Fetch>,
    mode: Mode,
    running: Option<Running>,
    /// Whether the store is to be listed, even if another instance vouches for the copy.
    pub(super) is_listing_due: bool,
    /// When the next call of the store may begin, if no earlier one has failed.
    due: Timestamp,
    pub(super) backoff: backoff::Backoff,
    /// When the last listing began.
    listed: Option<Timestamp>,
    last_problem: String,
    /// When to ask the store for changes, as the running watch may have failed silently.
    check_due: Option<Timestamp>,
    /// Whether the next watch only asks for changes.
    is_check: bool,
}

impl<F: FnMut(Progress<'_>)> Follower<F> {
    /// Creates the state of a task without a copy; calls `on_progress` with what it finds.
    pub fn new(watched: Watched, mode: Mode, on_progress: F) -> Self {
        Self {
            watched,
            on_progress,
            replica: contents::Replica::default(),
            fetch: None,
            mode,
            running: None,
            is_listing_due: watched.lists_first,
            due: Timestamp::default(),
            backoff: backoff::Backoff::new(STORE_PAUSES),
            listed: None,
            last_problem: String::new(),
            check_due: None,
            is_check: false,
        }
    }

    /// Whether the answer of a call is awaited; the call is to be abandoned otherwise.
    pub fn is_calling(&self) -> bool {
        self.running.is_some()
    }

    /// The next call of the store if one is due.
    pub fn next_call(&mut self, now: Timestamp) -> Option<Call> {
        if self.running.is_some() || now < self.next_due() {
            return None;
        }
        let call = match (self.is_listing_due, self.mode, self.replica.revision()) {
            (true, _, _) | (_, Mode::Long | Mode::Short, None) => self.listing(now),
            (_, Mode::Idle, _) => return None,
            (_, Mode::Long | Mode::Short, Some(revision)) => self.watch(revision),
        };
        self.running = Some(Running { sent: now, call });
        Some(call)
    }

    fn next_due(&self) -> Timestamp {
        self.due.max(self.backoff.due().unwrap_or_default())
    }

    /// The first listing is given up early, so that there is time for another one.
    fn listing(&mut self, now: Timestamp) -> Call {
        self.listed = Some(now);
        self.is_check = false;
        let timeout = match self.backoff.failures(now) {
            0 => MAX_LIST_TIMEOUT.min(self.watched.silence * 3 / 4),
            _ => MAX_LIST_TIMEOUT,
        };
        Call::List { timeout }
    }

    /// A long watch may be answered by the store's cache: the reads of the control objects show
    /// whether the copy is complete.
    fn watch(&mut self, revision: u64) -> Call {
        let half = self.watched.silence / 2;
        let (freshness, wait, grace) = match self.mode {
            _ if std::mem::take(&mut self.is_check) => (store::Freshness::Latest, CHECK_WAIT, half),
            Mode::Long => (self.watched.freshness, WATCH_WAIT, WATCH_GRACE),
            Mode::Idle | Mode::Short => (store::Freshness::Latest, half, half),
        };
        Call::Watch {
            freshness,
            revision,
            wait,
            timeout: wait + grace,
        }
    }

    /// When [`Follower::next_call`] or [`Follower::check`] has something to do.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let due = self.next_due();
        let call = (self.running.is_none() && due > now).then_some(due);
        let fetch = self.fetch.as_ref().map(contents::Fetch::due);
        [call, fetch, self.check_due].into_iter().flatten().min()
    }

    /// Handles timeouts.
    pub fn check(&mut self, now: Timestamp) {
        if self.check_due.take_if(|at| now >= *at).is_some()
            && self.running.as_ref().is_some_and(Running::is_long)
        {
            self.running = None;
            self.is_check = true;
        }
        if let Some(fetch) = &mut self.fetch {
            let step = fetch.check(now);
            self.handle_step(step);
        }
    }

    /// Handles the result of the running call.
    pub fn finish(&mut self, now: Timestamp, answer: Answer) {
        let Some(running) = self.running.take() else {
            return;
        };
        let sent = running.sent;
        let checked = running.is_latest().then_some(sent);
        match answer {
            Answer::Listed(Ok(listing)) => {
                self.backoff.record_success(sent);
                self.is_listing_due = false;
                self.fetch = None;
                self.replica.list(listing);
                self.publish(true, checked);
            }
            Answer::Watched(Ok((changes, next))) => {
                self.backoff.record_success(sent);
                let is_changed = !changes.is_empty();
                self.replica.apply(changes, next);
                self.publish(is_changed, checked);
                if is_changed {
                    self.due = now.after(self.watched.pause);
                }
            }
            Answer::Listed(Err(error)) | Answer::Watched(Err(error)) => {
                self.handle_error(sent, &error)
            }
            Answer::TimedOut => {
                let problem = match running.is_listing() {
                    true => "listing timed out",
                    false => "watch timed out",
                };
                self.record_failure(sent, problem);
            }
        }
    }

    /// A forgotten history is no failure of the store: it has answered, and can be listed.
    fn handle_error(&mut self, sent: Timestamp, error: &store::StoreError) {
        if *error != store::StoreError::Compacted {
            self.record_failure(sent, &error.to_string());
            return;
        }
        self.log_problem(&error.to_string());
        self.backoff.record_success(sent);
        self.is_listing_due = true;
        if let Some(listed) = self.listed {
            self.due = self.due.max(listed.after(MIN_LIST_INTERVAL));
        }
    }

    fn record_failure(&mut self, sent: Timestamp, problem: &str) {
        self.log_problem(problem);
        self.is_listing_due = self.is_listing_due || self.mode != Mode::Idle;
        self.backoff.record_failure(sent);
    }

    fn log_problem(&mut self, problem: &str) {
        if self.last_problem != problem {
            let kind = self.watched.kind;
            log::info!("event=follow_lost kind={kind} problem=\"{problem}\"");
            self.last_problem = problem.to_owned();
        }
    }

    pub(super) fn publish(&mut self, is_changed: bool, checked: Option<Timestamp>) {
        if is_changed {
            (self.on_progress)(Progress::Changed(self.replica.documents()));
        }
        (self.on_progress)(Progress::Held(currency::Held {
            revision: self.replica.revision(),
            head: self.replica.head(),
            checked,
        }));
    }

    /// Lists the store, whatever other instances say.
    pub fn restart(&mut self, now: Timestamp) {
        self.running = None;
        self.fetch = None;
        self.is_listing_due = true;
        self.backoff.reset();
        self.due = now;
    }

    /// Sets whether the kind is watched in the store.
    pub fn set_mode(&mut self, mode: Mode) {
        let is_dropped = |running: &Running| match mode {
            Mode::Idle => !running.is_listing(),
            // A watch with a long wait can't be relied on.
            Mode::Short => running.is_long(),
            Mode::Long => false,
        };
        self.running = self.running.filter(|r| !is_dropped(r));
        if mode == Mode::Idle {
            // Another instance vouches for its copy, so that the store serves it.
            self.backoff.reset();
            self.is_listing_due = self.is_listing_due && self.replica.revision().is_none();
        }
        // A copy that nobody has vouched for lately is compared with the store at once.
        self.is_check = self.is_check || self.mode == Mode::Idle;
        self.mode = mode;
    }

    /// Abandons a listing: another instance has passed on what it would bring.
    pub(super) fn drop_listing(&mut self) {
        self.is_listing_due = false;
        self.running = self.running.filter(|r| !r.is_listing());
    }

    /// Asks the store for changes if the running watch doesn't bring them within `time`.
    pub(super) fn plan_check(&mut self, now: Timestamp, time: time::Duration) {
        if self.running.as_ref().is_some_and(Running::is_long) {
            self.check_due.get_or_insert(now.after(time));
        }
    }
}
