//! Who is primary, and since which term: the object that a promotion changes.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// The group's object in the platform's store. Its term only ever rises.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leadership {
    /// The current term.
    pub term: position::Term,
    /// The term's primary; none while the members are being fenced.
    pub primary: Option<name::MemberName>,
    /// The member that a planned switchover asks for.
    #[serde(default)]
    pub wanted: Option<name::MemberName>,
}

impl Leadership {
    /// The leadership that a new group starts with.
    pub fn first(primary: name::MemberName) -> Self {
        Self {
            term: position::Term(1),
            primary: Some(primary),
            wanted: None,
        }
    }
}
