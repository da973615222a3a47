//! Terms and log positions, and how they order writes.

use std::fmt;

/// The number of a primary's leadership; each promotion raises it by one.
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

/// A place in a group's log; bytes or entries, as the endpoint counts them.
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

/// A log position together with the term it was written in.
///
/// Positions order by term first: a confirmed position of an older term is a
/// prefix of every later term's log.
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
    /// Place in the log.
    pub log: LogPosition,
}

impl Position {
    /// Joins a term and a log position.
    pub fn new(term: Term, log: LogPosition) -> Self {
        Self { term, log }
    }

    /// Whether a member that follows `term` and has applied `log` holds this position.
    ///
    /// Sound for confirmed positions only: those survive every promotion, so a
    /// member in the same or a later term holds them once it is far enough. A
    /// member of an older term may have a tail that was cut off.
    pub fn is_held(&self, term: Term, log: LogPosition) -> bool {
        term >= self.term && log >= self.log
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.log)
    }
}
