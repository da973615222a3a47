//! Decision whether a primary is unreachable, from the observations of several instances.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// Age at which an observation no longer counts.
pub const MAX_OBSERVATION_AGE: time::Duration = time::Duration::from_millis(1_500);

/// Cause of a change of the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Cause {
    /// The primary is leaving.
    Leaving,
    /// The primary's entry in the list of members no longer exists.
    Gone,
    /// A majority of the instances can't reach the primary.
    Unreachable,
    /// An earlier change of the primary was not completed.
    Unfinished,
}

impl Cause {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::Unreachable => "unreachable",
            Self::Unfinished => "unfinished",
        }
    }
}

/// Result of an instance's last attempt to reach a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Observation {
    /// The primary answered.
    Reached,
    /// The primary did not answer or refused the connection.
    Failed,
}

/// Newest observation of one primary by each instance.
#[derive(Debug, Default)]
pub struct Observations {
    latest: collections::BTreeMap<name::InstanceName, (Observation, Timestamp)>,
}

impl Observations {
    /// Records an observation of an instance.
    pub fn record(
        &mut self,
        now: Timestamp,
        instance: &name::InstanceName,
        observation: Observation,
    ) {
        self.latest.insert(instance.clone(), (observation, now));
    }

    /// Whether the primary is out of reach, when `witnesses` instances were asked at a time: more
    /// than half as many can't reach it, and more than can.
    pub fn is_unreachable(&self, now: Timestamp, witnesses: usize) -> bool {
        let mut failed = 0;
        let mut reached = 0;
        for (observation, at) in self.latest.values() {
            if now.since(*at) >= MAX_OBSERVATION_AGE {
                continue;
            }
            match observation {
                Observation::Failed => failed += 1,
                Observation::Reached => reached += 1,
            }
        }
        failed * 2 > witnesses && failed > reached
    }

    /// Whether an instance recently failed to reach the primary.
    pub fn has_failed(&self, now: Timestamp, instance: &name::InstanceName) -> bool {
        let latest = self.latest.get(instance);
        latest.is_some_and(|(o, at)| {
            *o == Observation::Failed && now.since(*at) < MAX_OBSERVATION_AGE
        })
    }
}
