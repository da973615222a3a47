//! Outcomes of requests, as far as the proxy knows them.

use std::fmt;

/// Outcome of a request that got no successful answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun(Refusal),
    /// An earlier request with the same request key has run.
    Ran,
    /// The request may have run; only its request key can show whether it did.
    Unknown(Doubt),
}

/// Reason why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The group is not in the configuration.
    UnknownGroup,
    /// The group has no primary that can run the request now.
    NoPrimary,
    /// The instance's view of the group is older than the caller's token.
    StaleView,
    /// The replica has not applied the writes that the read must include.
    ReplicaBehind,
    /// The deadline could not have been met.
    DeadlineUnmet,
    /// The queue of the group is full for this rank or caller.
    QueueFull,
    /// The endpoint's circuit breaker is open.
    EndpointDown,
    /// The instance is stopping.
    Stopping,
    /// The instance that owns the endpoint can't be reached.
    OwnerUnreachable,
    /// No connection to the endpoint could be opened.
    ConnectFailed,
    /// The instance lost its membership of the fleet and must rejoin first.
    Rejoining,
    /// The transaction was idle for too long and was rolled back.
    IdleTransaction,
    /// The endpoint is leaving and accepts no new transactions.
    EndpointLeaving,
}

impl Refusal {
    /// All variants, indexed by their code in messages; the order must never change.
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

    /// Code in messages between instances.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Returns the refusal with this code; none when the code is unknown.
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// Name in logs and metrics.
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

    /// Whether a retry, at another instance or endpoint or after a short delay, is likely to
    /// succeed.
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

/// Reason why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// The connection to the endpoint broke after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The commit was not confirmed by enough members of the group.
    Unconfirmed,
    /// The request key is older than the group's key retention.
    KeyExpired,
    /// The instance that ran the request stopped answering.
    OwnerLost,
}

impl Doubt {
    /// All variants, indexed by their code in messages; the order must never change.
    const ALL: [Self; 5] = [
        Self::ConnectionLost,
        Self::DeadlinePassed,
        Self::Unconfirmed,
        Self::KeyExpired,
        Self::OwnerLost,
    ];

    /// Code in messages between instances.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Returns the doubt with this code; none when the code is unknown.
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// Name in logs and metrics.
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
