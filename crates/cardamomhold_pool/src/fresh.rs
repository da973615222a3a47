//! Samples of the primary's log position, and which one a read must have reached.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

/// Least time between two kept samples.
const SPACING: time::Duration = time::Duration::from_millis(25);

/// Age after which a sample is of no use to any read.
const KEEP: time::Duration = time::Duration::from_secs(10);

/// A position of the primary's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    /// When the statement left whose answer carried the position: every commit that was
    /// acknowledged before this moment is in the log up to the position.
    sent: Timestamp,
    position: position::Position,
}

/// The samples of one group, the oldest first.
#[derive(Debug, Default)]
pub struct Samples {
    list: collections::VecDeque<Sample>,
}

impl Samples {
    /// Takes a position that the primary gave in an answer to what was sent at `sent`.
    ///
    /// The lease on the leadership must have been valid when the answer came.
    pub fn observe(&mut self, sent: Timestamp, position: position::Position) {
        if let Some(last) = self.list.back()
            && (sent < last.sent.after(SPACING) || position < last.position)
        {
            return;
        }
        self.list.push_back(Sample { sent, position });
        while self.list.len() > 1 && sent.since(self.list[0].sent) > KEEP {
            self.list.pop_front();
        }
    }

    /// The least position that a read which starts now must see, when it accepts data that
    /// is `staleness` old; none when no sample is young enough.
    pub fn needed(&self, now: Timestamp, staleness: time::Duration) -> Option<position::Position> {
        for sample in &self.list {
            if sample.sent.after(staleness) >= now {
                return Some(sample.position);
            }
        }
        None
    }
}
