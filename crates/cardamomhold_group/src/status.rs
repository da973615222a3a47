//! A member's report of its own state.

use std::time;

use cardamomhold_core::position;

/// A member's role in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Accepts writes in its term.
    Primary,
    /// Follows a primary.
    Replica,
}

/// One report of a member, as of the time at which it was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its role.
    pub role: MemberRole,
    /// Term of its log: its own as primary, or that of the primary that it follows.
    pub term: position::Term,
    /// Highest term at which it was fenced; it accepts no log entries of lower terms.
    pub fenced: position::Term,
    /// End of its durable log.
    pub received: position::LogPosition,
    /// Log position up to which entries are applied and visible to its reads.
    pub applied: position::LogPosition,
    /// Time since a replica last received a message from its primary.
    pub silence: time::Duration,
    /// Age of the data that its reads see.
    pub lag: time::Duration,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
}

impl MemberStatus {
    /// Whether the member accepts writes as the primary of that term.
    pub fn is_primary_of(&self, term: position::Term) -> bool {
        self.role == MemberRole::Primary && self.term == term && self.fenced <= term
    }

    /// Whether this report confirms a commit at `position`.
    ///
    /// A member that was fenced at a later term doesn't confirm any more, even if it still
    /// holds the log.
    pub fn confirms(&self, position: position::Position) -> bool {
        self.term == position.term && self.fenced <= position.term && self.received >= position.log
    }
}
