//! Whether a primary is gone, by what several instances see of it.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// Age after which what an instance has seen no longer counts.
pub const FRESH: time::Duration = time::Duration::from_millis(1_500);

/// Why a group gets another primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Cause {
    /// The primary is leaving.
    Leaving,
    /// The primary's entry is gone.
    Gone,
    /// A majority of the instances can't reach it.
    Unreachable,
    /// An earlier change was not finished.
    Unfinished,
}

impl Cause {
    /// The cause's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::Unreachable => "unreachable",
            Self::Unfinished => "unfinished",
        }
    }
}

/// What an instance last saw of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Sight {
    /// It answered.
    Reached,
    /// It did not answer, or refused the connection.
    Failed,
}

/// What the instances see of one primary.
#[derive(Debug, Default)]
pub struct Sights {
    seen: collections::BTreeMap<name::InstanceName, (Sight, Timestamp)>,
}

impl Sights {
    /// Takes what an instance saw.
    pub fn learn(&mut self, now: Timestamp, instance: &name::InstanceName, sight: Sight) {
        self.seen.insert(instance.clone(), (sight, now));
    }

    /// Whether more than half of `instances` can't reach the primary.
    pub fn is_unreachable(&self, now: Timestamp, instances: usize) -> bool {
        let mut failed = 0;
        for (sight, at) in self.seen.values() {
            if *sight == Sight::Failed && now.since(*at) < FRESH {
                failed += 1;
            }
        }
        failed * 2 > instances
    }

    /// Whether an instance failed to reach the primary lately.
    pub fn has_failed(&self, now: Timestamp, instance: &name::InstanceName) -> bool {
        let seen = self.seen.get(instance);
        seen.is_some_and(|(sight, at)| *sight == Sight::Failed && now.since(*at) < FRESH)
    }
}
