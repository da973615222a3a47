//! The objects of the configuration and their form in the platform's store.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

/// Prefix of every object of the configuration in the platform's store.
pub const PREFIX: &str = "config/";

/// Name of an object, typed by its kind.
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

/// The text is no name of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectNameError;

impl fmt::Display for ObjectNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no name of a configuration object")
    }
}

impl std::error::Error for ObjectNameError {}

impl ObjectName {
    /// Reads a name as it stands in the platform's store.
    ///
    /// # Errors
    /// [`ObjectNameError`] when the prefix, the kind or the name is not known.
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

/// How one rank is served.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankRule {
    /// Guaranteed part of a queue's service while other ranks flood, in percent.
    pub share_percent: u32,
    /// Time within which an answer counts as prompt, in milliseconds.
    pub target_ms: u64,
    /// Deadline of statements that name none, in milliseconds.
    pub deadline_ms: u64,
    /// Greatest number of waiting statements per endpoint.
    pub queue: u32,
}

impl RankRule {
    /// The rule of a rank that the operators have not set.
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

/// A kind of read.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRule {
    /// Greatest accepted age of the data, in milliseconds.
    pub staleness_ms: u64,
}

/// A caller's limits.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRule {
    /// Weight of the caller's fair share.
    pub weight: u32,
    /// Greatest number of connections on one instance.
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
    /// Time that the balancer and the other instances get to notice a stop, in milliseconds.
    #[serde(default = "StopRule::default_notice")]
    pub notice_ms: u64,
    /// Time that open transactions get to end, in milliseconds.
    pub grace_ms: u64,
    /// Time that a transaction may stay idle, in milliseconds.
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

/// The content that an object has while its operators have not set it; none for objects
/// that exist only once they are set.
pub fn default_of(name: &ObjectName) -> Option<Spec> {
    match name {
        ObjectName::Rank(rank) => Some(Spec::Rank(RankRule::default_of(*rank))),
        ObjectName::Caller(_) => Some(Spec::Caller(CallerRule::default())),
        ObjectName::StopRule => Some(Spec::StopRule(StopRule::default())),
        ObjectName::Group(_) | ObjectName::ReadKind(_) | ObjectName::Leadership(_) => None,
    }
}

/// The content of an object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spec {
    /// Of a group.
    Group(spec::GroupSpec),
    /// Of a rank.
    Rank(RankRule),
    /// Of a kind of read.
    ReadKind(ReadRule),
    /// Of a caller.
    Caller(CallerRule),
    /// Of the rules for draining and stopping.
    StopRule(StopRule),
    /// Of a group's term and primary.
    Leadership(leadership::Leadership),
}

/// An object's content with the mark of the change that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Who made the change.
    pub author: String,
    /// Identity of the change; tells after a lost answer whether it took effect.
    pub change: String,
    /// The content.
    pub spec: Spec,
    /// The changes before this one, the newest first; at most [`HISTORY`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<Past>,
}

/// Most earlier changes that an object keeps.
pub const HISTORY: usize = 8;

/// An earlier change of an object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// The object's version then.
    pub version: u64,
    /// Who made the change.
    pub author: String,
    /// Identity of the change.
    pub change: String,
    /// The content then.
    pub spec: Spec,
}

impl Envelope {
    /// The history of the change that follows this one, which has the given version.
    pub fn history_after(&self, version: u64) -> Vec<Past> {
        let last = Past {
            version,
            author: self.author.clone(),
            change: self.change.clone(),
            spec: self.spec.clone(),
        };
        let mut history = vec![last];
        history.extend(self.history.iter().take(HISTORY - 1).cloned());
        history
    }
}
