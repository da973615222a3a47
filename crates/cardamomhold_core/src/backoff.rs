//! Pauses between attempts that fail, which grow while they fail and end with their reason.
//!
//! ```
//! use std::time;
//!
//! use cardamomhold_core::backoff;
//! use cardamomhold_core::prelude::*;
//!
//! let schedule = backoff::Schedule {
//!     first: time::Duration::from_millis(200),
//!     max: time::Duration::from_millis(800),
//!     factor: 2,
//!     gap: time::Duration::from_secs(5),
//! };
//! let mut backoff = backoff::Backoff::new(schedule);
//! backoff.record_failure(Timestamp::from_millis(1_000));
//! assert_eq!(backoff.due(), Some(Timestamp::from_millis(1_200)));
//! backoff.record_failure(Timestamp::from_millis(1_200));
//! assert_eq!(backoff.due(), Some(Timestamp::from_millis(1_600)));
//! // Nothing has failed for long since then.
//! backoff.record_failure(Timestamp::from_millis(60_000));
//! assert_eq!(backoff.due(), Some(Timestamp::from_millis(60_200)));
//! ```

use std::time;

use crate::time::Timestamp;

/// How the pauses grow, and when a failure begins a new series of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Pause after the first failure.
    pub first: time::Duration,
    /// Longest pause.
    pub max: time::Duration,
    /// Factor between two pauses.
    pub factor: u32,
    /// Time after the end of a pause within which an attempt belongs to the same series.
    pub gap: time::Duration,
}

/// The pause between attempts that fail.
///
/// A series of failures ends with the first success of an attempt that was begun after the last of
/// them, whoever made it, and with the time that passes without a failure. So the pause that a series
/// has grown to doesn't delay an attempt of a later one.
///
/// A pause counts from the begin of the attempt: one that was lost has waited for its timeout already.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    schedule: Schedule,
    last: Option<Failure>,
}

/// The last failure of a series.
#[derive(Debug, Clone, Copy)]
struct Failure {
    begun: Timestamp,
    pause: time::Duration,
    /// Number of failures of the series, this one included.
    count: u32,
}

impl Failure {
    fn due(&self) -> Timestamp {
        self.begun.after(self.pause)
    }
}

impl Backoff {
    /// Creates the state before the first failure.
    pub fn new(schedule: Schedule) -> Self {
        Self {
            schedule,
            last: None,
        }
    }

    fn series(&self, now: Timestamp) -> Option<&Failure> {
        let last = self.last.as_ref();
        last.filter(|l| now.since(l.due()) < self.schedule.gap)
    }

    /// When the next attempt may begin; none if it may begin at once.
    pub fn due(&self) -> Option<Timestamp> {
        self.last.as_ref().map(Failure::due)
    }

    /// Number of failures of the series that hasn't ended.
    pub fn failures(&self, now: Timestamp) -> u32 {
        self.series(now).map_or(0, |l| l.count)
    }

    /// Records the failure of an attempt that began at `begun`; returns the pause until the next one.
    pub fn record_failure(&mut self, begun: Timestamp) -> time::Duration {
        let Schedule {
            first, max, factor, ..
        } = self.schedule;
        let (pause, count) = match self.series(begun) {
            Some(last) => ((last.pause * factor).min(max), last.count.saturating_add(1)),
            None => (first, 1),
        };
        self.last = Some(Failure {
            begun,
            pause,
            count,
        });
        pause
    }

    /// Records the success of an attempt that began at `begun`.
    pub fn record_success(&mut self, begun: Timestamp) {
        self.last = self.last.filter(|l| l.begun > begun);
    }

    /// Ends the series: its reason is known to have gone.
    pub fn reset(&mut self) {
        self.last = None;
    }
}
