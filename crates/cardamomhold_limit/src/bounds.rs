//! The bound that the operations of a workspace must keep to, and the times derived from it.

use std::time;

/// Part of a token's term that is left for the way from the check to the member: the bound
/// counts operations as they reach members.
const PATH_TIME: time::Duration = time::Duration::from_millis(50);

/// Least time for which tokens are valid.
const MIN_TERM: time::Duration = time::Duration::from_millis(100);

/// The bound: in every sliding window, at most (rate x window + burst) x (1 + overshoot) + slack
/// operations of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Length of the window.
    pub window: time::Duration,
    /// Part of the window's operations that may be exceeded.
    pub overshoot: f64,
    /// Operations of a window beyond that.
    pub slack: f64,
}

impl Bounds {
    /// Time for which tokens are valid after the request for them was sent: tokens used in a window
    /// were granted in the window and one term before it.
    pub fn term(&self) -> time::Duration {
        let term = self.window.mul_f64(self.overshoot.clamp(0.0, 1.0));
        term.saturating_sub(PATH_TIME).max(MIN_TERM)
    }

    /// Operations of a workspace in a window that instances without an allocator may start, all
    /// together: half the slack. The other half covers rounding and instances that differ on who is
    /// registered.
    pub fn reserve(&self) -> usize {
        (self.slack / 2.0).clamp(0.0, 1_000.0) as usize
    }
}

/// Durations of the tenure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a voter confirms one holder.
    pub confirmation: time::Duration,
    /// How long a holder relies on a majority's confirmations, counted from its request.
    pub lease: time::Duration,
    /// How long a voter confirms nobody after its start: it doesn't know whom it confirmed before.
    pub start_abstention: time::Duration,
    /// How long a voter confirms nobody but the present holder after other voters have replaced
    /// the ones before.
    pub adoption_abstention: time::Duration,
    /// Whether such a replacement begins this time anew.
    pub restarts_abstention: bool,
    /// Whether a holder that hands over the tenure gives up its lease.
    pub ends_at_handover: bool,
    /// Time for which a new holder's buckets have been filling when its tenure begins.
    pub head_start: time::Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            confirmation: LEASE,
            lease: LEASE,
            start_abstention: LEASE,
            adoption_abstention: LEASE,
            restarts_abstention: true,
            ends_at_handover: true,
            head_start: time::Duration::ZERO,
        }
    }
}

/// Duration of the allocator's lease. Two renewals in a row may be lost, and a process with 0.084
/// of a core may stand still for several scheduling periods of 100 ms.
const LEASE: time::Duration = time::Duration::from_millis(750);

/// Interval between two requests of the holder, a third of its lease.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(250);
