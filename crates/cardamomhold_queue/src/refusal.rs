//! When refused callers may return.
//!
//! Load pattern: an overload refuses many callers in a short time. If all of them returned
//! after the same delay, the next overload would follow at once. So each refusal of a rank
//! names a later time than the one before it, by the time that the rank needs to start one job.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;

/// Longest delay that a refusal names; an estimate further ahead means little.
const MAX_RETURN_DELAY: time::Duration = time::Duration::from_secs(2);

/// A refused job; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why it is refused.
    pub reason: outcome::Refusal,
    /// Time after which there is room for it, if the load stays as it is.
    pub return_after: time::Duration,
}

/// The return times that the refusals of one rank have named.
#[derive(Debug, Default)]
pub struct Returns {
    /// Earliest time for the next refused job.
    next: Timestamp,
}

impl Returns {
    /// Reserves a return time: at the earliest after `wait`, in which the jobs that wait now are
    /// started, and `interval` after the time reserved before it.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        wait: time::Duration,
        interval: time::Duration,
    ) -> time::Duration {
        let at = self.next.max(now.after(wait.max(interval)));
        let latest = now.after(MAX_RETURN_DELAY);
        if at >= latest {
            self.next = now.after(wait.max(interval));
            return MAX_RETURN_DELAY;
        }
        self.next = at.after(interval);
        at.since(now)
    }
}
