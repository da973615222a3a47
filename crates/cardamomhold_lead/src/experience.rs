//! What an instance's own work shows of a primary that takes connections and fails all that
//! it is given.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_lead::experience;
//!
//! let mut experience = experience::Experience::default();
//! for ms in [0, 300, 600, 900] {
//!     experience.failed(Timestamp::from_millis(ms));
//! }
//! assert!(experience.is_failing(Timestamp::from_millis(900)));
//! experience.succeeded();
//! assert!(!experience.is_failing(Timestamp::from_millis(900)));
//! ```

use std::time;

use cardamomhold_core::time::Timestamp;

/// Failures without a success between them after which a primary counts as failing.
const FAILURES: u32 = 3;

/// Least time from the first of them to the last.
const SPAN: time::Duration = time::Duration::from_millis(700);

/// Age after which the last failure says nothing any more.
const FRESH: time::Duration = time::Duration::from_millis(1_500);

/// Failures of a primary's work since its last success. Work that got no answer in time is
/// not among them, since a primary may be slow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Experience {
    failures: u32,
    first: Timestamp,
    last: Timestamp,
}

impl Experience {
    /// Takes note of work that the primary failed, or broke off.
    pub fn failed(&mut self, now: Timestamp) {
        if self.failures == 0 || now.since(self.last) > FRESH {
            self.failures = 0;
            self.first = now;
        }
        self.failures += 1;
        self.last = now;
    }

    /// Takes note of work that succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Whether all recent work failed.
    pub fn is_failing(&self, now: Timestamp) -> bool {
        let is_fresh = now.since(self.last) <= FRESH;
        self.failures >= FAILURES && self.last.since(self.first) >= SPAN && is_fresh
    }
}
