//! Lease that limits how long an instance may rely on its copy of the leaderships.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Duration of the lease, from the request that confirmed the leaderships.
pub const DURATION: time::Duration = time::Duration::from_millis(1_000);

/// Allowance for clocks that run at different rates.
pub const MAX_CLOCK_DRIFT: time::Duration = time::Duration::from_millis(50);

/// The lease of one instance, for all leaderships in its copy.
///
/// Timestamps must come from a clock that advances while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    started: Timestamp,
    /// When the newest successful confirmation was requested.
    confirmed: Option<Timestamp>,
}

impl Lease {
    /// Creates the lease of an instance that started at `started` and has no leaderships yet.
    pub fn new(started: Timestamp) -> Self {
        Self {
            started,
            confirmed: None,
        }
    }

    /// Whether the instance may confirm to others that it has no newer leadership: its copy
    /// has been confirmed since its start.
    pub fn may_confirm_others(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Records that the leaderships in the copy were the newest at some time after `requested`.
    /// A confirmation from before the start counts for nothing: the instance may have
    /// acknowledged a newer record before it restarted.
    pub fn confirm(&mut self, requested: Timestamp) {
        if requested >= self.started {
            self.confirmed = self.confirmed.max(Some(requested));
        }
    }

    /// Age of the newest confirmation.
    pub fn age(&self, now: Timestamp) -> Option<time::Duration> {
        self.confirmed.map(|requested| now.since(requested))
    }

    /// Time at which the lease expires.
    pub fn expiry(&self) -> Timestamp {
        self.confirmed
            .map_or(Timestamp(0), |requested| requested.after(DURATION))
    }

    /// Whether the instance may rely on its copy of the leaderships.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.expiry()
    }
}
