//! The reserve: the few operations of a workspace that an instance may start while it reaches no
//! allocator.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use xxhash_rust::xxh3;

use crate::allowance;
use crate::bounds;

/// The reserve of an instance.
#[derive(Debug)]
pub struct Reserve {
    own: name::InstanceName,
    bounds: bounds::Bounds,
    started: Timestamp,
    /// The registered instances, which share the reserve.
    fleet: Vec<name::InstanceName>,
    used: collections::BTreeMap<name::WorkspaceName, collections::VecDeque<Timestamp>>,
}

impl Reserve {
    /// Creates the reserve of a process that starts now.
    pub fn new(started: Timestamp, own: &name::InstanceName, bounds: bounds::Bounds) -> Self {
        Self {
            own: own.clone(),
            bounds,
            started,
            fleet: Vec::new(),
            used: collections::BTreeMap::new(),
        }
    }

    /// Sets the registered instances.
    pub fn set_fleet(&mut self, fleet: Vec<name::InstanceName>) {
        self.fleet = fleet;
    }

    /// Time in which an operation of the reserve counts: it may reach its member a term after it
    /// was taken.
    fn period(&self) -> time::Duration {
        self.bounds.window + self.bounds.term()
    }

    /// Operations of a workspace that this instance may start in a window. What can't be divided
    /// goes to some of the instances, to others for each workspace.
    fn share(&self, workspace: &name::WorkspaceName) -> usize {
        let count = self.fleet.len();
        if !self.fleet.contains(&self.own) {
            return 0;
        }
        let total = self.bounds.reserve();
        let seed = xxh3::xxh3_64(workspace.as_str().as_bytes());
        let weight = |name: &name::InstanceName| {
            let hash = xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed);
            (hash, name.clone())
        };
        let own = weight(&self.own);
        let rank = self.fleet.iter().filter(|n| weight(n) < own).count();
        total / count + usize::from(rank < total % count)
    }

    /// Takes an operation of the reserve. A process that has just started takes none: the one
    /// before may have used them.
    pub fn take(
        &mut self,
        now: Timestamp,
        workspace: &name::WorkspaceName,
    ) -> Option<allowance::Permit> {
        let period = self.period();
        if now < self.started.after(period) {
            return None;
        }
        let share = self.share(workspace);
        let used = self.used.entry(workspace.clone()).or_default();
        while used.front().is_some_and(|at| now >= at.after(period)) {
            used.pop_front();
        }
        if used.len() >= share {
            return None;
        }
        used.push_back(now);
        Some(allowance::Permit {
            until: now.after(self.bounds.term()),
        })
    }
}
