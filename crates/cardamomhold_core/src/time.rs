//! Timestamps, which the decision code receives with each event.

use std::time;

/// Microseconds since a start chosen by the process; not comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the timestamp `ms` milliseconds after the start.
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Time elapsed since `earlier`; zero when `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `us` microseconds earlier, the start at the earliest.
    pub fn before_us(self, us: u64) -> Self {
        Self(self.0.saturating_sub(us))
    }

    /// Returns the timestamp `span` later.
    pub fn after(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}
