//! Scheduled events of a failover trial.

use std::cmp;

use cardamomhold_core::time::Timestamp;
use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::status;

/// Message to a driver.
#[derive(Debug)]
pub enum Message {
    Report(usize, status::MemberStatus),
    Unreachable(usize, detect::Reach),
    CommandEnded(usize, Option<status::MemberStatus>),
    StoreAnswered(leadership::Leadership, u64),
    LeadershipChanged(leadership::Leadership, u64),
}

/// Event of a trial; the first index is a driver's, the second a member's.
#[derive(Debug)]
pub enum Event {
    /// The result of a monitor's status poll is due.
    Poll(usize, usize),
    /// A command arrives at a member.
    Command(usize, usize, event::Command),
    /// A store call arrives at the platform.
    Call(usize, event::Command),
    /// A message arrives at a driver.
    Message(usize, Message),
    /// A driver's timer expires.
    Wake(usize),
    Fault,
}

/// An event with its time and a sequence number, which orders events of the same time.
#[derive(Debug)]
pub struct Scheduled(pub Timestamp, pub u64, pub Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
