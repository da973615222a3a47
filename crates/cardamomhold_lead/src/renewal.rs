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

/// Time between two questions to the store that was away, by an instance that is no reader.
pub const AWAY_EVERY: time::Duration = time::Duration::from_millis(1_000);

/// Silence of a reader after which the next instance of the zone is asked instead.
pub const READER_SILENCE: time::Duration = time::Duration::from_millis(400);

/// Time for which the first reader is passed over.
pub const PASS_READER: time::Duration = time::Duration::from_millis(5_000);

/// Time after a question for which the instance that was asked reads the store.
pub const READER_FOR: time::Duration = time::Duration::from_millis(1_000);

/// Instances of a zone for each of its readers.
pub const PER_READER: usize = 64;

/// Place in its zone of the reader that serves the instance at `place` of `count`, when
/// `silent` readers before it did not answer.
pub fn reader(place: usize, count: usize, silent: usize) -> usize {
    let count = count.max(1);
    (place % count.div_ceil(PER_READER) + silent) % count
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

/// When an instance asked last, and was asked.
#[derive(Debug, Default)]
pub struct Renewal {
    store: Option<Timestamp>,
    reader: Option<Timestamp>,
    majority: Option<Timestamp>,
    /// When another instance last took this one for its reader.
    asked: Option<Timestamp>,
    /// Readers in a row that did not answer, and since when the present one is asked.
    silent: usize,
    since: Option<Timestamp>,
    /// When the first reader was passed over.
    passed: Option<Timestamp>,
}

impl Renewal {
    /// Takes note that another instance takes this one for its reader.
    pub fn asked(&mut self, now: Timestamp) {
        self.asked = Some(now);
    }

    /// Whether others rely on this instance to read the store.
    pub fn is_relied_on(&self, now: Timestamp) -> bool {
        self.asked.is_some_and(|at| now < at.after(READER_FOR))
    }

    /// Takes note of an answer of the reader.
    pub fn answered(&mut self) {
        self.since = None;
    }

    /// Readers to pass over, since they do not answer. The first one is tried again after a
    /// while, so that the instances agree on one.
    pub fn silent(&mut self, now: Timestamp) -> usize {
        let since = *self.since.get_or_insert(now);
        if now >= since.after(READER_SILENCE) {
            self.silent += 1;
            self.since = Some(now);
            self.passed.get_or_insert(now);
        }
        if self.passed.is_some_and(|at| now >= at.after(PASS_READER)) {
            self.silent = 0;
            self.passed = None;
        }
        self.silent
    }

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
        let away_due = self.store.is_none_or(|at| now >= at.after(AWAY_EVERY));
        let store_due = if is_away && !is_reader {
            away_due
        } else {
            is_due(self.store)
        };
        let ask_below = if is_reader { ASK_BELOW } else { LAST_BELOW };
        let questions = Questions {
            store: wants_store && store_due,
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
