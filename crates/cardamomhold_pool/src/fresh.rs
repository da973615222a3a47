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
pub struct Sample {
    /// When the statement left whose answer carried the position: every commit that was
    /// acknowledged before this moment is in the log up to the position.
    pub sent: Timestamp,
    /// The position.
    pub position: position::Position,
}

/// The samples of one group, the oldest first.
#[derive(Debug, Default)]
pub struct Samples {
    list: collections::VecDeque<Sample>,
}

impl Samples {
    /// Takes a position that the primary gave in answer to what was sent at `sent`, here or
    /// at another instance; false when others of about that time are known.
    ///
    /// The lease on the leadership must have been valid when the answer came.
    pub fn observe(&mut self, sample: Sample) -> bool {
        let place = self.list.partition_point(|s| s.sent <= sample.sent);
        let before = place.checked_sub(1).and_then(|at| self.list.get(at));
        if before.is_some_and(|b| sample.sent < b.sent.after(SPACING)) {
            return false;
        }
        self.list.insert(place, sample);
        let newest = self.list.back().map_or(sample.sent, |s| s.sent);
        while self.list.len() > 1 && newest.since(self.list[0].sent) > KEEP {
            self.list.pop_front();
        }
        true
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
