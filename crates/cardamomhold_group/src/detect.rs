//! Detection of a lost primary by several observers.
//!
//! A primary that this instance can't reach may be healthy for others, so a failure of
//! this instance alone never suffices: the replicas must miss the primary's heartbeats too.

use std::time;

use crate::status;

/// Silence of the replicas that proves a loss once the primary refuses connections.
pub const CLOSED_SILENCE: time::Duration = time::Duration::from_millis(200);

/// Silence of the replicas that proves a loss once the primary has timed out.
pub const TIMEOUT_SILENCE: time::Duration = time::Duration::from_millis(400);

/// Silence of the replicas that proves a loss while this instance reaches the primary or has not
/// tried to.
pub const STALLED_SILENCE: time::Duration = time::Duration::from_secs(2);

/// Age beyond which a report no longer shows the present state and is ignored.
pub const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(500);

/// Result of this instance's last attempt to reach a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reach {
    /// Not tried yet.
    #[default]
    Unknown,
    /// It answered.
    Up,
    /// It refused or closed the connection: its process has most likely ended.
    Closed,
    /// It did not answer in time.
    Timeout,
}

impl Reach {
    /// Whether the last attempt to reach the member failed.
    pub fn has_failed(self) -> bool {
        match self {
            Self::Unknown | Self::Up => false,
            Self::Closed | Self::Timeout => true,
        }
    }

    /// Silence of the replicas at which a primary of this reachability is lost.
    fn threshold(self) -> time::Duration {
        match self {
            Self::Closed => CLOSED_SILENCE,
            Self::Timeout => TIMEOUT_SILENCE,
            Self::Unknown | Self::Up => STALLED_SILENCE,
        }
    }
}

/// A replica's recent report.
#[derive(Debug, Clone, Copy)]
pub struct Witness<'a> {
    /// Content of the report.
    pub status: &'a status::MemberStatus,
    /// Time since the report arrived.
    pub age: time::Duration,
}

/// Whether the primary is lost and has to be replaced.
///
/// The witnesses are the replicas that this instance reaches. They must form a majority
/// without the primary, because a change can't succeed otherwise, and the silence of each
/// must have reached the threshold.
pub fn is_lost<'a>(
    primary: Reach,
    witnesses: impl IntoIterator<Item = Witness<'a>>,
    majority: usize,
) -> bool {
    let mut silent = 0;
    for witness in witnesses {
        if witness.age > MAX_REPORT_AGE {
            continue;
        }
        if witness.status.silence < primary.threshold() {
            return false;
        }
        silent += 1;
    }
    silent >= majority
}
