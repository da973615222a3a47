//! How long an instance may rely on the leaderships it knows.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Time after a confirmation during which the leaderships may be relied on.
pub const LENGTH: time::Duration = time::Duration::from_millis(1_000);

/// Allowance for clocks that run at different speeds.
pub const DRIFT: time::Duration = time::Duration::from_millis(50);

/// The lease of one instance on all leaderships that it knows.
///
/// Timestamps must come from a clock that counts the time of a suspension.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    started: Timestamp,
    confirmed: Option<Timestamp>,
}

impl Lease {
    /// The lease of an instance that started at `started` and knows nothing yet.
    pub fn new(started: Timestamp) -> Self {
        Self {
            started,
            confirmed: None,
        }
    }

    /// Whether the instance may tell others that it knows of nothing newer: it has learned
    /// the leaderships as they were after its start. What it acknowledged in an earlier
    /// life is among them.
    pub fn may_vouch(&self) -> bool {
        self.confirmed.is_some_and(|asked| asked >= self.started)
    }

    /// Takes note that the known leaderships were the newest at some moment after `asked`.
    pub fn confirm(&mut self, asked: Timestamp) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Age of the newest confirmation.
    pub fn age(&self, now: Timestamp) -> Option<time::Duration> {
        self.confirmed.map(|asked| now.since(asked))
    }

    /// The moment from which on the lease is over.
    pub fn until(&self) -> Timestamp {
        self.confirmed
            .map_or(Timestamp(0), |asked| asked.after(LENGTH))
    }

    /// Whether the leaderships may be relied on.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.until()
    }
}
