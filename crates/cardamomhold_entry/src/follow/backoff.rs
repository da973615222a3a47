//! When calls of a store that fails them are repeated.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Pause after the first failure of an outage.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause.
pub const MAX_PAUSE: time::Duration = time::Duration::from_millis(3_200);

/// Factor between two pauses, as the store charges for calls that it refuses.
const PAUSE_FACTOR: u32 = 4;

/// Time after the end of a pause within which a failure belongs to the same outage. Longer than the
/// timeout of a listing, which follows each failure.
const OUTAGE_GAP: time::Duration = time::Duration::from_millis(5_000);

/// The pause between calls of a store that fails them, which grows during an outage and ends with it.
///
/// The end shows in any answer of the store to a call that was sent after the failure, whoever sent
/// it, or in the time that passes without a failure. So a pause never outlives its outage.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    last: Option<Failure>,
}

/// The last failure of an outage.
#[derive(Debug, Clone, Copy)]
struct Failure {
    at: Timestamp,
    pause: time::Duration,
}

impl Failure {
    fn due(&self) -> Timestamp {
        self.at.after(self.pause)
    }
}

impl Backoff {
    /// When the next call may be sent; none if it may be sent at once.
    pub fn due(&self) -> Option<Timestamp> {
        self.last.as_ref().map(Failure::due)
    }

    /// Whether a call has failed in an outage of which no end is known.
    pub fn is_failing(&self, now: Timestamp) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|l| now.since(l.due()) < OUTAGE_GAP)
    }

    /// Records that the store has failed a call.
    pub fn record_failure(&mut self, now: Timestamp) {
        let pause = match &self.last {
            Some(last) if self.is_failing(now) => (last.pause * PAUSE_FACTOR).min(MAX_PAUSE),
            _ => FIRST_PAUSE,
        };
        self.last = Some(Failure { at: now, pause });
    }

    /// Records that the store has answered a call that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Timestamp) {
        self.last = self.last.filter(|l| l.at > sent);
    }

    /// Ends the pause: the store serves others, or is to be asked at once.
    pub fn reset(&mut self) {
        self.last = None;
    }
}
