//! Configuration objects and their encoding in the platform's store.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

/// Prefix of the names of all configuration objects in the platform's store.
pub const PREFIX: &str = "config/";

/// Name of an object, with its kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ObjectName {
    /// A database group.
    Group(name::GroupName),
    /// The rule of a rank.
    Rank(rank::Rank),
    /// A kind of read.
    ReadKind(name::KindName),
    /// A caller's limits.
    Caller(name::CallerName),
    /// The rules for draining and stopping.
    StopRule,
    /// A group's term and primary.
    Leadership(name::GroupName),
}

/// Error for a text that is not the name of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectNameError;

impl fmt::Display for ObjectNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the name of a configuration object")
    }
}

impl std::error::Error for ObjectNameError {}

impl ObjectName {
    /// Parses a name from the platform's store.
    ///
    /// # Errors
    /// [`ObjectNameError`] when the prefix or the kind is unknown, or the name is invalid.
    pub fn parse(text: &str) -> Result<Self, ObjectNameError> {
        let path = text.strip_prefix(PREFIX).ok_or(ObjectNameError)?;
        let (kind, name) = path.split_once('/').ok_or(ObjectNameError)?;
        let group = || name::GroupName::parse(name).map_err(|_| ObjectNameError);
        match kind {
            "group" => Ok(Self::Group(group()?)),
            "rank" => Ok(Self::Rank(name.parse().map_err(|_| ObjectNameError)?)),
            "read_kind" => Ok(Self::ReadKind(
                name::KindName::parse(name).map_err(|_| ObjectNameError)?,
            )),
            "caller" => Ok(Self::Caller(
                name::CallerName::parse(name).map_err(|_| ObjectNameError)?,
            )),
            "stop_rule" if name == "default" => Ok(Self::StopRule),
            "leadership" => Ok(Self::Leadership(group()?)),
            _ => Err(ObjectNameError),
        }
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(name) => write!(f, "{PREFIX}group/{name}"),
            Self::Rank(rank) => write!(f, "{PREFIX}rank/{rank}"),
            Self::ReadKind(name) => write!(f, "{PREFIX}read_kind/{name}"),
            Self::Caller(name) => write!(f, "{PREFIX}caller/{name}"),
            Self::StopRule => write!(f, "{PREFIX}stop_rule/default"),
            Self::Leadership(name) => write!(f, "{PREFIX}leadership/{name}"),
        }
    }
}

/// Share, target, deadline and queue limit of one rank.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankRule {
    /// Guaranteed share of a queue's throughput while other ranks overload it, in percent.
    pub share_percent: u32,
    /// Target latency of an answer, in milliseconds.
    pub target_ms: u64,
    /// Default deadline of statements, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of waiting statements per endpoint.
    pub queue: u32,
}

impl RankRule {
    /// Returns the default rule of a rank, for when the operators have not set one.
    pub fn default_of(rank: rank::Rank) -> Self {
        match rank {
            rank::Rank::Urgent => Self {
                share_percent: 60,
                target_ms: 100,
                deadline_ms: 5_000,
                queue: 1_000,
            },
            rank::Rank::Normal => Self {
                share_percent: 30,
                target_ms: 500,
                deadline_ms: 10_000,
                queue: 1_000,
            },
            rank::Rank::Bulk => Self {
                share_percent: 10,
                target_ms: 5_000,
                deadline_ms: 30_000,
                queue: 1_000,
            },
        }
    }
}

/// Rule of a kind of read.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRule {
    /// Maximum accepted age of the data, in milliseconds.
    pub staleness_ms: u64,
}

/// A caller's limits.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRule {
    /// Weight of the caller's fair share.
    pub weight: u32,
    /// Maximum number of connections on one instance.
    pub connections: u32,
}

impl Default for CallerRule {
    fn default() -> Self {
        Self {
            weight: 1,
            connections: 1_000,
        }
    }
}

/// Rules for draining and stopping.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRule {
    /// Time for the load balancer and the other instances to detect a stop, in milliseconds.
    #[serde(default = "StopRule::default_notice")]
    pub notice_ms: u64,
    /// Time for open transactions to end, in milliseconds.
    pub grace_ms: u64,
    /// Maximum idle time of a transaction, in milliseconds.
    pub idle_ms: u64,
}

impl Default for StopRule {
    fn default() -> Self {
        Self {
            notice_ms: Self::default_notice(),
            grace_ms: 30_000,
            idle_ms: 60_000,
        }
    }
}

impl StopRule {
    fn default_notice() -> u64 {
        3_000
    }
}

/// Returns the default content of an object that the operators have not set; none for objects
/// that exist only when they are set.
pub fn default_of(name: &ObjectName) -> Option<Spec> {
    match name {
        ObjectName::Rank(rank) => Some(Spec::Rank(RankRule::default_of(*rank))),
        ObjectName::Caller(_) => Some(Spec::Caller(CallerRule::default())),
        ObjectName::StopRule => Some(Spec::StopRule(StopRule::default())),
        ObjectName::Group(_) | ObjectName::ReadKind(_) | ObjectName::Leadership(_) => None,
    }
}

/// Content of an object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spec {
    /// A database group.
    Group(spec::GroupSpec),
    /// The rule of a rank.
    Rank(RankRule),
    /// The rule of a kind of read.
    ReadKind(ReadRule),
    /// A caller's limits.
    Caller(CallerRule),
    /// The rules for draining and stopping.
    StopRule(StopRule),
    /// A group's term and primary.
    Leadership(leadership::Leadership),
}

/// An object's content, the change that wrote it, and earlier changes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Author of the change.
    pub author: String,
    /// Identifier of the change; after a lost answer it shows whether the change took effect.
    pub change: String,
    /// The content.
    pub spec: Spec,
    /// Earlier changes, newest first; at most [`MAX_HISTORY_LEN`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<PastChange>,
}

/// Maximum number of earlier changes in an object's history.
pub const MAX_HISTORY_LEN: usize = 8;

/// An earlier change of an object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastChange {
    /// Version of the object after the change.
    pub version: u64,
    /// Author of the change.
    pub author: String,
    /// Identifier of the change.
    pub change: String,
    /// Content after the change.
    pub spec: Spec,
}

impl Envelope {
    /// Returns the history for the next change; `version` is the object's version with this
    /// envelope.
    pub fn history_after(&self, version: u64) -> Vec<PastChange> {
        let last = PastChange {
            version,
            author: self.author.clone(),
            change: self.change.clone(),
            spec: self.spec.clone(),
        };
        let mut history = vec![last];
        history.extend(self.history.iter().take(MAX_HISTORY_LEN - 1).cloned());
        history
    }
}
