//! The phases of an instance's shutdown, published to its tasks.

use std::fmt;
use std::time;

use tokio::sync::watch;

/// Time that tasks get to report to their callers after the grace period.
pub const FINAL_REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Phase of an instance's shutdown; each phase implies the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Serves normally.
    #[default]
    Serving,
    /// Reports not ready, but still serves callers and instances that have not noticed yet.
    Leaving,
    /// Refuses new work; requests in flight continue.
    Draining,
    /// The grace period is over: open transactions are ended.
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

/// A task's subscription to the shutdown phase.
#[derive(Debug, Clone)]
pub struct Stop {
    phase: watch::Receiver<Phase>,
}

impl Stop {
    /// Subscribes to a published phase.
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
            // Without a publisher the phase can't change any more.
            std::future::pending().await
        }
    }
}
