//! Queue of requests that wait for a connection, ordered by rank and then by identifier.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_workspace::access;

/// The kind of member that a transaction or single statement requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requirement {
    /// The primary, under a valid lease.
    Primary,
    /// A member whose data is recent enough for a read.
    Read {
        /// Maximum accepted age of the data.
        staleness: time::Duration,
        /// Position of the session's own last commit, and the time of its acknowledgement.
        own_commit: Option<(position::Position, Timestamp)>,
    },
}

/// A request for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Unique identifier; never reused. Within a rank, the lowest identifier is served first.
    pub id: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// The required kind of member.
    pub requirement: Requirement,
    /// The caller that sent it.
    pub caller: name::CallerName,
    /// The right to run in the name of a workspace; none in a deployment without workspaces.
    pub grant: Option<access::Grant>,
    /// Replicas on which the request has just failed.
    pub avoid: Vec<name::MemberName>,
    /// Members whose owners have turned the request away because it would wait for too long.
    pub asked: Vec<name::MemberName>,
    /// Time until which an answer brings its full benefit.
    pub target: Timestamp,
    /// Time from which a connection is no longer useful.
    pub deadline: Timestamp,
}

impl Request {
    /// The workspace in whose name it runs; none in a deployment without workspaces.
    pub fn workspace(&self) -> Option<&name::WorkspaceName> {
        self.grant.as_ref().map(|g| &g.workspace)
    }
}

/// The waiting requests of one group.
#[derive(Debug, Default)]
pub struct WaitQueue {
    requests: collections::BTreeMap<(u8, u64), Request>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        self.requests.insert((request.rank, request.id), request);
    }

    /// Removes a request.
    pub fn remove(&mut self, rank: u8, id: u64) {
        self.requests.remove(&(rank, id));
    }

    /// Requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// The earliest deadline.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.requests.values().map(|r| r.deadline).min()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
