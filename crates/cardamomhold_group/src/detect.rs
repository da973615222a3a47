//! Whether a primary is lost, judged from several vantage points.
//!
//! What this instance can't reach may be well for others, so its own failure to reach
//! the primary never suffices: the replicas must miss the primary's heartbeats too.

use std::time;

use crate::status;

/// Silence of the replicas that counts once the primary refuses connections.
pub const CLOSED_SILENCE: time::Duration = time::Duration::from_millis(200);

/// Silence of the replicas that counts once the primary has not answered in time.
pub const TIMEOUT_SILENCE: time::Duration = time::Duration::from_millis(400);

/// Silence of the replicas that counts while this instance still reaches the primary.
pub const STALLED_SILENCE: time::Duration = time::Duration::from_secs(2);

/// Age beyond which a report says nothing of the present.
pub const REPORT_AGE: time::Duration = time::Duration::from_millis(500);

/// How this instance fares with a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reach {
    /// Not tried yet.
    #[default]
    Unknown,
    /// It answered last.
    Up,
    /// It refused or closed the connection: most likely its process is gone.
    Closed,
    /// It did not answer in time.
    Timeout,
}

impl Reach {
    /// Whether the last attempt to reach the member failed.
    pub fn is_lost(self) -> bool {
        match self {
            Self::Unknown | Self::Up => false,
            Self::Closed | Self::Timeout => true,
        }
    }

    /// Silence of the replicas that, with this, makes the primary lost.
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
    /// What it said.
    pub status: &'a status::MemberStatus,
    /// How long ago it said so.
    pub age: time::Duration,
}

/// Whether the primary is to be replaced.
///
/// The witnesses are the replicas that this instance reaches. They must make a majority
/// without the primary, for only then can a change succeed, and each of them must have
/// heard nothing of the primary for long enough.
pub fn is_lost<'a>(
    primary: Reach,
    witnesses: impl IntoIterator<Item = Witness<'a>>,
    majority: usize,
) -> bool {
    let mut silent = 0;
    for witness in witnesses {
        if witness.age > REPORT_AGE {
            continue;
        }
        if witness.status.silence < primary.threshold() {
            return false;
        }
        silent += 1;
    }
    silent >= majority
}
