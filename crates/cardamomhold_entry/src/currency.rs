//! Whether the configuration that an instance has is current, by its own calls of the store or by
//! another instance's.
//!
//! Load pattern: a watch on a connection that has silently stopped must be noticed within the time
//! in which a configuration comes into force, but a short wait at every instance costs the store a
//! call each time. So only the reader of the fleet, and whoever has no reader that is current,
//! watches with short waits; it tells the others which versions it has.

use std::time;

use cardamomhold_core::time::Timestamp;

use crate::message;

/// Age of the last check above which an instance doesn't vouch for its versions. Longer than the
/// checks of an instance that watches with short waits are apart.
const MAX_CHECK_AGE: time::Duration = time::Duration::from_millis(3_000);

/// Time since a reader last vouched for its versions after which an instance is on its own: some
/// renewals of the lease.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_000);

/// When an instance's configuration was last compared with the store.
#[derive(Debug, Default)]
pub struct Currency {
    /// When the last call was sent that the store has answered.
    checked: Option<Timestamp>,
    /// When a reader last vouched for its versions.
    reported: Option<Timestamp>,
}

impl Currency {
    /// Records that the store has answered a call that was sent at `sent`.
    pub fn record_check(&mut self, sent: Timestamp) {
        self.checked = self.checked.max(Some(sent));
    }

    /// Records the versions that a reader reports.
    pub fn record_report(&mut self, now: Timestamp, seen: message::Seen) {
        if seen != message::Seen::default() {
            self.reported = Some(now);
        }
    }

    /// Whether a reader would tell this instance of newer versions.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        self.reported
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE)
    }

    /// The versions that this instance, asked as a reader, reports: none if it may have missed
    /// newer ones.
    pub fn report(&self, now: Timestamp, seen: message::Seen) -> message::Seen {
        let is_checked = self.checked.is_some_and(|at| now.since(at) < MAX_CHECK_AGE);
        match is_checked || self.is_informed(now) {
            true => seen,
            false => message::Seen::default(),
        }
    }
}
