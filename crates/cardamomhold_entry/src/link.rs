//! The edge to a member: one connection, one statement at a time.

use std::fmt;
use std::io;
use std::net;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::candidate;

use crate::answer;
use crate::statement;

/// What a member is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command<'a> {
    /// Starts a transaction, of a caller's or to read.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Position that the member must hold.
        after: Option<position::Position>,
    },
    /// Ends a transaction without keeping anything.
    Rollback,
    /// Passes a caller's statement on, unchanged.
    Pass {
        /// The caller's identity of it.
        id: &'a str,
        /// Position that the member must hold.
        after: Option<position::Position>,
        /// Its text.
        text: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's identity of it.
        id: &'a str,
        /// Position that the member must hold.
        after: Option<position::Position>,
        /// The name at the member.
        name: &'a str,
        /// Its arguments.
        arguments: &'a str,
    },
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The name at the member.
        name: &'a str,
        /// What it may do.
        access: statement::Access,
        /// What it does.
        shape: &'a str,
    },
    /// Clears values and prepared statements.
    Reset,
}

/// Orders to a member that concern its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Says how it stands.
    Status,
    /// A primary of a lower term becomes a replica.
    Demote(position::Term),
}

/// Where a member is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The group that it must belong to.
    pub group: name::GroupName,
    /// The member that must answer there.
    pub member: name::MemberName,
    /// Its address.
    pub address: net::SocketAddr,
    /// The owner to go through; none for a connection to the member itself.
    pub via: Option<net::SocketAddr>,
}

/// Why a member could not be asked.
#[derive(Debug)]
pub enum LinkError {
    /// Nobody answers at the address.
    Unreachable(io::Error),
    /// The connection broke.
    Broken(io::Error),
    /// The connection to the owner broke; it may have passed on what it was sent.
    OwnerLost(io::Error),
    /// The member sent what can't be read.
    Garbled,
    /// The member refused.
    Refused(answer::Code),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => write!(f, "unreachable: {error}"),
            Self::Broken(error) => write!(f, "broken: {error}"),
            Self::OwnerLost(error) => write!(f, "owner lost: {error}"),
            Self::Garbled => f.write_str("unreadable answer"),
            Self::Refused(code) => write!(f, "refused: {}", code.as_str()),
        }
    }
}

impl std::error::Error for LinkError {}

/// One connection to a member.
pub trait Link: 'static {
    /// Says for which work the connection is used from now on, as far as others must know:
    /// its rank, and until when it is of use.
    fn assign(&mut self, _rank: u8, _deadline: Timestamp) {}

    /// Whether the connection holds the session's state after its work is done.
    fn keeps_state(&self) -> bool {
        true
    }

    /// Runs a statement.
    ///
    /// # Errors
    /// [`LinkError`]; the connection is of no use after it.
    fn call(
        &mut self,
        command: Command<'_>,
    ) -> impl Future<Output = Result<answer::Answer, LinkError>>;

    /// Runs several commands, sent at once; each must succeed.
    ///
    /// # Errors
    /// [`LinkError`]; the connection is of no use after it, unless the last one was refused.
    fn prepare(
        &mut self,
        commands: &[Command<'_>],
    ) -> impl Future<Output = Result<Option<position::Position>, LinkError>>;

    /// Gives the member an order and returns how it stands then.
    ///
    /// # Errors
    /// [`LinkError`]; the connection is of no use after it.
    fn order(&mut self, order: Order)
    -> impl Future<Output = Result<candidate::Status, LinkError>>;
}

/// Opens connections to members.
pub trait Connector: Clone + 'static {
    /// What it opens.
    type Link: Link;

    /// Opens a connection; returns it with the position of the member's log.
    ///
    /// # Errors
    /// [`LinkError`].
    fn open(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<(Self::Link, Option<position::Position>), LinkError>>;

    /// Whether somebody takes connections at a member's address; costs the member no work.
    ///
    /// # Errors
    /// [`LinkError`].
    fn reach(&self, target: &Target) -> impl Future<Output = Result<(), LinkError>>;
}
