//! Leadership records as stored, and an instance's copy of the records of all groups.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use xxhash_rust::xxh3;

use crate::pages;

/// Record of a group's primary.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leadership {
    /// Name of the group.
    pub group: name::GroupName,
    /// Number of this record; each change increments it.
    pub change: u64,
    /// The primary; none while a change of the primary is in progress.
    pub primary: Option<name::MemberName>,
    /// The primary before the change in progress.
    pub former: Option<name::MemberName>,
    /// The member being promoted; written before the promotion, so that only this member can
    /// turn out to be the new primary.
    #[serde(default)]
    pub candidate: Option<name::MemberName>,
    /// Newest term known to have begun: the primary's, or a later one that a member reported when
    /// the candidate was chosen. The candidate's promotion begins a later one; whether those of
    /// replaced candidates have begun terms is not known.
    pub term: position::Term,
}

impl Leadership {
    /// Returns the first record of a group.
    pub fn first(
        group: &name::GroupName,
        primary: &name::MemberName,
        term: position::Term,
    ) -> Self {
        Self {
            group: group.clone(),
            change: 1,
            primary: Some(primary.clone()),
            former: None,
            candidate: None,
            term,
        }
    }

    /// Returns the record that ends the current leadership.
    pub fn ended(&self) -> Self {
        Self {
            change: self.change + 1,
            primary: None,
            former: self.primary.clone().or_else(|| self.former.clone()),
            candidate: None,
            ..self.clone()
        }
    }

    /// Returns the record with the member to promote; `reported` is the newest term that any
    /// member has reported, the candidate among them. A promotion that was refused or lost has
    /// begun no term, so that only reported ones count: whatever a replaced candidate may lead
    /// unseen, the next promotion begins a term after it.
    pub fn with_candidate(&self, candidate: &name::MemberName, reported: position::Term) -> Self {
        Self {
            change: self.change + 1,
            candidate: Some(candidate.clone()),
            term: self.term.max(reported),
            ..self.clone()
        }
    }

    /// Returns the record with the new primary.
    pub fn with_primary(&self, primary: &name::MemberName, term: position::Term) -> Self {
        Self {
            change: self.change + 1,
            primary: Some(primary.clone()),
            former: None,
            candidate: None,
            term,
            group: self.group.clone(),
        }
    }
}

/// A record with the number of the change that stored it.
#[derive(Debug, Clone)]
struct Stored {
    record: Leadership,
    version: u64,
}

/// An instance's copy of the newest leadership records.
#[derive(Debug, Clone, Default)]
pub struct Leaderships {
    /// Wrapping sum of the digests of all records.
    digest: u64,
    records: collections::BTreeMap<name::GroupName, Stored>,
    /// Number of changes of this copy.
    version: u64,
    /// The groups by the change that stored their records.
    changes: collections::BTreeMap<u64, name::GroupName>,
}

impl Leaderships {
    /// Stores a record if it is newer than the group's current one; returns whether it was.
    pub fn update(&mut self, record: &Leadership) -> bool {
        let current = self.get(record.group.as_str());
        if current.is_some_and(|c| c.change >= record.change) {
            return false;
        }
        self.version += 1;
        let stored = Stored {
            record: record.clone(),
            version: self.version,
        };
        if let Some(replaced) = self.records.insert(record.group.clone(), stored) {
            self.digest = self.digest.wrapping_sub(digest_of(&replaced.record));
            self.changes.remove(&replaced.version);
        }
        self.changes.insert(self.version, record.group.clone());
        self.digest = self.digest.wrapping_add(digest_of(record));
        true
    }

    /// Digest of all records: instances with the same digest have the same changes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of changes of this copy.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the record of a group.
    pub fn get(&self, group: &str) -> Option<&Leadership> {
        self.records.get(group).map(|s| &s.record)
    }

    /// Iterates over all records, ordered by group.
    pub fn iter(&self) -> impl Iterator<Item = &Leadership> {
        self.records.values().map(|s| &s.record)
    }

    /// The page for an instance that has this copy up to `mark`; `run_id` identifies this run.
    pub fn page(&self, run_id: u32, mark: Option<pages::Mark>) -> pages::Page {
        match mark.filter(|m| m.run_id == run_id) {
            Some(mark) => self.page_after(run_id, mark.version),
            None => self.newest_page(run_id),
        }
    }

    /// The oldest changes after `after`.
    fn page_after(&self, run_id: u32, after: u64) -> pages::Page {
        let changes = self.changes.range(after.saturating_add(1)..);
        let (records, last) = self.collect(changes);
        let is_last = self
            .changes
            .last_key_value()
            .is_none_or(|(v, _)| *v <= last.max(after));
        let version = if is_last { self.version } else { last };
        pages::Page {
            after,
            to: pages::Mark { run_id, version },
            is_last,
            digest: self.digest,
            records,
        }
    }

    /// The newest changes.
    fn newest_page(&self, run_id: u32) -> pages::Page {
        let (records, first) = self.collect(self.changes.iter().rev());
        let is_all = records.len() == self.records.len();
        pages::Page {
            after: if is_all { 0 } else { first - 1 },
            to: pages::Mark {
                run_id,
                version: self.version,
            },
            is_last: true,
            digest: self.digest,
            records,
        }
    }

    /// As many records as fit a page, at least one if there is any, and the last one's change.
    fn collect<'a>(
        &self,
        changes: impl Iterator<Item = (&'a u64, &'a name::GroupName)>,
    ) -> (Vec<Leadership>, u64) {
        let mut records = Vec::new();
        let (mut len, mut last) = (0, 0);
        for (version, group) in changes {
            let Some(record) = self.get(group.as_str()) else {
                continue;
            };
            len += pages::size(record);
            if len > pages::MAX_PAGE_LEN && !records.is_empty() {
                break;
            }
            records.push(record.clone());
            last = *version;
        }
        (records, last)
    }
}

fn digest_of(record: &Leadership) -> u64 {
    xxh3::xxh3_64_with_seed(record.group.as_str().as_bytes(), record.change)
}
