//! Decides when the phases of a shutdown begin and when the process exits.
//!
//! The exit waits for nothing: not for members, the store, other instances or a task.

use std::time;

use super::Phase;
use super::Schedule;

/// What a stopping process does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It begins a phase.
    Enter(Phase),
    /// It exits.
    Exit,
}

/// A process that has its stop signal.
#[derive(Debug)]
pub struct Shutdown {
    schedule: Schedule,
    phase: Phase,
}

impl Shutdown {
    /// Begins a shutdown. An instance that has never been able to serve callers closes at once, as
    /// no load balancer uses it.
    pub fn new(schedule: Schedule, has_served: bool) -> Self {
        let schedule = match has_served {
            true => schedule,
            false => Schedule {
                draining: time::Duration::ZERO,
                ending: time::Duration::ZERO,
                closing: time::Duration::ZERO,
                exit: schedule.exit,
            },
        };
        Self {
            schedule,
            phase: Phase::Serving,
        }
    }

    /// The next step, and when it is due as time since the signal.
    pub fn next(&self) -> (Step, time::Duration) {
        match self.phase {
            Phase::Serving => (Step::Enter(Phase::Leaving), time::Duration::ZERO),
            Phase::Leaving => (Step::Enter(Phase::Draining), self.schedule.draining),
            Phase::Draining => (Step::Enter(Phase::Ending), self.schedule.ending),
            Phase::Ending => (Step::Enter(Phase::Closing), self.schedule.closing),
            Phase::Closing => (Step::Exit, self.schedule.exit),
        }
    }

    /// Records that a phase has begun.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Whether the process exits as soon as no task uses it: it has ended its listening, so that
    /// none can begin to.
    pub fn exits_unused(&self) -> bool {
        self.phase >= Phase::Ending
    }
}
