//! Detection of a primary that accepts connections but fails every request, from the results
//! of an instance's own requests.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_lead::failure_detector;
//!
//! let mut detector = failure_detector::Detector::default();
//! for ms in [0, 300, 600, 900] {
//!     detector.record_failure(Timestamp::from_millis(ms));
//! }
//! assert!(detector.is_failing(Timestamp::from_millis(900)));
//! detector.record_success();
//! assert!(!detector.is_failing(Timestamp::from_millis(900)));
//! ```

use std::time;

use cardamomhold_core::time::Timestamp;

/// Number of consecutive failures from which a primary counts as failing.
const MIN_FAILURES: u32 = 3;

/// Minimum time from the first to the last of these failures.
const MIN_FAILURE_SPAN: time::Duration = time::Duration::from_millis(700);

/// Age above which the last failure no longer counts.
const MAX_FAILURE_AGE: time::Duration = time::Duration::from_millis(1_500);

/// Failed requests of a primary since the last successful one. Requests without an answer in
/// time are not included, because the primary may be slow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    failures: u32,
    first: Timestamp,
    last: Timestamp,
}

impl Detector {
    /// Records a request that failed at the primary or was aborted.
    pub fn record_failure(&mut self, now: Timestamp) {
        if self.failures == 0 || now.since(self.last) > MAX_FAILURE_AGE {
            self.failures = 0;
            self.first = now;
        }
        self.failures += 1;
        self.last = now;
    }

    /// Records a request that succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether the primary counts as failing: enough consecutive requests failed over a long
    /// enough time, the last of them recently.
    pub fn is_failing(&self, now: Timestamp) -> bool {
        let is_recent = now.since(self.last) <= MAX_FAILURE_AGE;
        self.failures >= MIN_FAILURES
            && self.last.since(self.first) >= MIN_FAILURE_SPAN
            && is_recent
    }
}
