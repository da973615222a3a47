//! How many connections of a member an instance may use, and how it reaches the member.
//!
//! Where a member accepts fewer connections than there are instances, a few owners in each
//! zone hold the connections and the other instances send their requests through an owner. An
//! instance that finds no owner opens connections itself and closes them soon after use.
//!
//! ```
//! use cardamomhold_pool::share;
//!
//! assert_eq!(share::per_instance(47, 15), Some(3));
//! assert_eq!(share::per_instance(73, 146), None);
//! assert_eq!(share::per_owner(73, 6), 6);
//! ```

use std::time;

/// Connections of each member reserved for control commands and restarted instances.
const RESERVED_CONNECTIONS: usize = 2;

/// The owners together hold the number of a member's connections divided by this. The others
/// stay free for the time after a power loss of all owners, when a member may still count their
/// old connections.
const OWNED_DIVISOR: usize = 2;

/// Maximum connections in use at once to a contended member ([`Share::Contended`]).
const MAX_CONTENDED: usize = 4;

/// Maximum concurrent requests for one member that an instance sends through an owner.
const MAX_RELAYED: usize = 64;

/// An instance's share of a member's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// The instance has this many connections of its own, which stay open.
    Owned(usize),
    /// Other instances own the connections; requests are sent through one of them.
    Relayed,
    /// No owner can be reached: the instance opens connections on demand and closes them soon
    /// after use.
    Contended,
}

impl Share {
    /// Maximum number of connections in use at once.
    pub fn max_in_use(self) -> usize {
        match self {
            Self::Owned(count) => count,
            Self::Relayed => MAX_RELAYED,
            Self::Contended => MAX_CONTENDED,
        }
    }
}

/// Connections for each of `instances` out of the `connections` that a member accepts; `None`
/// if there are too few for all.
pub fn per_instance(connections: usize, instances: usize) -> Option<usize> {
    let count = connections
        .saturating_sub(RESERVED_CONNECTIONS)
        .checked_div(instances)?;
    Some(count).filter(|count| *count > 0)
}

/// Connections for each of `owners` out of the `connections` that a member accepts; at least
/// one.
pub fn per_owner(connections: usize, owners: usize) -> usize {
    (connections / OWNED_DIVISOR / owners.max(1)).max(1)
}

/// Adaptive idle timeout of connections to a contended member. It shrinks fast when the
/// member has no connection left and grows slowly otherwise, so that the instances settle
/// where nearly all connections are in use.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimeout {
    timeout: time::Duration,
    max: time::Duration,
}

impl IdleTimeout {
    /// Maximum timeout for a member in the instance's own zone.
    const MAX_SAME_ZONE: time::Duration = time::Duration::from_secs(10);

    /// Maximum timeout for a member in another zone.
    const MAX_OTHER_ZONE: time::Duration = time::Duration::from_secs(2);

    /// The initial timeout is the maximum divided by this.
    const INITIAL_DIVISOR: u32 = 8;

    /// Minimum timeout, longer than the usual time between two statements of a transaction.
    const MIN: time::Duration = time::Duration::from_millis(20);

    /// Factor by which the timeout grows with each opened connection.
    const GROWTH_FACTOR: f64 = 1.02;

    /// Creates the initial timeout; `is_near` tells whether the member is in the instance's own
    /// zone.
    pub fn new(is_near: bool) -> Self {
        let max = if is_near {
            Self::MAX_SAME_ZONE
        } else {
            Self::MAX_OTHER_ZONE
        };
        Self {
            timeout: max / Self::INITIAL_DIVISOR,
            max,
        }
    }

    /// The current timeout.
    pub fn get(&self) -> time::Duration {
        self.timeout
    }

    /// Raises the timeout after a connection was opened.
    pub fn record_opened(&mut self) {
        self.timeout = self.timeout.mul_f64(Self::GROWTH_FACTOR).min(self.max);
    }

    /// Halves the timeout after the member had no connection left.
    pub fn record_no_connection(&mut self) {
        self.timeout = (self.timeout / 2).max(Self::MIN);
    }
}
