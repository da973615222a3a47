//! Choice of where an instance renews its lease. One reader of the fleet reads the store, the
//! readers of the zones ask it, and the other instances ask their zone's reader. A majority is
//! asked when neither they nor the store answer.
//!
//! Load pattern: every call of the store is paid for and counts towards its rate, whether it
//! answers or not, so the number of readers must not follow the number of instances or zones.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Minimum time between two requests to the same kind of target.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Remaining lease time below which an instance that is not a reader reads the store itself.
pub const STORE_THRESHOLD: time::Duration = time::Duration::from_millis(350);

/// Remaining lease time below which a reader also asks a majority.
pub const READER_MAJORITY_THRESHOLD: time::Duration = time::Duration::from_millis(500);

/// Remaining lease time below which an instance that is not a reader asks a majority. A
/// working reader would have answered by then.
pub const MAJORITY_THRESHOLD: time::Duration = time::Duration::from_millis(250);

/// Minimum time between two requests to an unavailable store, by an instance that is not a
/// reader.
pub const STORE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Time without an answer after which the next instance of the zone is asked instead of the
/// reader.
pub const READER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time after which a skipped first reader is asked again.
pub const READER_RETRY_DELAY: time::Duration = time::Duration::from_millis(5_000);

/// Time for which an instance reads the store after another instance asked it.
pub const READER_ROLE_DURATION: time::Duration = time::Duration::from_millis(1_000);

/// Maximum number of instances in a zone for each of its readers.
pub const INSTANCES_PER_READER: usize = 64;

/// Returns the index of the reader for the instance at `index` in a zone of `count` instances,
/// after `skipped` readers did not answer.
pub fn reader(index: usize, count: usize, skipped: usize) -> usize {
    let count = count.max(1);
    (index % count.div_ceil(INSTANCES_PER_READER) + skipped) % count
}

/// Longest time for which a reader keeps a request to answer it with its next confirmation.
pub const MAX_HOLD: time::Duration = time::Duration::from_millis(250);

/// Age below which a confirmation is passed on at once.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_millis(60);

/// Whom an instance asks to confirm its leaderships.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// The reader of its zone.
    Zone,
    /// The reader of the fleet.
    Fleet,
}

/// Requests that an instance sends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Requests {
    /// Read the store.
    pub store: bool,
    /// Ask the zone's reader.
    pub reader: bool,
    /// Ask all instances, for the answers of a majority.
    pub majority: bool,
}

/// State of an instance's lease renewal.
#[derive(Debug, Default)]
pub struct Renewal {
    /// When the instance last read the store.
    store: Option<Timestamp>,
    /// When the instance last asked its reader.
    reader: Option<Timestamp>,
    /// When the instance last asked a majority.
    majority: Option<Timestamp>,
    /// When another instance last asked this one as its reader.
    requested: Option<Timestamp>,
    zone: Skipped,
    fleet: Skipped,
}

/// Readers of one level that are skipped because they don't answer.
#[derive(Debug, Default)]
struct Skipped {
    /// Number of consecutive readers that did not answer.
    count: usize,
    /// When the current reader was first asked since its last answer. The time before counts for
    /// nothing: a request is due only each [`RENEWAL_INTERVAL`], and a reader may keep it for
    /// [`MAX_HOLD`], which together are longer than [`READER_TIMEOUT`].
    unanswered: Option<Timestamp>,
    /// When the first reader was skipped.
    since: Option<Timestamp>,
}

impl Skipped {
    fn update(&mut self, now: Timestamp) -> usize {
        let unanswered = self.unanswered;
        if unanswered.is_some_and(|at| now >= at.after(READER_TIMEOUT)) {
            self.count += 1;
            self.unanswered = None;
            self.since.get_or_insert(now);
        }
        if self
            .since
            .is_some_and(|at| now >= at.after(READER_RETRY_DELAY))
        {
            self.count = 0;
            self.since = None;
        }
        self.count
    }
}

impl Renewal {
    /// Records that another instance asks this one as its reader.
    pub fn record_request(&mut self, now: Timestamp) {
        self.requested = Some(now);
    }

    /// Whether other instances ask this one as their reader.
    pub fn acts_as_reader(&self, now: Timestamp) -> bool {
        self.requested
            .is_some_and(|at| now < at.after(READER_ROLE_DURATION))
    }

    /// Records that a request is sent to a reader.
    pub fn record_sent(&mut self, now: Timestamp, level: Level) {
        self.skipped(level).unanswered.get_or_insert(now);
    }

    /// Records an answer of a reader.
    pub fn record_answer(&mut self, level: Level) {
        self.skipped(level).unanswered = None;
    }

    /// Returns the number of readers of a level to skip because they do not answer. The first
    /// reader is asked again after some time, so that the instances agree on one reader.
    pub fn skipped_readers(&mut self, now: Timestamp, level: Level) -> usize {
        let skipped = self.skipped(level);
        let before = skipped.count;
        let count = skipped.update(now);
        if count > before {
            // The next one is asked at once.
            self.reader = None;
        }
        count
    }

    fn skipped(&mut self, level: Level) -> &mut Skipped {
        match level {
            Level::Zone => &mut self.zone,
            Level::Fleet => &mut self.fleet,
        }
    }

    /// Decides which requests to send when the lease is valid for the time `remaining`.
    /// `is_store_lost` means that the store did not answer this instance's last request; the
    /// instance then reads the store to find out whether it is available again.
    pub fn next(
        &mut self,
        now: Timestamp,
        remaining: time::Duration,
        is_reader: bool,
        is_store_lost: bool,
    ) -> Requests {
        let is_due =
            |last: Option<Timestamp>| last.is_none_or(|at| now >= at.after(RENEWAL_INTERVAL));
        let needs_store = is_reader || is_store_lost || remaining < STORE_THRESHOLD;
        let is_retry_due = self
            .store
            .is_none_or(|at| now >= at.after(STORE_RETRY_INTERVAL));
        let is_store_due = if is_store_lost && !is_reader {
            is_retry_due
        } else {
            is_due(self.store)
        };
        let majority_threshold = if is_reader {
            READER_MAJORITY_THRESHOLD
        } else {
            MAJORITY_THRESHOLD
        };
        let requests = Requests {
            store: needs_store && is_store_due,
            reader: !is_reader && is_due(self.reader),
            majority: remaining < majority_threshold && is_due(self.majority),
        };
        if requests.store {
            self.store = Some(now);
        }
        if requests.reader {
            self.reader = Some(now);
        }
        if requests.majority {
            self.majority = Some(now);
        }
        requests
    }
}
