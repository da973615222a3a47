//! The attempts of one operation.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::load;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, Default)]
pub enum Ending {
    /// The member answered in this time, without the wait at its owner.
    Answered(time::Duration),
    /// The member lacked this position.
    Behind(position::Position),
    /// The owner's queue refused it.
    #[default]
    Refused,
    /// It would have waited for too long.
    TurnedAway,
}

/// State of one operation.
#[derive(Debug, Default)]
pub struct Attempt {
    /// The chosen member.
    pub member: usize,
    /// The position that the member must have reached.
    pub after: Option<position::Position>,
    /// Wait beyond which the owner refuses it.
    pub max_wait: Option<time::Duration>,
    /// How the latest attempt ended.
    pub ending: Ending,
    /// The load that the owner reported.
    pub load: load::Load,
    /// Members on which it has failed.
    pub avoid: Vec<name::MemberName>,
    /// Members whose owners have turned it away.
    pub asked: Vec<name::MemberName>,
    /// Number of attempts.
    pub count: u32,
}
