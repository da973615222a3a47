//! Groups without a leadership, and when this instance tries to write the first one.
//!
//! Each attempt asks every member for its status on a connection of its own. Members accept fewer
//! connections than there are instances, so the attempts of all instances together must not grow
//! with their number: one of rank r tries each (r + 1) times [`promotion_lock::RANK_DELAY`], which
//! are about 20 attempts a second for 300 instances.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;

/// A group without a leadership.
#[derive(Debug, Clone, Copy)]
struct Missing {
    since: Timestamp,
    /// When this instance last tried.
    tried: Option<Timestamp>,
}

/// The groups without a leadership.
#[derive(Debug, Default)]
pub struct Creations {
    missing: collections::BTreeMap<name::GroupName, Missing>,
}

impl Creations {
    /// Forgets the groups that `is_missing` rejects: a group that loses its leadership again waits
    /// anew.
    pub fn retain(&mut self, is_missing: impl Fn(&name::GroupName) -> bool) {
        self.missing.retain(|group, _| is_missing(group));
    }

    /// Whether the instance with this rank among all tries now to create the leadership of a group
    /// that has none.
    pub fn begin(&mut self, now: Timestamp, group: &name::GroupName, rank: u32) -> bool {
        let missing = self.missing.entry(group.clone()).or_insert(Missing {
            since: now,
            tried: None,
        });
        let due = match missing.tried {
            Some(tried) => tried.after(promotion_lock::RANK_DELAY * (rank + 1)),
            None => missing.since.after(promotion_lock::RANK_DELAY * rank),
        };
        if now < due {
            return false;
        }
        missing.tried = Some(now);
        true
    }
}
