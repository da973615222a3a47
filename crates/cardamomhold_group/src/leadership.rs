//! The stored record of a group's primary and term.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// The group's record in the platform's store. Its term never decreases.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leadership {
    /// The current term.
    pub term: position::Term,
    /// The term's primary; none while the members are being fenced.
    pub primary: Option<name::MemberName>,
    /// The member that a planned switchover is to promote.
    #[serde(default)]
    pub wanted: Option<name::MemberName>,
}

impl Leadership {
    /// The initial leadership of a new group, in term 1.
    pub fn first(primary: name::MemberName) -> Self {
        Self {
            term: position::Term(1),
            primary: Some(primary),
            wanted: None,
        }
    }
}
