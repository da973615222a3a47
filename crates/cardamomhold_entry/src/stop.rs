//! Phases of an instance's shutdown, published to every task, and when each session ends.
//!
//! Load pattern: rolling stops end many sessions whose callers go on sending. A caller whose
//! connection ends together with a complete answer connects elsewhere without loss; one that finds
//! the end of its connection with its next request has lost an attempt. Sessions therefore end with
//! an answer where one is due in time, at different times, and idle ones as late as possible.

use std::time;

pub mod shutdown;
mod users;

pub use users::User;
pub use users::Users;

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
    /// Every session ends with its next answer outside a transaction.
    Draining,
    /// Open transactions are rolled back, and idle sessions end one after the other. No further
    /// connections are accepted.
    Ending,
    /// All sessions end, and statements without an answer are given up.
    Closing,
}

/// When each phase begins and when the process exits, as time since the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Start of [`Phase::Draining`].
    pub draining: time::Duration,
    /// Start of [`Phase::Ending`].
    pub ending: time::Duration,
    /// Start of [`Phase::Closing`].
    pub closing: time::Duration,
    /// Exit of the process.
    pub exit: time::Duration,
}

/// Returns the schedule for `grace`, the time from the signal to the kill. Open transactions are
/// served for three fifths of it, idle sessions for at most four fifths; the last tenth is a margin
/// before the kill.
pub fn schedule(grace: time::Duration) -> Schedule {
    Schedule {
        draining: LEAVING_TIME.min(grace / 2),
        ending: grace * 3 / 5,
        closing: grace * 4 / 5,
        exit: grace * 9 / 10,
    }
}

/// When a session ends, as time since the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionEnd {
    /// From this time on, it ends with an answer outside a transaction.
    pub due: time::Duration,
    /// When it ends without one, while it is idle.
    pub idle: time::Duration,
}

/// Multiplier of a session's number, 2^32 divided by the golden ratio: successive numbers are spread
/// evenly, however many there are.
const SPREAD: u32 = 2_654_435_769;

impl Schedule {
    /// The end of the session with this number. The ends of sessions are spread over the leaving
    /// time, and those of idle ones over the time before [`Phase::Closing`].
    pub fn session_end(&self, number: u32) -> SessionEnd {
        let share = number.wrapping_mul(SPREAD) >> 16;
        let part = |span: time::Duration| span * share / (1 << 16);
        SessionEnd {
            due: part(self.draining),
            idle: self.ending + part(self.closing - self.ending),
        }
    }
}
