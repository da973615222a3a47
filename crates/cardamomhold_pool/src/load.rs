//! Load of a member, as the owner of its connections reports it with each answer.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Time in which a reported wait loses its meaning: by then the queue has changed.
const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(400);

/// Ranks that a report distinguishes; less urgent ones count as the last.
pub const RANKS: usize = 3;

/// How long a request would wait for a slot of the member if it arrived now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Expected wait in milliseconds, by rank, the most urgent first.
    pub waits_ms: [u32; RANKS],
}

/// The newest report of a member's load, with the time at which it arrived.
#[derive(Debug, Clone, Copy, Default)]
pub struct Report {
    load: Load,
    at: Timestamp,
}

impl Report {
    /// Creates a report that arrived at `at`.
    pub fn new(load: Load, at: Timestamp) -> Self {
        Self { load, at }
    }

    /// Expected wait of a request of this rank, in microseconds. The part that counts shrinks
    /// with the age of the report.
    pub fn wait_us(&self, now: Timestamp, rank: u8) -> f64 {
        let index = usize::from(rank).min(RANKS - 1);
        let age = now.since(self.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        f64::from(self.load.waits_ms[index]) * 1_000.0 * (1.0 - age).max(0.0)
    }
}
