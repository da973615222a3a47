//! The phases of an instance's end, as its tasks see them.

use std::fmt;
use std::time;

use tokio::sync::watch;

/// Time that tasks get to report to their callers once the grace is over.
pub const FINAL_REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How far the instance's end has come; each phase implies those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Serves.
    #[default]
    Serving,
    /// Not ready any more, but still serves whoever has not noticed yet.
    Leaving,
    /// Takes no new work; what is in flight goes on.
    Draining,
    /// The grace is over: open transactions are ended.
    Ending,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
            Self::Ending => "ending",
        })
    }
}

/// The phase as a task follows it.
#[derive(Debug, Clone)]
pub struct Stop {
    phase: watch::Receiver<Phase>,
}

impl Stop {
    /// Follows a published phase.
    pub fn new(phase: watch::Receiver<Phase>) -> Self {
        Self { phase }
    }

    /// Whether a phase has been reached.
    pub fn has_reached(&self, phase: Phase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until a phase has been reached.
    pub async fn await_phase(&mut self, phase: Phase) {
        if self.phase.wait_for(|p| *p >= phase).await.is_err() {
            // Without a publisher the phase stays as it is.
            std::future::pending().await
        }
    }
}
