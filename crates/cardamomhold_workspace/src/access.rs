//! Whether a caller may run an operation, and in whose name.

use cardamomhold_core::name;

use crate::directory;

/// Name under which operations of callers without a key run on public routes.
const PUBLIC: &str = "public";

/// The right to run an operation in the name of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Version of the configuration that allows it.
    pub version: u64,
}

impl Grant {
    /// Whether it is for callers without a key, on public routes.
    pub fn is_public(&self) -> bool {
        self.workspace.as_str() == PUBLIC
    }
}

/// Result of a caller's check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The deployment has no workspaces; the caller may run operations.
    Unrestricted,
    /// The caller may run operations in the name of a workspace.
    Granted(Grant),
    /// No workspace holds the caller's key.
    Denied,
}

/// Decides about a caller with `key` on a route by the configuration of this version;
/// `workspaces` is none in a deployment without workspaces.
pub fn decide(
    workspaces: Option<&directory::Directory>,
    version: u64,
    key: &str,
    is_public: bool,
) -> Access {
    let Some(workspaces) = workspaces else {
        return Access::Unrestricted;
    };
    let holder = workspaces.holder(key).map(|w| w.name.clone());
    let public = is_public.then(|| name::WorkspaceName::sanitized(PUBLIC));
    match holder.or(public) {
        Some(workspace) => Access::Granted(Grant { workspace, version }),
        None => Access::Denied,
    }
}

/// Whether the owner of a member's connections may run a statement that another instance has
/// authorized with `grant`, by the owner's configuration of this version; `has_public` tells
/// whether the member's group has a public route.
///
/// An owner with an older configuration than the grant's relies on the grant: it may not know the
/// workspace yet.
pub fn is_valid(
    workspaces: Option<&directory::Directory>,
    version: u64,
    grant: Option<&Grant>,
    has_public: bool,
) -> bool {
    let Some(grant) = grant else {
        return workspaces.is_none();
    };
    if version < grant.version {
        return true;
    }
    let is_known = workspaces.is_some_and(|w| w.workspace(&grant.workspace).is_some());
    is_known || (workspaces.is_some() && has_public && grant.is_public())
}
