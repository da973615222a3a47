//! The messages between a caller's task and the work on an endpoint.
//!
//! A lane carries one transaction at a time. It looks the same whether the endpoint's
//! owner is this instance or another one.

use std::time;

use bytes::Bytes;
use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::rank;
use tokio::sync::mpsc;

/// Messages that wait in a lane before the sender waits.
pub const STREAM_CAPACITY: usize = 8;

/// What the owner must know to queue and guard a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The group.
    pub group: name::GroupName,
    /// The member to run at.
    pub member: name::MemberName,
    /// Term of the caller's view of the group.
    pub term: position::Term,
    /// Rank of the work.
    pub rank: rank::Rank,
    /// Who asks.
    pub caller: name::CallerName,
    /// Time left until the deadline.
    pub deadline: time::Duration,
    /// Whether it runs at a replica or at the primary.
    pub access: Access,
    /// Idempotency key of the transaction.
    pub request_key: Option<key::RequestKey>,
    /// Whether the first batch starts a transaction.
    pub begins: bool,
    /// What the session must see.
    pub seen: Option<position::Position>,
    /// Statements that bring the connection to the session's settings.
    pub setup: Vec<String>,
}

/// How a transaction uses the member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Reads and writes at the primary.
    Write,
    /// Declared reads at the primary.
    ReadPrimary,
    /// Declared reads at a replica, with the greatest accepted age of the data.
    ReadReplica(time::Duration),
}

impl Access {
    /// Whether nothing can be written.
    pub fn is_read(self) -> bool {
        match self {
            Self::Write => false,
            Self::ReadPrimary | Self::ReadReplica(_) => true,
        }
    }
}

/// From the caller's task.
#[derive(Debug)]
pub enum Up {
    /// Messages for the endpoint.
    Batch(Batch),
    /// Cancels what runs.
    Cancel,
}

/// Frontend messages that belong together.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The encoded messages.
    pub frames: Bytes,
    /// Whether the endpoint ends its answer with "ready for query".
    pub sync: bool,
    /// Without a sync: number of answers that the messages bring.
    pub answers: u32,
}

/// Towards the caller's task.
#[derive(Debug)]
pub enum Down {
    /// Encoded backend messages.
    Frames(Bytes),
    /// The batch has ended.
    Ready(Ready),
    /// The transaction has ended without a regular answer.
    Failure(Failure),
}

/// State of a transaction after a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// Whether a transaction is open.
    pub status: Status,
    /// The confirmed position of what was committed.
    pub written: Option<position::Position>,
    /// Whether the batch failed or rolled its transaction back.
    pub rolled_back: bool,
}

/// Whether a transaction is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// None is open.
    Idle,
    /// One is open.
    Transaction,
    /// One is open and has failed.
    Failed,
}

/// Why there is no regular answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The transaction did not run.
    NotRun(outcome::Refusal),
    /// It may have run.
    Unknown(outcome::Doubt),
    /// It ran earlier under the same key, with this command tag.
    Ran {
        /// Tag of the statement; empty for a transaction of several.
        tag: String,
        /// The confirmed position of its commit.
        written: position::Position,
    },
}

impl Failure {
    /// The outcome as the caller is told.
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            Self::NotRun(refusal) => outcome::Outcome::NotRun(*refusal),
            Self::Unknown(doubt) => outcome::Outcome::Unknown(*doubt),
            Self::Ran { .. } => outcome::Outcome::Ran,
        }
    }
}

/// The caller's end of a lane.
#[derive(Debug)]
pub struct Stream {
    /// Towards the endpoint; dropping it ends the lane.
    pub up: mpsc::Sender<Up>,
    /// From the endpoint.
    pub down: mpsc::Receiver<Down>,
}

/// The endpoint's end of a lane.
#[derive(Debug)]
pub struct StreamEnd {
    /// From the caller.
    pub up: mpsc::Receiver<Up>,
    /// Towards the caller.
    pub down: mpsc::Sender<Down>,
}

/// Makes both ends of a lane.
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
