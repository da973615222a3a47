//! The line of work that waits for a connection: by rank, then by arrival.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

/// What a transaction or single statement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Want {
    /// The primary, under a valid lease.
    Primary,
    /// This member, chosen by another instance.
    Member(name::MemberName),
    /// A member whose data is fresh enough.
    Read {
        /// Greatest accepted age.
        staleness: time::Duration,
        /// The session's own last commit, and when it was acknowledged.
        own: Option<(position::Position, Timestamp)>,
    },
}

/// Work that asks for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Identity; never used twice.
    pub id: u64,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// What it needs.
    pub want: Want,
    /// Replicas that just failed it.
    pub avoid: Vec<name::MemberName>,
    /// When a connection is no longer of use.
    pub deadline: Timestamp,
}

/// The waiting work of one group.
#[derive(Debug, Default)]
pub struct Line {
    asks: collections::BTreeMap<(u8, u64), Ask>,
}

impl Line {
    /// Takes work in.
    pub fn push(&mut self, ask: Ask) {
        self.asks.insert((ask.rank, ask.id), ask);
    }

    /// Takes out one piece of work.
    pub fn remove(&mut self, rank: u8, id: u64) {
        self.asks.remove(&(rank, id));
    }

    /// The work in the order in which it is served.
    pub fn iter(&self) -> impl Iterator<Item = &Ask> {
        self.asks.values()
    }

    /// The earliest deadline.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.asks.values().map(|a| a.deadline).min()
    }

    /// Number of waiting pieces of work.
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }
}
