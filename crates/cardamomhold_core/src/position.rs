//! Terms and log positions, which order the writes of a group.

use std::fmt;

/// Number of a primary's leadership; increases with each promotion.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A position in a group's log, in bytes or entries depending on the endpoint.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A log position and the term in which it was written.
///
/// Positions are ordered by term first: the log up to a confirmed position of an older
/// term is a prefix of every later term's log.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Position {
    /// Term of the write.
    pub term: Term,
    /// Position in the log.
    pub log: LogPosition,
}

impl Position {
    /// Combines a term and a log position.
    pub fn new(term: Term, log: LogPosition) -> Self {
        Self { term, log }
    }

    /// Whether a member that follows `term` and has applied `log` has applied this position.
    ///
    /// Correct for confirmed positions only: they survive every promotion, so a member in
    /// the same or a later term has them once its log is long enough. The log of a member
    /// in an older term may end in entries that a later term has discarded.
    pub fn is_applied(&self, term: Term, log: LogPosition) -> bool {
        term >= self.term && log >= self.log
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.log)
    }
}
