//! From where an instance renews its lease: a few readers a zone ask the store, the others
//! ask their reader, and a majority is asked when neither answers.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Time between two questions.
pub const EVERY: time::Duration = time::Duration::from_millis(250);

/// Rest of the lease below which an instance that is no reader asks the store itself.
pub const READ_BELOW: time::Duration = time::Duration::from_millis(350);

/// Rest of the lease below which a reader asks a majority as well.
pub const ASK_BELOW: time::Duration = time::Duration::from_millis(500);

/// Rest of the lease below which an instance that is no reader asks a majority: its reader is
/// of no help, or there would be an answer by now.
pub const LAST_BELOW: time::Duration = time::Duration::from_millis(250);

/// Instances of a zone for each of its readers.
pub const PER_READER: usize = 16;

/// Place in its zone of the reader that serves the instance at `place` of `count`.
pub fn reader(place: usize, count: usize) -> usize {
    place % count.div_ceil(PER_READER).max(1)
}

/// What an instance asks now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Questions {
    /// Ask the store.
    pub store: bool,
    /// Ask the zone's reader.
    pub reader: bool,
    /// Ask all instances.
    pub majority: bool,
}

/// When an instance asked last.
#[derive(Debug, Default)]
pub struct Renewal {
    store: Option<Timestamp>,
    reader: Option<Timestamp>,
    majority: Option<Timestamp>,
}

impl Renewal {
    /// Decides what to ask, with `left` of the lease. `is_away`: the store did not answer
    /// this instance the last time, which is then found out by asking it.
    pub fn next(
        &mut self,
        now: Timestamp,
        left: time::Duration,
        is_reader: bool,
        is_away: bool,
    ) -> Questions {
        let is_due = |last: Option<Timestamp>| last.is_none_or(|at| now >= at.after(EVERY));
        let wants_store = is_reader || is_away || left < READ_BELOW;
        let ask_below = if is_reader { ASK_BELOW } else { LAST_BELOW };
        let questions = Questions {
            store: wants_store && is_due(self.store),
            reader: !is_reader && is_due(self.reader),
            majority: left < ask_below && is_due(self.majority),
        };
        if questions.store {
            self.store = Some(now);
        }
        if questions.reader {
            self.reader = Some(now);
        }
        if questions.majority {
            self.majority = Some(now);
        }
        questions
    }
}
