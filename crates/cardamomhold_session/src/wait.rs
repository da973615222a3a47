//! Whether a read waits for a replica that is behind, or goes to the primary.

use std::time;

/// Longest wait for a replica that is worth the primary's relief.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(20);

/// How far a replica is from what a read asks of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Distance {
    /// Log positions that it has still to apply for the session's own writes.
    pub missing: u64,
    /// Log positions that it applied a second; zero when that is not known.
    pub rate: u64,
    /// Age of the data that its reads see.
    pub lag: time::Duration,
    /// Greatest accepted age.
    pub staleness: time::Duration,
}

/// What the read does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// It runs at the replica now.
    Ready,
    /// It waits for the replica, at most for this time.
    AtMost(time::Duration),
    /// It goes to the primary at once.
    Primary,
}

/// Decides for a read that has `left` until its deadline.
pub fn decide(distance: Distance, left: time::Duration) -> Wait {
    let is_stale = distance.lag > distance.staleness;
    if distance.missing == 0 && !is_stale {
        return Wait::Ready;
    }
    let bound = MAX_WAIT.min(left / 2);
    if is_stale || expected(distance) > bound {
        return Wait::Primary;
    }
    Wait::AtMost(bound)
}

/// The time that a replica needs to apply what is missing.
fn expected(distance: Distance) -> time::Duration {
    let micros = (distance.missing.saturating_mul(1_000_000)).checked_div(distance.rate);
    match micros {
        Some(micros) => time::Duration::from_micros(micros),
        None => distance.lag,
    }
}
