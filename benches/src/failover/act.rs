//! What happens in a trial, and when.

use std::cmp;

use cardamomhold_core::time::Timestamp;
use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::status;

/// What a driver hears.
#[derive(Debug)]
pub enum Note {
    Report(usize, status::MemberStatus),
    Lost(usize, detect::Reach),
    Answered(usize, Option<status::MemberStatus>),
    Stored(leadership::Leadership, u64),
    Watched(leadership::Leadership, u64),
}

/// What happens at a moment.
#[derive(Debug)]
pub enum Act {
    /// A monitor's poll comes back.
    Poll(usize, usize),
    /// A command reaches a member.
    Command(usize, usize, event::Command),
    /// A call reaches the platform.
    Call(usize, event::Command),
    /// Something reaches a driver.
    Note(usize, Note),
    /// A driver looks again.
    Wake(usize),
    Fault,
}

/// An act with its time; the number keeps the order of acts at the same moment.
#[derive(Debug)]
pub struct Due(pub Timestamp, pub u64, pub Act);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
