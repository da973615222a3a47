//! Which log a new primary must have, so that it has each acknowledged commit.
//!
//! Where a group has synchronous replicas, a commit is acknowledged once that many replicas have
//! received it, and nobody knows which ones. What the replicas have received bounds what has been
//! acknowledged only while fewer of them are silent than a commit needs. The former primary's log
//! has each acknowledged commit by itself.

use std::fmt;
use std::net;

use cardamomhold_core::name;
use cardamomhold_core::position;

/// A member that may hold acknowledged commits.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// Its name.
    pub member: name::MemberName,
    /// Its address; a member that replaces it there takes over its log.
    pub address: net::SocketAddr,
}

impl Holder {
    /// Whether `other` is this member or has taken over its log.
    fn is_continued_by(&self, other: &Self) -> bool {
        self.member == other.member || self.address == other.address
    }
}

/// Adds the members among `others` that no holder continues.
pub fn add_holders(holders: &mut Vec<Holder>, others: &[Holder]) {
    for other in others {
        if !holders.iter().any(|holder| other.is_continued_by(holder)) {
            holders.push(other.clone());
        }
    }
}

/// A group's synchronous replication, and what a change of primary must know of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Durability {
    /// Replicas that must have received a commit before it is acknowledged.
    #[serde(default)]
    pub sync_replicas: usize,
    /// Members that were known when the leadership ended; empty while there is a primary.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holders: Vec<Holder>,
    /// Length of the log that has each acknowledged commit, once a candidate was chosen by it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required: Option<position::LogPosition>,
}

impl Durability {
    /// Whether commits are acknowledged without regard to replicas.
    pub fn is_asynchronous(&self) -> bool {
        self.sync_replicas == 0
    }

    /// Returns the state of a group with a primary.
    pub fn settled(&self) -> Self {
        Self {
            sync_replicas: self.sync_replicas,
            ..Self::default()
        }
    }

    /// Returns the state of a change of primary; `known` are the members that an instance knows
    /// beside those that were recorded before.
    pub fn changing(&self, sync_replicas: usize, known: &[Holder]) -> Self {
        if sync_replicas == 0 {
            return Self::default();
        }
        let mut holders = known.to_vec();
        add_holders(&mut holders, &self.holders);
        // The same members make the same record, whichever instance knows them.
        holders.sort_by(|a, b| a.member.cmp(&b.member));
        Self {
            sync_replicas,
            holders,
            required: self.required,
        }
    }
}

/// What a handover knows about the log that a new primary must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requirement {
    /// Commits are acknowledged without regard to replicas: the newest log of those that answer
    /// will do.
    Nothing,
    /// A log of this length has each acknowledged commit.
    Log(position::LogPosition, Basis),
    /// Members that don't answer may alone hold acknowledged commits.
    Unknown,
}

impl Requirement {
    /// Whether a log of this length is known to have each acknowledged commit.
    pub fn is_met(self, log: position::LogPosition) -> bool {
        match self {
            Self::Nothing => true,
            Self::Log(required, _) => log >= required,
            Self::Unknown => false,
        }
    }

    /// The length of the log, if it is known.
    pub fn log(self) -> Option<position::LogPosition> {
        match self {
            Self::Log(log, _) => Some(log),
            Self::Nothing | Self::Unknown => None,
        }
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nothing => f.write_str("none"),
            Self::Log(log, basis) => write!(f, "{log} basis={}", basis.as_str()),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}

/// Whose logs show what has been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// An earlier step of the same change of primary, by the stored record.
    Stored,
    /// The replicas.
    Replicas,
    /// The former primary.
    Former,
}

impl Basis {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::Replicas => "replicas",
            Self::Former => "former",
        }
    }
}

/// What the members have answered since the former primary's commits are no longer acknowledged.
#[derive(Debug, Clone, Default)]
pub struct Answers<'a> {
    /// Lengths of the replicas' logs.
    pub replicas: Vec<position::LogPosition>,
    /// Replicas that have not answered, or whose answer doesn't tell what they hold.
    pub silent: Vec<&'a name::MemberName>,
    /// Length of the former primary's log.
    pub former: Option<position::LogPosition>,
}

impl Answers<'_> {
    /// The shortest log that is known to have each acknowledged commit.
    pub fn requirement(&self, durability: &Durability) -> Requirement {
        if durability.is_asynchronous() {
            return Requirement::Nothing;
        }
        let stored = durability.required.map(|log| (log, Basis::Stored));
        let replicas = self.bound(durability.sync_replicas);
        let replicas = replicas.map(|log| (log, Basis::Replicas));
        let former = self.former_bound().map(|log| (log, Basis::Former));
        let bounds = [stored, replicas, former].into_iter().flatten();
        match bounds.min_by_key(|(log, _)| *log) {
            Some((log, basis)) => Requirement::Log(log, basis),
            None => Requirement::Unknown,
        }
    }

    /// Length that the replicas' logs show: at least `sync_replicas` of all replicas have an
    /// acknowledged commit, so that all of these but the silent ones are among those that have
    /// answered. Of a group with fewer replicas it isn't known how many have it: one at least.
    fn bound(&self, sync_replicas: usize) -> Option<position::LogPosition> {
        let count = self.replicas.len() + self.silent.len();
        let holding = if sync_replicas > count {
            1
        } else {
            sync_replicas
        };
        let heard = holding.checked_sub(self.silent.len() + 1)?;
        let mut logs = self.replicas.clone();
        logs.sort_unstable_by(|a, b| b.cmp(a));
        logs.get(heard).copied()
    }

    /// Length of the former primary's log, which no replica's exceeds unless it was lost.
    fn former_bound(&self) -> Option<position::LogPosition> {
        let longest = self.replicas.iter().max().copied().unwrap_or_default();
        self.former.filter(|log| *log >= longest)
    }
}
