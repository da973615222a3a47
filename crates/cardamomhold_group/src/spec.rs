//! Declared configuration of a database group.

use std::time;

use cardamomhold_core::name;

/// A database group as declared by its operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The members; the first one is the first primary.
    pub members: Vec<MemberSpec>,
    /// Number of statements that one member runs at once.
    pub slots: u32,
    /// Number of connections that one member accepts.
    pub connections: u32,
    /// Time that request keys are kept, in seconds.
    pub key_retention_s: u64,
}

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// The member's name, unique in the whole configuration.
    pub name: name::MemberName,
    /// The availability zone of the endpoint.
    pub zone: name::ZoneName,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Whether the member gets no new work.
    #[serde(default)]
    pub draining: bool,
}

impl GroupSpec {
    /// Number of members in a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The member with this name.
    pub fn member(&self, name: &name::MemberName) -> Option<&MemberSpec> {
        self.members.iter().find(|m| m.name == *name)
    }

    /// Time that request keys are kept.
    pub fn key_retention(&self) -> time::Duration {
        time::Duration::from_secs(self.key_retention_s)
    }
}
