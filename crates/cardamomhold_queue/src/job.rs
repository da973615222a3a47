//! A transaction that wants to run, and how it ended.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

/// Identifies a job within its queue; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// One transaction that wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its identity.
    pub id: JobId,
    /// Its rank.
    pub rank: rank::Rank,
    /// Who asks.
    pub caller: name::CallerName,
    /// Weight of the caller's fair share; at least one.
    pub weight: u32,
    /// When an answer is no longer of use.
    pub deadline: Timestamp,
}

/// How a started job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The endpoint answered; it worked for this long.
    Answered(time::Duration),
    /// The endpoint gave no answer: no connection, or none in time.
    Failed,
    /// The place was given back before the endpoint was asked.
    Unused,
}
