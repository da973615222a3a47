//! Phases of an instance's shutdown, published to every task.

use std::time;

/// Time that a load balancer needs to stop using an instance that isn't ready.
pub const LEAVING_TIME: time::Duration = time::Duration::from_millis(2_400);

/// Phase of an instance's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// The instance serves callers and is ready.
    #[default]
    Serving,
    /// The instance serves callers, but reports that it isn't ready.
    Leaving,
    /// Sessions are closed as soon as no transaction is open.
    Draining,
    /// Sessions with open transactions are closed as well.
    Ending,
}

/// When each phase begins and when the process exits, as time since the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Start of [`Phase::Draining`].
    pub draining: time::Duration,
    /// Start of [`Phase::Ending`].
    pub ending: time::Duration,
    /// Exit of the process.
    pub exit: time::Duration,
}

/// Returns the schedule for `grace`, the time from the signal to the kill. Idle sessions are
/// served for at most half of it, open transactions for three fifths; the last tenth is a margin
/// before the kill.
pub fn schedule(grace: time::Duration) -> Schedule {
    Schedule {
        draining: LEAVING_TIME.min(grace / 2),
        ending: grace * 3 / 5,
        exit: grace * 9 / 10,
    }
}
