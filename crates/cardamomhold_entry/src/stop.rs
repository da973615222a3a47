//! Stopping in phases, published to every task.

use std::time;

/// Time in which a balancer takes a leaving instance out of its rotation.
pub const LEAVING: time::Duration = time::Duration::from_millis(2_400);

/// Where an instance is between start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It serves, but says that it is not ready.
    Leaving,
    /// Sessions end as soon as they rest.
    Draining,
    /// Open transactions end as well.
    Ending,
}

/// When each phase begins, and when the process ends, counted from the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Begin of [`Phase::Draining`].
    pub draining: time::Duration,
    /// Begin of [`Phase::Ending`].
    pub ending: time::Duration,
    /// End of the process.
    pub exit: time::Duration,
}

/// The schedule for a grace of this length: open transactions get its first half, and some
/// of what comes late before the kill.
pub fn schedule(grace: time::Duration) -> Schedule {
    Schedule {
        draining: LEAVING.min(grace / 2),
        ending: grace * 3 / 5,
        exit: grace * 9 / 10,
    }
}
