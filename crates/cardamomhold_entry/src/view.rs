//! What an instance knows of routes, members and leaderships; published whole.

use std::collections;
use std::net;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::record;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;

use crate::registry;

/// What reads of a route may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Primary,
    /// Data of at most this age.
    Bounded(time::Duration),
    /// Data of at most this age, and the session's own commits.
    OwnWrites(time::Duration),
}

/// How one database is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The group that serves it.
    pub group: name::GroupName,
    /// What its reads may see.
    pub consistency: Consistency,
    /// Longest time of a single statement.
    pub timeout: time::Duration,
    /// Time within which an operation should be answered.
    pub target: time::Duration,
    /// Rank, 0 the most urgent.
    pub rank: u8,
}

impl Route {
    /// What a transaction or single statement of a session needs, when `own` is the session's
    /// last commit and when it was acknowledged.
    pub fn want(
        &self,
        only_reads: bool,
        own: Option<(position::Position, Timestamp)>,
    ) -> wait_queue::Requirement {
        if !only_reads {
            return wait_queue::Requirement::Primary;
        }
        match self.consistency {
            Consistency::Primary => wait_queue::Requirement::Primary,
            Consistency::Bounded(staleness) => wait_queue::Requirement::Read {
                staleness,
                own_commit: None,
            },
            Consistency::OwnWrites(staleness) => wait_queue::Requirement::Read {
                staleness,
                own_commit: own,
            },
        }
    }
}

/// A group as the operators configured it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// Its name.
    pub name: name::GroupName,
    /// Connections that each member takes, of all instances.
    pub connections: usize,
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Catalog {
    /// Number that rises with each configuration.
    pub version: u64,
    /// Routes by database.
    pub routes: collections::HashMap<String, sync::Arc<Route>>,
    /// The groups.
    pub groups: Vec<GroupSpec>,
    /// Rest inside a transaction after which it is rolled back.
    pub idle: Option<time::Duration>,
}

/// Whether a member takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It does.
    Ready,
    /// It leaves.
    Leaving,
}

/// A member as its entry shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: name::MemberName,
    /// Its group.
    pub group: name::GroupName,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it takes work.
    pub state: MemberState,
    /// Whether it sees itself as the primary.
    pub is_primary: bool,
    /// Milliseconds since 1970 of its start: another value is another life of the member.
    pub born: u64,
}

/// The newest sample of each primary's position, of this instance and of others.
pub type Samples = sync::Arc<collections::BTreeMap<name::GroupName, sample::Sample>>;

/// Everything that routing needs.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration.
    pub catalog: sync::Arc<Catalog>,
    /// The members, by name.
    pub members: sync::Arc<collections::BTreeMap<name::MemberName, Member>>,
    /// The leaderships.
    pub leaderships: sync::Arc<record::Leaderships>,
    /// Registered instances, this one among them.
    pub fleet: sync::Arc<registry::Instances>,
}

impl View {
    /// The primary of a group; none while another member takes over.
    pub fn primary(&self, group: &str) -> Option<&name::MemberName> {
        self.leaderships.get(group)?.primary.as_ref()
    }

    /// Whether routes, members and leaderships are known.
    pub fn is_complete(&self) -> bool {
        let groups = &self.catalog.groups;
        let is_led = |g: &GroupSpec| self.leaderships.get(g.name.as_str()).is_some();
        self.catalog.version > 0 && !self.fleet.is_empty() && groups.iter().any(is_led)
    }
}

/// Until when the published leaderships may be relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// End of the lease.
    pub until: Timestamp,
}

impl Standing {
    /// Whether the leaderships may be relied on.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.until
    }
}
