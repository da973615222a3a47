//! Time as the decisions see it: a number that comes in with each event.

use std::time;

/// Microseconds since a start that one process chose; never compared between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// A timestamp that many milliseconds after the start.
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Time passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The timestamp `span` later.
    pub fn after(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}
