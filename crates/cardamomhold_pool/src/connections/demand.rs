//! How many connections a workspace has lately used at once.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Length of a period; the peaks of the current one and the one before count as recent. Workspaces
/// with a statement every few seconds keep their connection.
const PERIOD: time::Duration = time::Duration::from_secs(5);

/// The most connections that a workspace needed at once, by period.
#[derive(Debug, Default)]
pub(super) struct Demand {
    period: u64,
    current: usize,
    previous: usize,
}

fn period_of(now: Timestamp) -> u64 {
    (now.since(Timestamp(0)).as_millis() / PERIOD.as_millis()) as u64
}

impl Demand {
    /// Records that this many connections are needed at once.
    pub(super) fn record(&mut self, now: Timestamp, needed: usize) {
        let period = period_of(now);
        if period != self.period {
            let is_next = period == self.period + 1;
            self.previous = if is_next { self.current } else { 0 };
            self.current = 0;
            self.period = period;
        }
        self.current = self.current.max(needed);
    }

    /// The most connections that were needed at once lately.
    pub(super) fn get(&self, now: Timestamp) -> usize {
        match period_of(now).saturating_sub(self.period) {
            0 => self.current.max(self.previous),
            1 => self.current,
            _ => 0,
        }
    }
}
