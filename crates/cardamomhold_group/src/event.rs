//! Events and commands of the driver of a change of primary.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_core::position;

use crate::detect;
use crate::leadership;
use crate::status;

/// Input of the driver.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The stored leadership, as read by any instance.
    Leadership {
        /// Its content.
        leadership: &'a leadership::Leadership,
        /// Its version; zero before the first write.
        version: u64,
    },
    /// A member's report, whether or not the driver requested it.
    Report {
        /// The member.
        member: &'a name::MemberName,
        /// Content of the report.
        status: &'a status::MemberStatus,
    },
    /// A member could not be reached.
    Unreachable {
        /// The member.
        member: &'a name::MemberName,
        /// How the attempt failed.
        reach: detect::Reach,
    },
    /// A command to a member has ended; the report in its answer is observed before this.
    CommandEnded {
        /// The member.
        member: &'a name::MemberName,
        /// Whether the command succeeded.
        done: bool,
    },
    /// A call to the platform was answered; the leadership in it is observed before this.
    StoreAnswered,
    /// A call to the platform failed, or its answer was lost.
    StoreFailed,
    /// This instance's precedence among the drivers.
    Precedence(Precedence),
    /// Number of write transactions that run through this instance.
    Writers(usize),
}

/// An instance's precedence among those that may drive a group's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Precedence {
    /// The instance with the lowest rank starts first.
    pub rank: u32,
    /// Whether this instance owns the primary's endpoint; the owner drives planned changes at
    /// once, the others only after a delay.
    pub owns_primary: bool,
}

/// Output of the driver, carried out by its user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Write the leadership if its stored version is the expected one.
    Write {
        /// The new content.
        leadership: leadership::Leadership,
        /// The expected version.
        expected: u64,
    },
    /// Read the leadership.
    Read,
    /// Fence a member.
    Fence {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
    },
    /// Promote the member that the leadership names as primary.
    Promote {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
    },
    /// Make a member follow the primary.
    Follow {
        /// The member.
        member: name::MemberName,
        /// The term.
        term: position::Term,
        /// The primary.
        primary: name::MemberName,
    },
    /// Request a member's report now.
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
