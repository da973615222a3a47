//! The clock that turns time into the timestamps that decisions take.

use std::time;

use cardamomhold_core::time::Timestamp;

/// A monotonic clock with its own start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant of a timestamp.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        self.start + time::Duration::from_micros(at.0)
    }
}

/// Time since the Unix epoch, for request keys.
pub fn unix_now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}
