//! Decision whether a read waits for a replica that is behind or goes to the primary.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

/// Maximum wait for a replica; a longer one is not worth the load that it takes off the primary.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(20);

/// Time without a message from its primary above which a replica counts as disconnected.
pub const MAX_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Divisor that gives the weight of a new sample in the moving average.
const SMOOTHING_DIVISOR: u32 = 4;

/// Average time that a replica takes to apply received entries.
#[derive(Debug, Clone, Copy, Default)]
pub struct ApplyDelay {
    /// Position whose application is being timed, and when it was received.
    pending: Option<(position::LogPosition, Timestamp)>,
    /// Moving average of the samples.
    delay: time::Duration,
}

impl ApplyDelay {
    /// Updates the average from a status report of the replica.
    pub fn observe(
        &mut self,
        now: Timestamp,
        received: position::LogPosition,
        applied: position::LogPosition,
    ) {
        if let Some((position, since)) = self.pending
            && applied >= position
        {
            self.add_sample(now.since(since));
            self.pending = None;
        }
        if self.pending.is_none() && received > applied {
            self.pending = Some((received, now));
        }
    }

    fn add_sample(&mut self, sample: time::Duration) {
        self.delay = (self.delay * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR;
    }

    /// Returns the average delay, or the age of the pending entries if they are older already.
    pub fn delay(&self, now: Timestamp) -> time::Duration {
        let pending = self.pending.map(|(_, since)| now.since(since));
        self.delay.max(pending.unwrap_or_default())
    }
}

/// State of a replica compared with the requirements of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaState {
    /// Whether the replica has not yet applied the session's own writes.
    pub is_behind: bool,
    /// Time that the replica takes to apply received entries.
    pub delay: time::Duration,
    /// Time since the replica's last message from its primary.
    pub silence: time::Duration,
    /// Age of the data on the replica.
    pub lag: time::Duration,
    /// Maximum accepted age of the data.
    pub staleness: time::Duration,
}

/// Decision for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Run on the replica immediately.
    Ready,
    /// Wait for the replica, at most for this time.
    AtMost(time::Duration),
    /// Run on the primary immediately.
    Primary,
}

/// Decides where and when a read runs; `time_left` is the time until its deadline.
pub fn decide(replica: ReplicaState, time_left: time::Duration) -> Wait {
    if replica.lag > replica.staleness {
        return Wait::Primary;
    }
    if !replica.is_behind {
        return Wait::Ready;
    }
    let bound = MAX_WAIT.min(time_left / 2);
    if replica.delay > bound || replica.silence > MAX_SILENCE {
        return Wait::Primary;
    }
    Wait::AtMost(bound)
}
