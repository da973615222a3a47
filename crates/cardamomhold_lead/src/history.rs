//! Where the terms of a group began, and which logs are prefixes of the newest term's log.
//!
//! A promotion takes what the promoted member had received, and abandons what other members had
//! beyond that. A member may hold abandoned commits until it has followed a newer primary, which
//! rolls it back.

use cardamomhold_core::position;

use crate::candidate;

/// Number of beginnings that are kept, as the records of all groups are read four times a second. A
/// member that has followed none of that many primaries isn't judged any more.
pub const MAX_BEGINNINGS: usize = 8;

/// The beginning of a term; stored as a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(
    from = "(position::Term, position::LogPosition)",
    into = "(position::Term, position::LogPosition)"
)]
pub struct Beginning {
    /// The term.
    pub term: position::Term,
    /// Length of the log that it took over from the term before.
    pub start: position::LogPosition,
}

impl From<(position::Term, position::LogPosition)> for Beginning {
    fn from((term, start): (position::Term, position::LogPosition)) -> Self {
        Self { term, start }
    }
}

impl From<Beginning> for (position::Term, position::LogPosition) {
    fn from(beginning: Beginning) -> Self {
        (beginning.term, beginning.start)
    }
}

/// The present candidate, whose promotion may have begun a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Call {
    /// The term of its log when it was chosen.
    joined: position::Term,
    /// Whether an operator has ordered its promotion.
    #[serde(default)]
    is_ordered: bool,
}

/// The terms of a group that have begun, and those that may have.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TermHistory {
    /// All terms that began after this one are among the beginnings.
    since: position::Term,
    /// The beginnings, the oldest first.
    beginnings: Vec<Beginning>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    call: Option<Call>,
    /// Lowest term of the logs of candidates that were replaced; their promotions may have begun
    /// terms that are not among the beginnings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    doubt: Option<position::Term>,
}

impl TermHistory {
    /// Starts with a term whose log is the group's.
    pub fn new(since: position::Term) -> Self {
        Self {
            since,
            beginnings: Vec::new(),
            call: None,
            doubt: None,
        }
    }

    /// Whether a member's log is a prefix of the newest term's log.
    pub fn is_prefix(&self, status: &candidate::Status) -> bool {
        status.received.log <= self.limit(self.joined(status))
    }

    /// Length of the part of a member's log that is a prefix of the newest term's log. None if the
    /// log is longer and a candidate that was replaced may have begun its term: the member may hold
    /// more than is known.
    pub fn prefix_len(&self, status: &candidate::Status) -> Option<position::LogPosition> {
        if self.is_prefix(status) {
            return Some(status.received.log);
        }
        let is_known = self.has_begun(status.received.term);
        is_known.then(|| self.limit(status.received.term))
    }

    /// Whether a term is among the known beginnings, or older than they are.
    fn has_begun(&self, term: position::Term) -> bool {
        term <= self.since || self.beginnings.iter().any(|b| b.term == term)
    }

    /// Whether the promotion of the present candidate was ordered by an operator.
    pub fn is_ordered(&self) -> bool {
        self.call.is_some_and(|call| call.is_ordered)
    }

    /// Length up to which the log of a term, and of the members that follow it, is a prefix of the
    /// newest term's log.
    fn limit(&self, joined: position::Term) -> position::LogPosition {
        if joined < self.since {
            // The beginnings in between are not known: nothing is taken for granted.
            return position::LogPosition(0);
        }
        let mut limit = position::LogPosition(u64::MAX);
        for beginning in &self.beginnings {
            if beginning.term > joined {
                limit = limit.min(beginning.start);
            }
        }
        limit
    }

    /// The newest known term of whose log a member's log is a prefix. This is the term of its last
    /// position, not the one that it reports: a member may learn of a term before it is rolled
    /// back.
    fn joined(&self, status: &candidate::Status) -> position::Term {
        let term = status.received.term;
        if self.has_begun(term) {
            return term;
        }
        // Begun by a candidate that was not accepted; its log was a prefix of the log of the term
        // in which it was chosen.
        self.doubted().map_or(term, |base| base.min(term))
    }

    fn doubted(&self) -> Option<position::Term> {
        let call = self.call.map(|call| call.joined);
        call.into_iter().chain(self.doubt).min()
    }

    /// Returns the history with a member that is about to be promoted.
    pub fn with_call(&self, chosen: &candidate::Status, is_ordered: bool) -> Self {
        let call = Call {
            joined: self.joined(chosen),
            is_ordered,
        };
        Self {
            call: Some(call),
            ..self.without_call()
        }
    }

    /// Returns the history without the present candidate, whose promotion may have begun a term.
    pub fn without_call(&self) -> Self {
        Self {
            call: None,
            doubt: self.doubted(),
            ..self.clone()
        }
    }

    /// Length up to which the promoted candidate's log is a prefix of the newest term's log.
    fn limit_of(&self, promoted: &candidate::Status) -> position::LogPosition {
        if promoted.received.term < promoted.term {
            // The term of its last commit, whenever it has received that.
            return self.limit(self.joined(promoted));
        }
        // Positions with the new term don't tell where the log is from.
        self.limit(self.call.map_or(promoted.term, |call| call.joined))
    }

    /// Whether the promoted candidate leads without abandoned commits, or by an operator's order.
    /// What it received between its choice and its promotion may have come from a replaced
    /// primary.
    pub fn may_lead(&self, promoted: &candidate::Status) -> bool {
        self.is_ordered() || promoted.received.log <= self.limit_of(promoted)
    }

    /// Returns the history with the term that the promoted candidate leads.
    pub fn with_beginning(&self, promoted: &candidate::Status) -> Self {
        // The member may have been called more than once, and a late call begins a further term with
        // its log.
        let doubt = self.doubt.into_iter().chain([promoted.term]).min();
        let mut next = Self {
            call: None,
            doubt,
            ..self.clone()
        };
        next.beginnings.push(Beginning {
            term: promoted.term,
            start: promoted.received.log.min(self.limit_of(promoted)),
        });
        if next.beginnings.len() > MAX_BEGINNINGS {
            next.since = next.beginnings.remove(0).term;
            // A member of a term that was in doubt before is too old to be judged.
            next.doubt = next.doubt.filter(|base| *base >= next.since);
        }
        next
    }
}
