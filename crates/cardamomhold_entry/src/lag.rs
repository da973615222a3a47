//! Whether this instance's view of the store is older than that of others, so that its watches
//! must be restarted: one may have stopped delivering changes without any sign.

use std::time;

use cardamomhold_core::time::Timestamp;

use crate::message;

/// How long this instance may lag behind another one's configuration before it restarts its
/// watches.
const MAX_CONFIG_LAG: time::Duration = time::Duration::from_millis(500);

/// How long this instance may lag behind another one's view of the members before it restarts its
/// watches. They are watched in the store's cache, which is older.
const MAX_MEMBERS_LAG: time::Duration = time::Duration::from_millis(2_500);

/// Longest interval between two restarts while nothing changes, as when the store is out of reach.
const MAX_RESTART_INTERVAL: time::Duration = time::Duration::from_millis(2_000);

/// The newest versions that any instance has reported, and since when this one lags behind.
#[derive(Debug, Default)]
pub struct Lag {
    newest: message::Seen,
    since: Option<Timestamp>,
    /// Restarts since this instance began to lag.
    restarts: u32,
}

impl Lag {
    /// The versions to report to other instances: the newest configuration that anybody has
    /// reported, so that those that are behind learn of it together, and the own members.
    pub fn known(&self, own: message::Seen) -> message::Seen {
        message::Seen {
            config: own.config.max(self.newest.config),
            members: own.members,
        }
    }

    /// Records the versions that another instance reports; returns whether the watches must be
    /// restarted now. `own` are the versions that this instance has.
    pub fn record(&mut self, now: Timestamp, own: message::Seen, other: message::Seen) -> bool {
        self.newest = self.newest.max(other);
        if !own.is_behind(self.newest) {
            self.since = None;
            self.restarts = 0;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let max_lag = match own.config < self.newest.config {
            true => MAX_CONFIG_LAG,
            false => MAX_MEMBERS_LAG,
        };
        let max_lag = (max_lag * 2u32.pow(self.restarts.min(3)))
            .min(MAX_RESTART_INTERVAL)
            .max(max_lag);
        if now.since(since) <= max_lag {
            return false;
        }
        self.since = Some(now);
        self.restarts += 1;
        true
    }
}
