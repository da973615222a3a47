//! The edge to a member: a connection that runs one statement at a time.

use std::fmt;
use std::io;
use std::net;
use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::candidate;
use cardamomhold_pool::load;
use cardamomhold_workspace::access;

use crate::answer;
use crate::statement;

/// A command to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command<'a> {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Log position that the member must have applied.
        after: Option<position::Position>,
    },
    /// Rolls back a transaction.
    Rollback,
    /// Passes a caller's statement on, unchanged.
    Pass {
        /// Identity that the caller gave it.
        id: &'a str,
        /// Log position that the member must have applied.
        after: Option<position::Position>,
        /// Its text.
        text: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// Identity that the caller gave it.
        id: &'a str,
        /// Log position that the member must have applied.
        after: Option<position::Position>,
        /// Its name at the member.
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
        /// Its name at the member.
        name: &'a str,
        /// Whether it may write.
        access: statement::Access,
        /// The statement itself, passed on undecoded.
        shape: &'a str,
    },
    /// Clears values and prepared statements.
    Reset,
}

/// An administrative command to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// Returns the member's status.
    Status,
    /// Demotes a primary of a lower term than this one to a replica.
    Demote(position::Term),
}

/// Address of a member, and the identity that it must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The group that the member must belong to.
    pub group: name::GroupName,
    /// The member that must answer at the address.
    pub member: name::MemberName,
    /// Its address.
    pub address: net::SocketAddr,
    /// The owner to connect through; none for a direct connection.
    pub via: Option<Owner>,
    /// The workspace in whose name the connection is opened; none for the proxy's own.
    pub workspace: Option<name::WorkspaceName>,
}

/// The owner of a member's connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Its name.
    pub name: name::InstanceName,
    /// Its address.
    pub address: net::SocketAddr,
}

/// Why a command to a member failed.
#[derive(Debug)]
pub enum LinkError {
    /// No connection to the address could be opened, or the owner does not serve the member.
    Unreachable(io::Error),
    /// The connection broke.
    Broken(io::Error),
    /// The connection to the owner broke; the owner may have passed the command on.
    OwnerLost(io::Error),
    /// The member's answer can't be decoded.
    Garbled,
    /// The member refused the command.
    Refused(answer::Code),
    /// The owner refused the command, since it would wait for too long; it did not run. There is
    /// room after this time.
    Overloaded(time::Duration),
    /// The owner refused the command, since its workspace is over its limit; it did not run. There
    /// may be a token after this time.
    Limited(time::Duration),
    /// The owner refused the command, since it would wait for longer than [`Priority::max_wait`]; it
    /// did not run.
    LongWait,
}

impl LinkError {
    /// Whether a failed attempt to open a connection means that the member has too many: it says
    /// so, or it closes the connection without an answer.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Refused(code) => matches!(code, answer::Code::TooMany | answer::Code::Busy),
            Self::Broken(error) => error.kind() != io::ErrorKind::TimedOut,
            Self::Unreachable(_)
            | Self::OwnerLost(_)
            | Self::Garbled
            | Self::Overloaded(_)
            | Self::Limited(_)
            | Self::LongWait => false,
        }
    }

    /// Whether the owner of the connections has refused the request itself; the connection to it
    /// can be used for others.
    pub fn is_owner_refusal(&self) -> bool {
        matches!(
            self,
            Self::Overloaded(_)
                | Self::Limited(_)
                | Self::LongWait
                | Self::Refused(answer::Code::Unauthorized)
        )
    }
}

/// Whether a command may have had an effect at the member.
pub fn may_have_run<T>(result: &Result<T, LinkError>) -> bool {
    match result {
        Ok(_) => true,
        Err(LinkError::Refused(code)) => !code.allows_retry(),
        Err(LinkError::Overloaded(_) | LinkError::Limited(_) | LinkError::LongWait) => false,
        Err(
            LinkError::Unreachable(_)
            | LinkError::Broken(_)
            | LinkError::OwnerLost(_)
            | LinkError::Garbled,
        ) => true,
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => write!(f, "unreachable: {error}"),
            Self::Broken(error) => write!(f, "broken: {error}"),
            Self::OwnerLost(error) => write!(f, "owner lost: {error}"),
            Self::Garbled => f.write_str("unreadable answer"),
            Self::Refused(code) => write!(f, "refused: {}", code.as_str()),
            Self::Overloaded(after) => write!(f, "overloaded for {} ms", after.as_millis()),
            Self::Limited(after) => write!(f, "over the limit for {} ms", after.as_millis()),
            Self::LongWait => f.write_str("another member is expected to be faster"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Priority of a caller's statements in an owner's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Priority {
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// The caller.
    pub caller: name::CallerName,
    /// The right to run them in the name of a workspace; none in a deployment without workspaces.
    pub grant: Option<access::Grant>,
    /// Wait for a slot beyond which another member is expected to be faster.
    pub max_wait: Option<time::Duration>,
    /// Time until which an answer brings its full benefit.
    pub target: Timestamp,
    /// Time from which an answer is no longer useful.
    pub deadline: Timestamp,
}

/// What an owner reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Load of the member.
    pub load: load::Load,
    /// How long the request waited for a slot, in microseconds.
    pub waited_us: u32,
}

/// One connection to a member.
pub trait Link: 'static {
    /// Sets the priority of the statements that follow, for a connection through an owner, which
    /// queues them.
    fn set_priority(&mut self, _priority: Priority) {}

    /// Sets target and deadline of the next statement, for a connection through an owner, which waits
    /// no longer for the member's answer.
    fn set_deadline(&mut self, _target: Timestamp, _deadline: Timestamp) {}

    /// Whether the other side has kept the idle connection open, as far as it is known here.
    fn is_open(&mut self) -> bool {
        true
    }

    /// What the owner has reported with its last answer; none for a direct connection.
    fn report(&self) -> Option<Report> {
        None
    }

    /// Whether the connection keeps the session's state after it has been returned.
    fn keeps_state(&self) -> bool {
        true
    }

    /// Runs a statement.
    ///
    /// # Errors
    /// [`LinkError`]; the connection can't be used afterwards.
    fn call(
        &mut self,
        command: Command<'_>,
    ) -> impl Future<Output = Result<answer::Answer, LinkError>>;

    /// Runs several commands, sent in one batch; each must succeed.
    ///
    /// # Errors
    /// [`LinkError`]; the connection can't be used afterwards, unless the last command was
    /// refused.
    fn prepare(
        &mut self,
        commands: &[Command<'_>],
    ) -> impl Future<Output = Result<Option<position::Position>, LinkError>>;

    /// Runs an administrative command; returns the member's status afterwards.
    ///
    /// # Errors
    /// [`LinkError`]; the connection can't be used afterwards.
    fn run_admin(
        &mut self,
        command: AdminCommand,
    ) -> impl Future<Output = Result<candidate::Status, LinkError>>;
}

/// Opens connections to members.
pub trait Connector: Clone + 'static {
    /// Type of the connections that it opens.
    type Link: Link;

    /// Accounts to which connections to other instances are charged; the default has no limits.
    fn accounts(&self) -> accounts::Handle {
        accounts::Handle::unlimited()
    }

    /// Opens a connection; returns it with the member's log position.
    ///
    /// # Errors
    /// [`LinkError`].
    fn open(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<(Self::Link, Option<position::Position>), LinkError>>;

    /// Checks whether a member's address accepts connections; runs nothing on the member.
    ///
    /// # Errors
    /// [`LinkError`].
    fn reach(&self, target: &Target) -> impl Future<Output = Result<(), LinkError>>;
}
