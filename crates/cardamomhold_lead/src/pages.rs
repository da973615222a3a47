//! Pages of leaderships: an instance that lacks some gets only those, a few in each message.
//!
//! Each instance numbers the changes of its own copy. A request names the number up to which the
//! sender has received the other instance's copy, its [`Mark`]; the answer has the records that
//! changed after it. Without a mark the answer has the newest records, since those are the ones
//! that are most probably lacking. Whether the copy is complete shows by pages without a gap, or by
//! equal digests.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_lead::pages::Marks;
//! use cardamomhold_lead::record::{Leadership, Leaderships};
//!
//! let source = InstanceName::parse("entry-1").unwrap();
//! let group = GroupName::parse("bookings").unwrap();
//! let primary = MemberName::parse("db-1").unwrap();
//! let mut theirs = Leaderships::default();
//! theirs.update(&Leadership::first(&group, &primary, Term(1)));
//! let (mut own, mut marks) = (Leaderships::default(), Marks::default());
//! let page = theirs.page(7, marks.get(&source));
//! assert!(marks.store(&source, &page, &mut own, |_| {}));
//! assert!(theirs.page(7, marks.get(&source)).records.is_empty());
//! ```

use std::collections;

use cardamomhold_core::name;

use crate::record;

/// Largest size of the records of a page, in bytes as estimated by [`size`]. A datagram with them
/// stays far below the 1,232 bytes that pass every network undivided.
pub const MAX_PAGE_LEN: usize = 400;

/// Bytes of a record beyond those of its names, at most: numbers, lengths and markers.
const RECORD_OVERHEAD: usize = 20;

/// Place in the sequence of changes of one instance's copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// Identifies the run of that instance, as the next run numbers its changes anew.
    pub run_id: u32,
    /// Number of the change.
    pub version: u64,
}

/// Some of the records of an instance's copy.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// All changes after this one, up to `to`, are in the page.
    pub after: u64,
    /// The last change that the page covers.
    pub to: Mark,
    /// Whether it is the last change of the copy.
    pub is_last: bool,
    /// Digest of the whole copy.
    pub digest: u64,
    /// The records.
    pub records: Vec<record::Leadership>,
}

impl Page {
    /// The page for a copy that has the same digest: it lacks nothing.
    pub fn same(run_id: u32, version: u64, digest: u64) -> Self {
        Self {
            after: version,
            to: Mark { run_id, version },
            is_last: true,
            digest,
            records: Vec::new(),
        }
    }
}

/// Estimated size of a record in a message, in bytes; never too small.
pub fn size(record: &record::Leadership) -> usize {
    let members = [&record.primary, &record.former, &record.candidate];
    let members: usize = members
        .into_iter()
        .flatten()
        .map(|m| m.as_str().len())
        .sum();
    RECORD_OVERHEAD + record.group.as_str().len() + members
}

/// How much of each other instance's copy this one has received.
#[derive(Debug, Default)]
pub struct Marks {
    marks: collections::BTreeMap<name::InstanceName, Mark>,
}

impl Marks {
    /// The mark to send to an instance with the next request.
    pub fn get(&self, source: &name::InstanceName) -> Option<Mark> {
        self.marks.get(source).copied()
    }

    /// Forgets the instances that `is_kept` rejects.
    pub fn retain(&mut self, is_kept: impl Fn(&name::InstanceName) -> bool) {
        self.marks.retain(|name, _| is_kept(name));
    }

    /// Stores the records of a page from `source` in the own copy; calls `on_update` with each that
    /// is newer. Returns whether the own copy now has everything that the source had when it sent
    /// the page.
    pub fn store(
        &mut self,
        source: &name::InstanceName,
        page: &Page,
        own: &mut record::Leaderships,
        mut on_update: impl FnMut(&record::Leadership),
    ) -> bool {
        for record in &page.records {
            if own.update(record) {
                on_update(record);
            }
        }
        let start = Mark {
            run_id: page.to.run_id,
            version: 0,
        };
        let known = self.marks.get(source).copied();
        let known = known.filter(|m| m.run_id == start.run_id).unwrap_or(start);
        let is_same = own.digest() == page.digest;
        let has_gap = page.after > known.version && !is_same;
        let version = match has_gap {
            true => known.version,
            false => known.version.max(page.to.version),
        };
        let mark = Mark { version, ..start };
        self.marks.insert(source.clone(), mark);
        is_same || (page.is_last && !has_gap)
    }
}
