//! The end of a process: graceful, unless a second signal asks for an end at once.

use crate::daemon;

/// How an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// Everything in flight ended within the grace.
    Clean,
    /// So many connections were still open after the grace, and were cut.
    Cut(usize),
    /// A second signal ended the instance at once.
    Forced,
}

impl Shutdown {
    /// The exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Cut(_) => 4,
            Self::Forced => 5,
        }
    }
}

/// Stops an instance within the grace that the operators have set, or at once when
/// `second` is ready first.
pub async fn run(daemon: daemon::Daemon, second: impl Future<Output = ()>) -> Shutdown {
    let grace = daemon.grace();
    tokio::select! {
        remaining = daemon.stop(grace) => match remaining {
            0 => Shutdown::Clean,
            remaining => Shutdown::Cut(remaining),
        },
        () = second => {
            log::warn!("event=stopped_by_second_signal");
            Shutdown::Forced
        }
    }
}
