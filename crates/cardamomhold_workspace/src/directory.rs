//! The workspaces of a configuration, and which of them holds which key.

use std::collections;
use std::fmt;

use cardamomhold_core::name;

/// Limit of a workspace's operations, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations a second.
    pub rate: f64,
    /// Operations beyond the rate that may come at once.
    pub burst: f64,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name, which members are told.
    pub name: name::WorkspaceName,
    /// Limit of its operations; none if it is unlimited.
    pub limit: Option<Limit>,
}

impl Limit {
    /// The lower rate and the lower burst of two limits.
    fn stricter(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The workspaces of a configuration.
#[derive(Clone, PartialEq, Default)]
pub struct Directory {
    workspaces: collections::BTreeMap<name::WorkspaceName, Workspace>,
    /// The holder of each key; none for a key that several workspaces claim.
    holders: collections::HashMap<String, Option<name::WorkspaceName>>,
}

impl Directory {
    /// Adds a workspace with its keys. A key that another workspace holds belongs to neither from
    /// then on; returns how many such keys there were. A workspace that is added twice holds the
    /// keys of both and has the stricter of its limits.
    pub fn add<'a>(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> usize {
        let mut conflicts = 0;
        for key in keys {
            let name = &workspace.name;
            let holder = self.holders.entry(key.to_owned());
            let holder = holder.or_insert_with(|| Some(name.clone()));
            if holder.as_ref() != Some(name) {
                *holder = None;
                conflicts += 1;
            }
        }
        let name = workspace.name.clone();
        let limit = workspace.limit;
        let known = self.workspaces.entry(name).or_insert(workspace);
        known.limit = match (known.limit, limit) {
            (Some(known), Some(limit)) => Some(known.stricter(limit)),
            (known, limit) => known.or(limit),
        };
        conflicts
    }

    /// The workspace that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Workspace> {
        let name = self.holders.get(key)?.as_ref()?;
        self.workspaces.get(name)
    }

    /// The workspace of this name.
    pub fn workspace(&self, name: &name::WorkspaceName) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Number of keys, those that nobody holds included.
    pub fn keys(&self) -> usize {
        self.holders.len()
    }

    /// All workspaces, by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }
}

/// Leaves out the keys, which must not get into logs.
impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("workspaces", &self.workspaces)
            .field("keys", &self.holders.len())
            .finish()
    }
}
