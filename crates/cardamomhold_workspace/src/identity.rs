//! Who a session is: the word that its caller sent, and the workspace that holds it as its key.

use std::fmt;

use cardamomhold_core::name;

use crate::access;
use crate::digest;
use crate::directory;

/// The identity of a session.
///
/// With workspaces the caller's word is a key, which must get into no log, frame or metric. The
/// session is then known by its workspace, or by a digest of the key. This holds for the rest of
/// the session, also if a later configuration has no workspaces.
pub struct Identity {
    word: String,
    name: name::CallerName,
    /// Its name in logs; none for its word.
    label: Option<String>,
    grant: Option<access::Grant>,
    is_key: bool,
}

impl Identity {
    /// The identity of a caller that sent this word.
    pub fn new(word: &str) -> Self {
        Self {
            word: word.to_owned(),
            name: name::CallerName::sanitized(word),
            label: None,
            grant: None,
            is_key: false,
        }
    }

    /// Decides by the configuration of this version, and keeps the result; false when no workspace
    /// holds the caller's key.
    pub fn authorize(
        &mut self,
        workspaces: Option<&directory::Directory>,
        version: u64,
        is_public: bool,
    ) -> bool {
        match access::decide(workspaces, version, &self.word, is_public) {
            access::Access::Unrestricted => {
                self.grant = None;
                if self.is_key {
                    self.hide_key();
                }
                true
            }
            access::Access::Granted(grant) => {
                let is_same = self.grant.as_ref().map(|g| &g.workspace) == Some(&grant.workspace);
                if !is_same {
                    self.name = name::CallerName::sanitized(grant.workspace.as_str());
                    self.label = Some(grant.workspace.to_string());
                }
                self.is_key = true;
                self.grant = Some(grant);
                true
            }
            access::Access::Denied => {
                self.is_key = true;
                self.grant = None;
                self.hide_key();
                false
            }
        }
    }

    fn hide_key(&mut self) {
        let label = format!("key-{}", digest::of(&self.word));
        self.name = name::CallerName::sanitized(&label);
        self.label = Some(label);
    }

    /// The right to run statements; none in a deployment without workspaces.
    pub fn grant(&self) -> Option<&access::Grant> {
        self.grant.as_ref()
    }

    /// The workspace; none in a deployment without workspaces.
    pub fn workspace(&self) -> Option<&name::WorkspaceName> {
        self.grant.as_ref().map(|g| &g.workspace)
    }

    /// The caller in the queues, which share the members' time fairly.
    pub fn name(&self) -> &name::CallerName {
        &self.name
    }

    /// The caller in logs: its workspace, a digest of its key or, in a deployment without
    /// workspaces, its word.
    pub fn label(&self) -> &str {
        self.label.as_deref().unwrap_or(&self.word)
    }
}

/// Leaves out the word, which may be a key.
impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("label", &self.label)
            .field("grant", &self.grant)
            .finish()
    }
}
