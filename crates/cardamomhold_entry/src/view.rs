//! The view that an instance routes by: configuration, members and leaderships, published as
//! one value.

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
use cardamomhold_workspace::directory;

use crate::registry;

/// Idle time after which an open transaction is rolled back, unless the operators configured
/// another one.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Consistency of a route's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Reads include every acknowledged commit.
    Primary,
    /// Reads return data of at most this age.
    Bounded(time::Duration),
    /// Reads return data of at most this age that includes the session's own commits.
    OwnWrites(time::Duration),
}

/// How one database is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The group that serves it.
    pub group: name::GroupName,
    /// Consistency of its reads.
    pub consistency: Consistency,
    /// Timeout of a single statement.
    pub timeout: time::Duration,
    /// Target latency of a statement; slower ones are logged.
    pub target: time::Duration,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The connection that a transaction or single statement requires; `own_commit` is the log
    /// position of the session's last commit and when it was acknowledged.
    pub fn requirement(
        &self,
        only_reads: bool,
        own_commit: Option<(position::Position, Timestamp)>,
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
                own_commit,
            },
        }
    }
}

/// Configuration of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// Its name.
    pub name: name::GroupName,
    /// Connections that each member accepts from all instances.
    pub connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Catalog {
    /// Version, which increases with each configuration.
    pub version: u64,
    /// Routes by database.
    pub routes: collections::HashMap<String, sync::Arc<Route>>,
    /// The groups.
    pub groups: Vec<GroupSpec>,
    /// The workspaces; none in a deployment without them.
    pub workspaces: Option<sync::Arc<directory::Directory>>,
    /// Idle time after which an open transaction is rolled back.
    pub idle_timeout: Option<time::Duration>,
}

impl Catalog {
    /// Idle time after which an open transaction is rolled back, also if none is configured.
    pub fn idle_limit(&self) -> time::Duration {
        self.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT)
    }

    /// Whether a group has a route on which callers need no key.
    pub fn has_public(&self, group: &name::GroupName) -> bool {
        let mut routes = self.routes.values();
        routes.any(|r| r.is_public && r.group == *group)
    }
}

/// Whether a member accepts statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It accepts statements.
    Ready,
    /// It is leaving the group.
    Leaving,
}

/// A member, as described by its entry in the store.
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
    /// Whether it accepts statements.
    pub state: MemberState,
    /// Whether it reports that it is the primary.
    pub is_primary: bool,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Start of the member's process, in milliseconds since 1970; changes with a restart.
    pub started_ms: u64,
}

/// The newest sample of each primary's log position, from this and other instances.
pub type Samples = sync::Arc<collections::BTreeMap<name::GroupName, sample::Sample>>;

/// State that routing needs.
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
    /// Instances that have told that they are about to stop, this one included.
    pub leaving: sync::Arc<collections::BTreeSet<name::InstanceName>>,
}

impl View {
    /// The primary of a group; none during a handover.
    pub fn primary(&self, group: &str) -> Option<&name::MemberName> {
        self.leaderships.get(group)?.primary.as_ref()
    }

    /// Whether the configuration, the registered instances and the leadership of at least one
    /// group are known.
    pub fn is_complete(&self) -> bool {
        let groups = &self.catalog.groups;
        let has_leadership = |g: &GroupSpec| self.leaderships.get(g.name.as_str()).is_some();
        self.catalog.version > 0 && !self.fleet.is_empty() && groups.iter().any(has_leadership)
    }
}

/// Remaining time of the lease below which an instance reports that it isn't ready. Usual renewals
/// leave several times as much, and the load balancer needs seconds to react.
const MIN_REMAINING: time::Duration = time::Duration::from_millis(200);

/// Time after the end of the lease from which an instance refuses at once what needs a primary.
const ISOLATION_DELAY: time::Duration = time::Duration::from_millis(400);

/// Time after the end of the lease from which an isolated instance closes idle sessions: by then
/// the load balancer uses other instances.
const CLOSING_DELAY: time::Duration = time::Duration::from_millis(2_200);

/// Whether an instance can still confirm the leaderships.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Isolation {
    /// It can.
    #[default]
    Connected,
    /// Its lease is about to end, or ended a moment ago: new callers should connect elsewhere.
    Fading,
    /// It has had no valid lease for some time.
    Isolated,
    /// It has had none for so long that callers with open sessions should connect elsewhere.
    Closing,
}

/// The lease on the published leaderships, which may be relied on until it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease.
    pub until: Timestamp,
    /// Whether the instance has been without a valid lease for some time.
    pub isolation: Isolation,
}

impl Lease {
    /// The isolation at the time `now`; an instance that has never had a lease isn't isolated, but
    /// starting.
    pub fn isolation_at(&self, now: Timestamp) -> Isolation {
        if self.until == Timestamp(0) {
            return Isolation::Connected;
        }
        if now >= self.until.after(CLOSING_DELAY) {
            return Isolation::Closing;
        }
        if now >= self.until.after(ISOLATION_DELAY) {
            return Isolation::Isolated;
        }
        match now.after(MIN_REMAINING) >= self.until {
            true => Isolation::Fading,
            false => Isolation::Connected,
        }
    }

    /// Whether the leaderships may be relied on.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.until
    }
}
