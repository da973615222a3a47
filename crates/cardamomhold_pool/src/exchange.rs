//! Exchange of samples of the primaries' log positions between instances whose clocks
//! differ.
//!
//! An answer gives the age of each sample at the time when the answer is sent; the receiver
//! subtracts that age from the time when it sent its request, which is earlier. A request
//! gives the time between the arrival of the last answer and each sample; the receiver adds
//! it to the time when it sent that answer, which is also earlier and which the stamp in the
//! request repeats. A sample is therefore never taken for younger than it is.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_pool::exchange::Exchange;
//! use cardamomhold_pool::sample::Sample;
//!
//! let group = GroupName::parse("bookings").unwrap();
//! let position = Position::new(Term(1), LogPosition(7));
//! let mut sender = Exchange::new(1);
//! sender.insert(&group, Sample { sent: Timestamp(500), position });
//! let answer = sender.answer(Timestamp(700));
//! let mut receiver = Exchange::new(2);
//! receiver.apply_answer(Timestamp(9_050), Timestamp(9_000), &answer);
//! assert_eq!(receiver.newest("bookings").unwrap().sent, Timestamp(8_800));
//! ```

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::interest;
use crate::sample;

/// Samples older than this are left out of answers.
const MAX_FORWARD_AGE: time::Duration = time::Duration::from_secs(3);

/// A sample inside a message.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelativeSample {
    /// Group of the sample.
    pub group: name::GroupName,
    /// Log position of the group's primary.
    pub position: position::Position,
    /// Time between the sample and the reference time of the message, in microseconds.
    pub offset_us: u64,
}

/// Send time of an answer by the sender's clock. Only the sender interprets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Identifies the run of the sender's process, since the next run may restart the clock.
    run_id: u64,
    sent_us: u64,
    /// Number of the sender's last change before the answer.
    version: u64,
}

/// Samples that an instance sends with a request.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Stamp of the last received answer. Its arrival is the reference time; the samples are
    /// younger.
    pub reference: Option<Stamp>,
    /// Samples taken since the reference time.
    pub samples: Vec<RelativeSample>,
}

/// Samples that an instance sends with an answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Send time of the answer, which is the reference time; the samples are older.
    pub stamp: Stamp,
    /// Samples taken before the reference time.
    pub samples: Vec<RelativeSample>,
}

/// The newest known sample of every group, and the reference time for the next report.
#[derive(Debug)]
pub struct Exchange {
    run_id: u64,
    newest: collections::BTreeMap<name::GroupName, sample::Sample>,
    /// Number of the change that stored each sample.
    versions: collections::BTreeMap<name::GroupName, u64>,
    /// Number of the last change.
    version: u64,
    /// Stamp of the last received answer, and the time when it arrived.
    last_answer: Option<(Stamp, Timestamp)>,
}

impl Exchange {
    /// Creates an exchange without samples. `run_id` must differ between runs of the
    /// instance.
    pub fn new(run_id: u64) -> Self {
        Self {
            run_id,
            newest: collections::BTreeMap::new(),
            versions: collections::BTreeMap::new(),
            version: 0,
            last_answer: None,
        }
    }

    /// Stores a sample if it is newer than the stored one of its group; returns whether it is.
    pub fn insert(&mut self, group: &name::GroupName, sample: sample::Sample) -> bool {
        let stored = self.newest.get(group.as_str());
        if stored.is_some_and(|s| s.sent >= sample.sent) {
            return false;
        }
        self.newest.insert(group.clone(), sample);
        self.version += 1;
        self.versions.insert(group.clone(), self.version);
        true
    }

    /// The newest sample of a group.
    pub fn newest(&self, group: &str) -> Option<sample::Sample> {
        self.newest.get(group).copied()
    }

    /// The newest samples of all groups.
    pub fn all(&self) -> &collections::BTreeMap<name::GroupName, sample::Sample> {
        &self.newest
    }

    /// Samples to send with the next request.
    pub fn report(&self) -> Report {
        let Some((stamp, arrived)) = self.last_answer else {
            return Report::default();
        };
        let mut samples = Vec::new();
        for (group, sample) in &self.newest {
            if sample.sent < arrived {
                continue;
            }
            samples.push(RelativeSample {
                group: group.clone(),
                position: sample.position,
                offset_us: sample.sent.since(arrived).as_micros() as u64,
            });
        }
        Report {
            reference: Some(stamp),
            samples,
        }
    }

    /// Stores the samples of a received request; returns whether any of them was new.
    pub fn apply_report(&mut self, report: &Report) -> bool {
        let Some(stamp) = report.reference.filter(|s| s.run_id == self.run_id) else {
            return false;
        };
        // The answer was sent before it arrived, so this never makes a sample younger.
        self.store(&report.samples, |offset| {
            stamp.sent_us.saturating_add(offset)
        })
    }

    /// Samples to send with an answer at `now` to an instance of which nothing is known.
    pub fn answer(&self, now: Timestamp) -> Answer {
        self.answer_wanted(now, None, &interest::Wanted::default())
    }

    /// Samples to send at `now` with the answer to a request whose report has this `reference`: those
    /// stored since the last answer that the requesting instance has received.
    pub fn answer_to(&self, now: Timestamp, reference: Option<Stamp>) -> Answer {
        self.answer_wanted(now, reference, &interest::Wanted::default())
    }

    /// As [`Exchange::answer_to`], with the samples of the `wanted` groups only.
    pub fn answer_wanted(
        &self,
        now: Timestamp,
        reference: Option<Stamp>,
        wanted: &interest::Wanted,
    ) -> Answer {
        let received = reference.filter(|s| s.run_id == self.run_id);
        let received = received.map_or(0, |s| s.version);
        let mut samples = Vec::new();
        for (group, sample) in &self.newest {
            let Some(known) = wanted.known_version(group.as_str(), received) else {
                continue;
            };
            let age = now.since(sample.sent);
            let is_known = self.versions.get(group).is_some_and(|v| *v <= known);
            if is_known || age > MAX_FORWARD_AGE {
                continue;
            }
            samples.push(RelativeSample {
                group: group.clone(),
                position: sample.position,
                offset_us: age.as_micros() as u64,
            });
        }
        let stamp = Stamp {
            run_id: self.run_id,
            sent_us: now.0,
            version: self.version,
        };
        Answer { stamp, samples }
    }

    /// Stores the samples of the answer to the request sent at `requested`; returns whether
    /// any of them was new.
    pub fn apply_answer(&mut self, now: Timestamp, requested: Timestamp, answer: &Answer) -> bool {
        self.last_answer = Some((answer.stamp, now));
        // The request was sent before the answer, so this never makes a sample younger.
        self.store(&answer.samples, |offset| requested.0.saturating_sub(offset))
    }

    /// Stores received samples; `to_local` converts the offset of a sample to a local time.
    fn store(&mut self, samples: &[RelativeSample], to_local: impl Fn(u64) -> u64) -> bool {
        let mut is_new = false;
        for relative in samples {
            let sample = sample::Sample {
                sent: Timestamp(to_local(relative.offset_us)),
                position: relative.position,
            };
            is_new |= self.insert(&relative.group, sample);
        }
        is_new
    }
}
