//! Samples of a primary's log position over time, which give the position that a replica must
//! have reached for a read with a staleness bound.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

/// Minimum time between a new sample and the stored one before it.
const MIN_SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Samples this much older than the newest one are dropped; no read uses them.
const MAX_SAMPLE_AGE: time::Duration = time::Duration::from_secs(10);

/// A log position reported by the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Send time of the statement whose answer carried the position. Every commit
    /// acknowledged before this time is in the log up to the position.
    pub sent: Timestamp,
    /// The reported position.
    pub position: position::Position,
}

/// Samples of one group, oldest first.
#[derive(Debug, Default)]
pub struct Samples {
    list: collections::VecDeque<Sample>,
}

impl Samples {
    /// Adds a sample taken by this or another instance. Returns false if the stored one before
    /// it is too close to it in time.
    ///
    /// The lease on the leadership must have been valid when the answer arrived.
    pub fn insert(&mut self, sample: Sample) -> bool {
        let index = self.list.partition_point(|s| s.sent <= sample.sent);
        let before = index.checked_sub(1).and_then(|i| self.list.get(i));
        if before.is_some_and(|b| sample.sent < b.sent.after(MIN_SAMPLE_INTERVAL)) {
            return false;
        }
        self.list.insert(index, sample);
        let newest = self.list.back().map_or(sample.sent, |s| s.sent);
        while self.list.len() > 1 && newest.since(self.list[0].sent) > MAX_SAMPLE_AGE {
            self.list.pop_front();
        }
        true
    }

    /// The lowest position that satisfies a read which starts now and accepts data up to
    /// `staleness` old; `None` if no sample is recent enough.
    pub fn required_position(
        &self,
        now: Timestamp,
        staleness: time::Duration,
    ) -> Option<position::Position> {
        for sample in &self.list {
            if sample.sent.after(staleness) >= now {
                return Some(sample.position);
            }
        }
        None
    }
}
