//! Leadership records as stored, and an instance's copy of the records of all groups.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use xxhash_rust::xxh3;

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

/// An instance's copy of the newest leadership records.
#[derive(Debug, Clone, Default)]
pub struct Leaderships {
    /// Wrapping sum of the digests of all records.
    digest: u64,
    records: collections::BTreeMap<name::GroupName, Leadership>,
}

impl Leaderships {
    /// Stores a record if it is newer than the group's current one; returns whether it was.
    pub fn update(&mut self, record: &Leadership) -> bool {
        let current = self.records.get(record.group.as_str());
        if current.is_some_and(|c| c.change >= record.change) {
            return false;
        }
        if let Some(replaced) = self.records.insert(record.group.clone(), record.clone()) {
            self.digest = self.digest.wrapping_sub(digest_of(&replaced));
        }
        self.digest = self.digest.wrapping_add(digest_of(record));
        true
    }

    /// Digest of all records: instances with the same digest have the same changes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the record of a group.
    pub fn get(&self, group: &str) -> Option<&Leadership> {
        self.records.get(group)
    }

    /// Iterates over all records, ordered by group.
    pub fn iter(&self) -> impl Iterator<Item = &Leadership> {
        self.records.values()
    }
}

fn digest_of(record: &Leadership) -> u64 {
    xxh3::xxh3_64_with_seed(record.group.as_str().as_bytes(), record.change)
}
