//! Leaderships as the store keeps them, and what an instance knows of all of them.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use xxhash_rust::xxh3;

/// Who is a group's primary.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leadership {
    /// The group.
    pub group: name::GroupName,
    /// Number of this record; each change raises it by one.
    pub change: u64,
    /// The primary; none while another member takes over.
    pub primary: Option<name::MemberName>,
    /// The primary before the change that is under way.
    pub former: Option<name::MemberName>,
    /// The member that is being promoted; written before it is, so that only this one can
    /// turn out to be the primary.
    #[serde(default)]
    pub candidate: Option<name::MemberName>,
    /// The newest term that is known to have begun.
    pub term: position::Term,
}

impl Leadership {
    /// The first record of a group.
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

    /// The record that ends the present leadership.
    pub fn ended(&self) -> Self {
        Self {
            change: self.change + 1,
            primary: None,
            former: self.primary.clone().or_else(|| self.former.clone()),
            candidate: None,
            ..self.clone()
        }
    }

    /// The record that names the member to promote, when `seen` is the newest term that a
    /// member has told of.
    pub fn choosing(&self, candidate: &name::MemberName, seen: position::Term) -> Self {
        Self {
            change: self.change + 1,
            candidate: Some(candidate.clone()),
            term: match self.candidate {
                // The promotion of the one before may have begun a term of its own.
                Some(_) => self.term.next().max(seen),
                None => self.term,
            },
            ..self.clone()
        }
    }

    /// The record that names a new primary.
    pub fn taken(&self, primary: &name::MemberName, term: position::Term) -> Self {
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

/// The newest leaderships that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Leaderships {
    /// Sum of the digests of all records.
    digest: u64,
    records: collections::BTreeMap<name::GroupName, Leadership>,
}

impl Leaderships {
    /// Takes a record; true when it is newer than what was known.
    pub fn learn(&mut self, record: &Leadership) -> bool {
        let known = self.records.get(record.group.as_str());
        if known.is_some_and(|k| k.change >= record.change) {
            return false;
        }
        if let Some(known) = self.records.insert(record.group.clone(), record.clone()) {
            self.digest = self.digest.wrapping_sub(digest_of(&known));
        }
        self.digest = self.digest.wrapping_add(digest_of(record));
        true
    }

    /// A number that tells this knowledge from any other: instances with the same one know
    /// the same changes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The record of a group.
    pub fn get(&self, group: &str) -> Option<&Leadership> {
        self.records.get(group)
    }

    /// All records, by group.
    pub fn iter(&self) -> impl Iterator<Item = &Leadership> {
        self.records.values()
    }
}

fn digest_of(record: &Leadership) -> u64 {
    xxh3::xxh3_64_with_seed(record.group.as_str().as_bytes(), record.change)
}
