//! How an instance reaches a member, and how many connections the member's owners may open.
//!
//! Every request goes through an owner of the member's connections, which knows all its work and
//! so can serve the most urgent first. An instance that reaches no owner opens connections
//! itself, few and slowly, as all instances may be in the same situation.
//!
//! ```
//! use cardamomhold_pool::share;
//!
//! assert_eq!(share::per_owner(131), 86);
//! assert_eq!(share::per_owner(3), 1);
//! ```

use std::time;

/// Connections of each member reserved for control commands and restarted instances.
const RESERVED_CONNECTIONS: usize = 2;

/// An owner opens at most this part of a member's connections, as a fraction; transactions whose
/// callers are idle hold many. The rest is for a successor that takes over.
const OWNED_PART: (usize, usize) = (2, 3);

/// Maximum connections in use at once to a contended member ([`Share::Contended`]). A cut that
/// separates all instances from the owners must not exhaust the member's connections.
const MAX_CONTENDED: usize = 1;

/// Maximum concurrent requests for one member that an instance sends to its owner.
const MAX_RELAYED: usize = 64;

/// How an instance reaches a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// This instance owns the member's connections; its requests wait in the same queue as
    /// those of other instances.
    Local,
    /// Another instance owns the connections; requests are sent to it.
    Relayed,
    /// No owner can be reached: the instance opens connections on demand and closes them soon
    /// after use.
    Contended,
}

impl Share {
    /// Maximum number of requests at once.
    pub fn max_in_use(self) -> usize {
        match self {
            Self::Local | Self::Relayed => MAX_RELAYED,
            Self::Contended => MAX_CONTENDED,
        }
    }
}

/// Connections for an owner out of the `connections` that a member accepts; at least one.
pub fn per_owner(connections: usize) -> usize {
    let available = connections.saturating_sub(RESERVED_CONNECTIONS);
    (available * OWNED_PART.0 / OWNED_PART.1).max(1)
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
