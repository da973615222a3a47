//! When the watches of the store are restarted, each with a listing of all that it watches.
//!
//! Load pattern: the store may answer and refuse an instance's calls in turn, as while it is
//! overloaded. A restart after each refusal would list members, configuration and instances several
//! times a second, which adds to the load.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Minimum time between two restarts. It delays a configuration at most by this, where two of them
/// are due.
pub const MIN_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The restarts of the watches.
#[derive(Debug, Default)]
pub struct Restarts {
    last: Option<Timestamp>,
    is_pending: bool,
}

impl Restarts {
    /// Records that the watches can't be relied on.
    pub fn request(&mut self) {
        self.is_pending = true;
    }

    /// Whether the watches must be restarted now.
    pub fn begin(&mut self, now: Timestamp) -> bool {
        let is_early = self.last.is_some_and(|at| now < at.after(MIN_INTERVAL));
        if !self.is_pending || is_early {
            return false;
        }
        self.is_pending = false;
        self.last = Some(now);
        true
    }
}
