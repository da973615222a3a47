//! Bound of the renewal requests that a reader answers.
//!
//! Load pattern: instances whose reader is silent all go on to the next one. A reader that is asked
//! by more instances than it can answer in time answers the first ones of each interval and drops
//! the others, which ask the next reader, instead of answering all of them late.

use std::time;

use cardamomhold_core::time::Timestamp;

use crate::renewal;

/// Interval of the bound; each instance asks once in it.
pub const INTERVAL: time::Duration = renewal::RENEWAL_INTERVAL;

/// Requests that are answered in each interval. A zone's reader has 64 instances
/// ([`renewal::INSTANCES_PER_READER`]), and a successor may have those of three others as well; with
/// some 200 bytes an answer this is a sixth of a link of 10 Mbit/s.
pub const MAX_ANSWERS: u32 = 256;

/// The answers of the present interval.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    since: Option<Timestamp>,
    answered: u32,
    shed: u32,
}

impl AnswerBudget {
    /// Whether a request that has just arrived is answered.
    pub fn admit(&mut self, now: Timestamp) -> bool {
        if self.since.is_none_or(|at| now >= at.after(INTERVAL)) {
            self.since = Some(now);
            self.answered = 0;
        }
        if self.answered >= MAX_ANSWERS {
            self.shed += 1;
            return false;
        }
        self.answered += 1;
        true
    }

    /// Returns and clears the number of requests that were dropped.
    pub fn take_shed(&mut self) -> u32 {
        std::mem::take(&mut self.shed)
    }
}
