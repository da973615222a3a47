//! A transaction that is queued for an endpoint, and how its run ended.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

/// Identifies a job within its queue; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A transaction to run on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Unique identifier.
    pub id: JobId,
    /// Rank of the transaction.
    pub rank: rank::Rank,
    /// Caller that sent the transaction.
    pub caller: name::CallerName,
    /// Weight of the caller's fair share; at least one.
    pub weight: u32,
    /// Time until which an answer brings its full benefit; a later one brings less.
    pub target: Timestamp,
    /// Time from which an answer is no longer useful.
    pub deadline: Timestamp,
}

/// How a started job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The endpoint answered after working on the job for this long.
    Answered(time::Duration),
    /// The endpoint did not answer: it could not be reached, or its answer was too late.
    Failed,
    /// The job ended before anything was sent to the endpoint.
    Unused,
}
