//! Clock that provides the timestamps used by the decision logic.

use std::time;

use cardamomhold_core::time::Timestamp;

/// A monotonic clock that counts from its own start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp to an instant of the runtime.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        self.start + time::Duration::from_micros(at.0)
    }
}

/// Wall-clock time since the Unix epoch, for request keys and the SWIM incarnation.
pub fn unix_now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}
