//! What a member says of itself.

use std::time;

use cardamomhold_core::position;

/// A member's part in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Takes writes in its term.
    Primary,
    /// Follows a primary.
    Replica,
}

/// One report of a member, true at the moment it was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The part it plays.
    pub role: MemberRole,
    /// Term of the log that it holds: as primary, or of the primary it follows.
    pub term: position::Term,
    /// Highest term it was fenced at; it takes no log of lower terms any more.
    pub fenced: position::Term,
    /// End of the log that it holds durably.
    pub received: position::LogPosition,
    /// End of the log that its reads see.
    pub applied: position::LogPosition,
    /// Time since a replica last heard from its primary.
    pub silence: time::Duration,
    /// Age of the data that its reads see.
    pub lag: time::Duration,
    /// Whether it asks to get no new work.
    pub leaving: bool,
}

impl MemberStatus {
    /// Whether the member takes writes as the primary of that term.
    pub fn is_primary_of(&self, term: position::Term) -> bool {
        self.role == MemberRole::Primary && self.term == term && self.fenced <= term
    }

    /// Whether this report confirms a commit at `position`.
    ///
    /// A member that was fenced at a later term no longer confirms, even while
    /// it still holds the log.
    pub fn confirms(&self, position: position::Position) -> bool {
        self.term == position.term && self.fenced <= position.term && self.received >= position.log
    }
}
