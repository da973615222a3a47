//! Whether a read waits for a replica that is behind, or goes to the primary.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

/// Longest wait for a replica that is worth the primary's relief.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(20);

/// Time without news from its primary after which a replica counts as cut off.
pub const MAX_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Part of a new measurement in the average, as a divisor.
const SMOOTHING: u32 = 4;

/// The time that a replica takes to apply what it has received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    open: Option<(position::LogPosition, Timestamp)>,
    delay: time::Duration,
}

impl Pace {
    /// Takes a report of the replica.
    pub fn observe(
        &mut self,
        now: Timestamp,
        received: position::LogPosition,
        applied: position::LogPosition,
    ) {
        if let Some((goal, since)) = self.open
            && applied >= goal
        {
            self.average(now.since(since));
            self.open = None;
        }
        if self.open.is_none() && received > applied {
            self.open = Some((received, now));
        }
    }

    fn average(&mut self, sample: time::Duration) {
        self.delay = (self.delay * (SMOOTHING - 1) + sample) / SMOOTHING;
    }

    /// The usual delay, or that of what still waits when it is longer already.
    pub fn delay(&self, now: Timestamp) -> time::Duration {
        let waiting = self.open.map(|(_, since)| now.since(since));
        self.delay.max(waiting.unwrap_or_default())
    }
}

/// How far a replica is from what a read asks of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Distance {
    /// Whether the session's own writes are still to be applied.
    pub is_missing: bool,
    /// Time that the replica takes to apply what it has received.
    pub delay: time::Duration,
    /// Time since it last heard from its primary.
    pub silence: time::Duration,
    /// Age of the data that its reads see.
    pub lag: time::Duration,
    /// Greatest accepted age.
    pub staleness: time::Duration,
}

/// What the read does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// It runs at the replica now.
    Ready,
    /// It waits for the replica, at most for this time.
    AtMost(time::Duration),
    /// It goes to the primary at once.
    Primary,
}

/// Decides for a read that has `left` until its deadline.
pub fn decide(distance: Distance, left: time::Duration) -> Wait {
    if distance.lag > distance.staleness {
        return Wait::Primary;
    }
    if !distance.is_missing {
        return Wait::Ready;
    }
    let bound = MAX_WAIT.min(left / 2);
    if distance.delay > bound || distance.silence > MAX_SILENCE {
        return Wait::Primary;
    }
    Wait::AtMost(bound)
}
