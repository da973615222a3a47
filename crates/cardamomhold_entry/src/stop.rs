//! Stopping in phases, published to every task.

use std::time;

/// Time in which a balancer takes a leaving instance out of its rotation.
pub const LEAVING: time::Duration = time::Duration::from_millis(2_400);

/// Where an instance is between start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It serves, but says that it is not ready.
    Leaving,
    /// Sessions end as soon as they rest.
    Draining,
    /// Open transactions end as well.
    Ending,
}

/// When each phase begins, counted from the signal, for a grace of this length.
pub fn schedule(grace: time::Duration) -> [(Phase, time::Duration); 3] {
    let half = grace / 2;
    [
        (Phase::Draining, LEAVING.min(half)),
        (Phase::Ending, half + half / 5),
        (Phase::Ending, grace * 9 / 10),
    ]
}
