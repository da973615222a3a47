//! The workspaces of a configuration, and which of them holds which key.

use std::collections;

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

/// The workspaces of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Directory {
    workspaces: collections::BTreeMap<name::WorkspaceName, Workspace>,
    /// The holder of each key; none for a key that several workspaces claim.
    holders: collections::HashMap<String, Option<name::WorkspaceName>>,
}

impl Directory {
    /// Adds a workspace with its keys. A key that another workspace holds belongs to neither from
    /// then on; returns how many such keys there were.
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
        self.workspaces.insert(workspace.name.clone(), workspace);
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

    /// All workspaces, by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }
}
