//! Samples of the primaries' positions that instances tell each other, by clocks that
//! differ.
//!
//! An answer dates samples back from the moment that it is sent, which comes after the
//! question. A question dates them from the arrival of the last answer, whose stamp says
//! when it was sent by the clock of the one that is asked. Either way a sample counts as
//! older than it is, never as younger.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_pool::exchange::Exchange;
//! use cardamomhold_pool::fresh::Sample;
//!
//! let group = GroupName::parse("bookings").unwrap();
//! let position = Position::new(Term(1), LogPosition(7));
//! let mut reader = Exchange::new(1);
//! reader.learn(&group, Sample { sent: Timestamp(500), position });
//! let answer = reader.answer(Timestamp(700));
//! let mut other = Exchange::new(2);
//! other.take_answer(Timestamp(9_050), Timestamp(9_000), &answer);
//! assert_eq!(other.newest("bookings").unwrap().sent, Timestamp(8_800));
//! ```

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::fresh;

/// Age from which on a sample is not passed on.
const PASS_ON: time::Duration = time::Duration::from_secs(3);

/// A sample on its way.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Passed {
    /// The group.
    pub group: name::GroupName,
    /// The position.
    pub position: position::Position,
    /// Time between the sample and the moment by which it is dated, in microseconds.
    pub gap_us: u64,
}

/// When an answer was sent, by the clock of its sender. Nobody else reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// The sender's life, since its clock may begin anew with the next one.
    life: u64,
    at_us: u64,
}

/// What an instance tells with a question.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Stamp of the answer by whose arrival the samples are dated; they are younger.
    pub since: Option<Stamp>,
    /// The samples.
    pub samples: Vec<Passed>,
}

/// What an instance tells with an answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// When it was sent.
    pub stamp: Stamp,
    /// The samples, dated back from then.
    pub samples: Vec<Passed>,
}

/// What an instance knows of the positions of all groups.
#[derive(Debug)]
pub struct Exchange {
    life: u64,
    newest: collections::BTreeMap<name::GroupName, fresh::Sample>,
    /// Stamp of the last answer that came, and when it came.
    heard: Option<(Stamp, Timestamp)>,
}

impl Exchange {
    /// An exchange that knows nothing; no other life of the instance has the same number.
    pub fn new(life: u64) -> Self {
        Self {
            life,
            newest: collections::BTreeMap::new(),
            heard: None,
        }
    }

    /// Takes a sample; true when it is the newest of its group.
    pub fn learn(&mut self, group: &name::GroupName, sample: fresh::Sample) -> bool {
        let known = self.newest.get(group.as_str());
        if known.is_some_and(|k| k.sent >= sample.sent) {
            return false;
        }
        self.newest.insert(group.clone(), sample);
        true
    }

    /// The newest sample of a group.
    pub fn newest(&self, group: &str) -> Option<fresh::Sample> {
        self.newest.get(group).copied()
    }

    /// The newest samples of all groups.
    pub fn all(&self) -> &collections::BTreeMap<name::GroupName, fresh::Sample> {
        &self.newest
    }

    /// What to tell with the next question.
    pub fn report(&self) -> Report {
        let Some((stamp, at)) = self.heard else {
            return Report::default();
        };
        let mut samples = Vec::new();
        for (group, sample) in &self.newest {
            if sample.sent < at {
                continue;
            }
            samples.push(Passed {
                group: group.clone(),
                position: sample.position,
                gap_us: sample.sent.since(at).as_micros() as u64,
            });
        }
        Report {
            since: Some(stamp),
            samples,
        }
    }

    /// Takes what came with a question; true when something was new.
    pub fn take_report(&mut self, report: &Report) -> bool {
        let Some(stamp) = report.since.filter(|s| s.life == self.life) else {
            return false;
        };
        // The answer was sent before it arrived.
        self.take(&report.samples, |gap| stamp.at_us.saturating_add(gap))
    }

    /// What to tell with an answer that is sent now.
    pub fn answer(&self, now: Timestamp) -> Answer {
        let mut samples = Vec::new();
        for (group, sample) in &self.newest {
            let age = now.since(sample.sent);
            if age > PASS_ON {
                continue;
            }
            samples.push(Passed {
                group: group.clone(),
                position: sample.position,
                gap_us: age.as_micros() as u64,
            });
        }
        let stamp = Stamp {
            life: self.life,
            at_us: now.0,
        };
        Answer { stamp, samples }
    }

    /// Takes the answer to the question that was sent at `asked`; true when something was
    /// new.
    pub fn take_answer(&mut self, now: Timestamp, asked: Timestamp, answer: &Answer) -> bool {
        self.heard = Some((answer.stamp, now));
        // The question was sent before the answer.
        self.take(&answer.samples, |gap| asked.0.saturating_sub(gap))
    }

    fn take(&mut self, samples: &[Passed], sent: impl Fn(u64) -> u64) -> bool {
        let mut is_new = false;
        for passed in samples {
            let sample = fresh::Sample {
                sent: Timestamp(sent(passed.gap_us)),
                position: passed.position,
            };
            is_new |= self.learn(&passed.group, sample);
        }
        is_new
    }
}
