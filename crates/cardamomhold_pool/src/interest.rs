//! The groups whose samples an instance uses. It names them in its requests, so that the answers
//! have only those.
//!
//! Load pattern: a reader answers 64 instances four times a second. With the samples of all groups
//! in each answer, its bytes grow with the product of instances and groups, although the clients of
//! one instance read from few groups.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_pool::interest::Interest;
//!
//! let group = GroupName::parse("bookings").unwrap();
//! let mut interest = Interest::default();
//! assert!(!interest.wanted(Timestamp(1), false).includes("bookings"));
//! interest.record_use(Timestamp(2), &group);
//! assert!(interest.wanted(Timestamp(3), false).includes("bookings"));
//! assert!(interest.wanted(Timestamp(4), true).includes("rosters"));
//! ```

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use xxhash_rust::xxh3;

/// Time after the last read from a group for which its samples are wanted. The first read after it
/// goes to the primary, as the instance has no sample.
pub const USE_TIME: time::Duration = time::Duration::from_secs(30);

/// Part of the hash of a group's name. Two groups with the same one cost some samples too many.
type Tag = u16;

fn tag(group: &str) -> Tag {
    xxh3::xxh3_64(group.as_bytes()) as Tag
}

/// Groups whose samples the sender of a request wants.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Wanted {
    /// All groups, as the sender passes them on.
    All {
        /// Whether former requests may have been for fewer groups.
        is_new: bool,
    },
    /// Some groups.
    Groups {
        /// Tags of those that a former, answered request has named.
        known: Vec<Tag>,
        /// Tags of the others.
        added: Vec<Tag>,
    },
}

impl Default for Wanted {
    fn default() -> Self {
        Self::All { is_new: false }
    }
}

impl Wanted {
    /// Whether the samples of a group are wanted.
    pub fn includes(&self, group: &str) -> bool {
        self.known_version(group, 0).is_some()
    }

    /// The change up to which the sender has the samples of a group, if it has received the answer
    /// at change `version`; none if it doesn't want them.
    pub fn known_version(&self, group: &str, version: u64) -> Option<u64> {
        match self {
            Self::All { is_new: true } => Some(0),
            Self::All { is_new: false } => Some(version),
            Self::Groups { known, added } => {
                let tag = tag(group);
                match added.contains(&tag) {
                    true => Some(0),
                    false => known.contains(&tag).then_some(version),
                }
            }
        }
    }
}

/// When a group was first and last used.
#[derive(Debug, Clone, Copy)]
struct Use {
    since: Timestamp,
    last: Timestamp,
}

/// The groups that this instance uses.
#[derive(Debug, Default)]
pub struct Interest {
    used: collections::BTreeMap<name::GroupName, Use>,
    /// Since when this instance passes samples on; none when it doesn't.
    relaying: Option<Timestamp>,
    /// When the newest answered request was sent.
    answered: Option<Timestamp>,
}

impl Interest {
    /// Records a read from a group.
    pub fn record_use(&mut self, now: Timestamp, group: &name::GroupName) {
        let used = Use {
            since: now,
            last: now,
        };
        self.used.entry(group.clone()).or_insert(used).last = now;
    }

    /// Records the answer to the request that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Timestamp) {
        self.answered = self.answered.max(Some(sent));
    }

    /// What a request that is sent now names; `is_relaying` means that this instance passes samples
    /// on to others.
    pub fn wanted(&mut self, now: Timestamp, is_relaying: bool) -> Wanted {
        self.used.retain(|_, u| now < u.last.after(USE_TIME));
        let is_new = |since: Timestamp| self.answered.is_none_or(|at| since >= at);
        if is_relaying {
            let since = *self.relaying.get_or_insert(now);
            return Wanted::All {
                is_new: is_new(since),
            };
        }
        self.relaying = None;
        let (mut known, mut added) = (Vec::new(), Vec::new());
        for (group, used) in &self.used {
            match is_new(used.since) {
                true => added.push(tag(group.as_str())),
                false => known.push(tag(group.as_str())),
            }
        }
        Wanted::Groups { known, added }
    }
}
