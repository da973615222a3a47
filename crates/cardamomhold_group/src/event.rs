//! What the driver of a change of primary is told, and what it asks for.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_core::position;

use crate::detect;
use crate::leadership;
use crate::status;

/// What the driver is told.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The group's object as someone read it.
    Leadership {
        /// Its content.
        leadership: &'a leadership::Leadership,
        /// Its version; zero while nobody has written it.
        version: u64,
    },
    /// A member's report, asked for by whomever.
    Report {
        /// The member.
        member: &'a name::MemberName,
        /// What it says.
        status: &'a status::MemberStatus,
    },
    /// A member could not be reached.
    Lost {
        /// The member.
        member: &'a name::MemberName,
        /// How it failed.
        reach: detect::Reach,
    },
    /// A command to a member has ended; its report came before.
    Answered {
        /// The member.
        member: &'a name::MemberName,
        /// Whether it did as asked.
        done: bool,
    },
    /// A call of the platform was answered; the object came before.
    Stored,
    /// A call of the platform failed, or its answer was lost.
    StoreLost,
    /// This instance's place among those that may drive.
    Place(Place),
    /// Number of write transactions that run through this instance.
    Writers(usize),
}

/// An instance's place among those that may drive a group's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Place {
    /// The lowest one goes first.
    pub rank: u32,
    /// Whether the primary's queue is here; planned changes are driven from there.
    pub owns_primary: bool,
}

/// What the driver asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Write the group's object if its version is the expected one.
    Write {
        /// The new content.
        leadership: leadership::Leadership,
        /// The expected version.
        expected: u64,
    },
    /// Read the group's object.
    Read,
    /// Fence a member.
    Fence {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
    },
    /// Promote the member that the object names.
    Promote {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
    },
    /// Let a member follow the primary.
    Follow {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
        /// The primary.
        primary: name::MemberName,
    },
    /// Ask a member for its report at once.
    Probe {
        /// The member.
        member: name::MemberName,
    },
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Write {
                leadership,
                expected,
            } => {
                let primary = leadership.primary.as_ref().map_or("none", |p| p.as_str());
                let term = leadership.term;
                write!(
                    f,
                    "step=write term={term} primary={primary} expected={expected}"
                )
            }
            Self::Read => f.write_str("step=read"),
            Self::Fence { member, term } => write!(f, "step=fence member={member} term={term}"),
            Self::Promote { member, term } => {
                write!(f, "step=promote member={member} term={term}")
            }
            Self::Follow {
                member,
                term,
                primary,
            } => write!(
                f,
                "step=follow member={member} term={term} primary={primary}"
            ),
            Self::Probe { member } => write!(f, "step=probe member={member}"),
        }
    }
}
