//! What became of a request, as the proxy knows it.

use std::fmt;

/// What became of a request that did not simply succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun(Refusal),
    /// The request ran earlier under the same key.
    Ran,
    /// The request may have run; only its key can tell.
    Unknown(Doubt),
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No such group in the configuration.
    UnknownGroup,
    /// The group has no primary that can take the request now.
    NoPrimary,
    /// The instance's view of the group is older than the caller's token.
    StaleView,
    /// The replica has not applied what the read must see.
    ReplicaBehind,
    /// The deadline could not have been met.
    DeadlineUnmet,
    /// The queue of the group is full for this rank or caller.
    QueueFull,
    /// The endpoint's breaker is open.
    EndpointDown,
    /// The instance is stopping.
    Stopping,
    /// The instance that owns the endpoint can't be reached.
    OwnerUnreachable,
    /// No connection to the endpoint could be opened.
    ConnectFailed,
    /// The instance lost its place in the fleet and rejoins first.
    Rejoining,
    /// The transaction was idle for too long and was rolled back.
    IdleTransaction,
    /// The endpoint is leaving and takes no new work.
    EndpointLeaving,
}

impl Refusal {
    /// Every value; the place of each is its code between instances and never changes.
    const ALL: [Self; 13] = [
        Self::UnknownGroup,
        Self::NoPrimary,
        Self::StaleView,
        Self::ReplicaBehind,
        Self::DeadlineUnmet,
        Self::QueueFull,
        Self::EndpointDown,
        Self::Stopping,
        Self::OwnerUnreachable,
        Self::ConnectFailed,
        Self::Rejoining,
        Self::IdleTransaction,
        Self::EndpointLeaving,
    ];

    /// The value's code between instances.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// The value of a code; none when the code is not known here.
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// The refusal's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownGroup => "unknown_group",
            Self::NoPrimary => "no_primary",
            Self::StaleView => "stale_view",
            Self::ReplicaBehind => "replica_behind",
            Self::DeadlineUnmet => "deadline_unmet",
            Self::QueueFull => "queue_full",
            Self::EndpointDown => "endpoint_down",
            Self::Stopping => "stopping",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::ConnectFailed => "connect_failed",
            Self::Rejoining => "rejoining",
            Self::IdleTransaction => "idle_transaction",
            Self::EndpointLeaving => "endpoint_leaving",
        }
    }

    /// Whether another attempt, elsewhere or a little later, may well succeed.
    pub fn is_transient(self) -> bool {
        match self {
            Self::NoPrimary
            | Self::StaleView
            | Self::ReplicaBehind
            | Self::EndpointDown
            | Self::EndpointLeaving
            | Self::OwnerUnreachable
            | Self::ConnectFailed
            | Self::Rejoining
            | Self::Stopping => true,
            Self::UnknownGroup | Self::DeadlineUnmet | Self::QueueFull | Self::IdleTransaction => {
                false
            }
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// The connection to the endpoint broke after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The commit was not confirmed by enough members of the group.
    Unconfirmed,
    /// The request key is older than the group keeps keys.
    KeyExpired,
    /// The instance that ran the request stopped answering.
    OwnerLost,
}

impl Doubt {
    /// Every value; the place of each is its code between instances and never changes.
    const ALL: [Self; 5] = [
        Self::ConnectionLost,
        Self::DeadlinePassed,
        Self::Unconfirmed,
        Self::KeyExpired,
        Self::OwnerLost,
    ];

    /// The value's code between instances.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// The value of a code; none when the code is not known here.
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// The doubt's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::DeadlinePassed => "deadline_passed",
            Self::Unconfirmed => "unconfirmed",
            Self::KeyExpired => "key_expired",
            Self::OwnerLost => "owner_lost",
        }
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
