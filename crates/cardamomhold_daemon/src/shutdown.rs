//! Stops the process gracefully, or immediately on a second signal.

use crate::daemon;

/// How an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// All requests in flight ended within the grace period.
    Clean,
    /// This many connections were still open after the grace period and were closed.
    TimedOut(usize),
    /// A second signal ended the instance immediately.
    Forced,
}

impl Shutdown {
    /// The exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::TimedOut(_) => 4,
            Self::Forced => 5,
        }
    }
}

/// Stops an instance with the configured grace period, or immediately if `second_signal` completes
/// first.
pub async fn run(daemon: daemon::Daemon, second_signal: impl Future<Output = ()>) -> Shutdown {
    let grace = daemon.grace();
    tokio::select! {
        remaining = daemon.stop(grace) => match remaining {
            0 => Shutdown::Clean,
            remaining => Shutdown::TimedOut(remaining),
        },
        () = second_signal => {
            log::warn!("event=stopped_by_second_signal");
            Shutdown::Forced
        }
    }
}
