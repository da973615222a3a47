//! Message stream between a caller's task and the execution of its transaction.
//!
//! A stream carries one transaction. Its messages are the same whether the endpoint's owner
//! is this instance or another one.

use std::time;

use bytes::Bytes;
use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::rank;
use tokio::sync::mpsc;

/// Capacity of a stream in each direction, in messages.
pub const STREAM_CAPACITY: usize = 8;

/// Parameters with which the owner queues and runs a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Group of the member.
    pub group: name::GroupName,
    /// Member that runs the transaction.
    pub member: name::MemberName,
    /// Term of the group in the sender's configuration.
    pub term: position::Term,
    /// Rank of the transaction.
    pub rank: rank::Rank,
    /// The caller.
    pub caller: name::CallerName,
    /// Time left until the deadline.
    pub deadline: time::Duration,
    /// Access to the member.
    pub access: Access,
    /// Idempotency key of the transaction.
    pub request_key: Option<key::RequestKey>,
    /// Whether the first batch runs only a BEGIN.
    pub begins: bool,
    /// Position that a replica must have applied before the transaction reads.
    pub seen: Option<position::Position>,
    /// Statements that apply the session's settings to the connection.
    pub setup: Vec<String>,
}

/// Access of a transaction to its member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Reads and writes at the primary.
    Write,
    /// Declared reads at the primary.
    ReadPrimary,
    /// Declared reads at a replica, with the maximum age of its data.
    ReadReplica(time::Duration),
}

impl Access {
    /// Whether the access is read-only.
    pub fn is_read(self) -> bool {
        match self {
            Self::Write => false,
            Self::ReadPrimary | Self::ReadReplica(_) => true,
        }
    }
}

/// Message from the caller's task to the endpoint.
#[derive(Debug)]
pub enum Up {
    /// Frontend messages to run.
    Batch(Batch),
    /// Cancels the running statement.
    Cancel,
}

/// Frontend messages up to a sync or flush.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The encoded messages.
    pub frames: Bytes,
    /// Whether the batch ends with a sync, so that the endpoint answers with "ready for query".
    pub sync: bool,
    /// Number of answers to expect if there is no sync.
    pub answers: u32,
}

/// Message from the endpoint to the caller's task.
#[derive(Debug)]
pub enum Down {
    /// Encoded backend messages.
    Frames(Bytes),
    /// The batch has ended.
    Ready(Ready),
    /// The transaction has ended without a regular answer.
    Failure(Failure),
}

/// Result of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// State of the transaction.
    pub status: Status,
    /// The confirmed position of the commit, if there was one.
    pub written: Option<position::Position>,
    /// Whether the batch failed or rolled its transaction back.
    pub rolled_back: bool,
}

/// State of the transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Transaction,
    /// The open transaction has failed.
    Failed,
}

/// Reason why there is no regular answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The transaction did not run.
    NotRun(outcome::Refusal),
    /// It may have run.
    Unknown(outcome::Doubt),
    /// It ran earlier with the same request key.
    Ran {
        /// Command tag of the statement; empty if the transaction had several statements or rows.
        tag: String,
        /// The confirmed position of its commit.
        written: position::Position,
    },
}

impl Failure {
    /// The outcome that is reported to the caller.
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            Self::NotRun(refusal) => outcome::Outcome::NotRun(*refusal),
            Self::Unknown(doubt) => outcome::Outcome::Unknown(*doubt),
            Self::Ran { .. } => outcome::Outcome::Ran,
        }
    }
}

/// The caller's end of a stream.
#[derive(Debug)]
pub struct Stream {
    /// Messages to the endpoint; dropping the sender ends the stream.
    pub up: mpsc::Sender<Up>,
    /// Messages from the endpoint.
    pub down: mpsc::Receiver<Down>,
}

/// The endpoint's end of a stream.
#[derive(Debug)]
pub struct StreamEnd {
    /// Messages from the caller.
    pub up: mpsc::Receiver<Up>,
    /// Messages to the caller.
    pub down: mpsc::Sender<Down>,
}

/// Creates both ends of a stream.
pub fn pair() -> (Stream, StreamEnd) {
    let (up, up_end) = mpsc::channel(STREAM_CAPACITY);
    let (down_end, down) = mpsc::channel(STREAM_CAPACITY);
    (
        Stream { up, down },
        StreamEnd {
            up: up_end,
            down: down_end,
        },
    )
}
