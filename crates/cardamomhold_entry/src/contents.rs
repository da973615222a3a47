//! A copy of the objects of one kind in the store, and what another instance's copy lacks.
//!
//! Load pattern: a change costs the store one call of each instance that watches, so that few
//! instances watch and the others get the changed objects from them.

use std::collections;

use crate::store;

mod fetch;
mod update;

pub use fetch::Fetch;
pub use fetch::Page;
pub use fetch::Request;
pub use fetch::Step;
pub use update::Update;

/// A kind of objects of which every instance has a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// The members' entries.
    Members,
    /// The instances' entries.
    Instances,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Config, Self::Members, Self::Instances];
}

/// A datagram about the copies.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Asks for what the sender's copy lacks.
    Request(Request),
    /// Answers [`Message::Request`] with a part of it.
    Page(Page),
    /// Answers [`Message::Request`]: the objects can't be passed on.
    Unavailable(Kind),
}

impl Message {
    /// The kind of objects.
    pub fn objects(&self) -> Kind {
        match self {
            Self::Request(request) => request.kind,
            Self::Page(page) => page.kind,
            Self::Unavailable(kind) => *kind,
        }
    }

    /// Name of the kind of message in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Request(_) => "contents_request",
            Self::Page(_) => "contents_page",
            Self::Unavailable(_) => "contents_unavailable",
        }
    }
}

/// The objects of a kind, by name.
pub type Documents = collections::BTreeMap<String, store::Document>;

/// Removals that a copy remembers; an instance that lacks older ones gets all objects.
const MAX_REMOVALS: usize = 256;

/// A copy of the objects of one kind.
#[derive(Debug, Default)]
pub struct Replica {
    documents: Documents,
    /// All changes up to this revision of the store are known; none without a copy.
    revision: Option<u64>,
    /// Revision by which the last change of this kind was known.
    head: u64,
    /// Removed objects, each with a revision by which it had been removed.
    removals: collections::VecDeque<(u64, String)>,
    /// All removals after this revision are in `removals`.
    removals_after: u64,
    /// The last encoded update, with the revisions that it leads from and to.
    encoded: Option<(Option<u64>, u64, Vec<u8>)>,
}

impl Replica {
    /// The objects.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// All changes up to this revision of the store are known; none without a copy.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Revision by which the last change of this kind was known.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Replaces the copy by a listing of the store, which is the latest.
    pub fn list(&mut self, listing: store::Listing) {
        let documents = listing.documents.into_iter();
        self.documents = documents.map(|d| (d.name.clone(), d)).collect();
        let newest = self.documents.values().map(|d| d.revision).max();
        // What was removed before the listing isn't known one by one.
        self.head = match self.head <= listing.revision {
            true => self.head.max(newest.unwrap_or(0)),
            false => newest.unwrap_or(0),
        };
        self.forget_removals(listing.revision);
        self.revision = Some(listing.revision);
    }

    /// Applies the changes of a watch that leads to the revision `next`. A cached answer may be
    /// older than the copy.
    pub fn apply(&mut self, changes: Vec<store::Change>, next: u64) {
        let is_older = self.revision.is_some_and(|r| next < r);
        if !changes.is_empty() {
            self.head = self.head.max(next);
        }
        for change in changes {
            match change {
                store::Change::Put(document) => self.put(document),
                store::Change::Removed(_) if is_older => {}
                store::Change::Removed(name) => self.remove(next, name),
            }
        }
        self.revision = self.revision.max(Some(next));
    }

    /// What a copy of the revision `after` lacks, encoded; of all objects without one. None if this
    /// copy isn't newer.
    pub fn encode_after(&mut self, after: Option<u64>) -> Option<(u64, &[u8])> {
        let revision = self.revision.filter(|r| Some(*r) > after)?;
        let is_encoded = matches!(&self.encoded, Some((a, r, _)) if (*a, *r) == (after, revision));
        if !is_encoded {
            let bytes = self.update_after(after, revision).encode()?;
            self.encoded = Some((after, revision, bytes));
        }
        let (_, _, bytes) = self.encoded.as_ref()?;
        Some((revision, bytes))
    }

    fn update_after(&self, after: Option<u64>, revision: u64) -> Update {
        let known = after.filter(|a| *a >= self.removals_after);
        let changed = self.documents.values();
        let changed = changed.filter(|d| known.is_none_or(|k| d.revision > k));
        let removed = self.removals.iter().filter(|(at, name)| {
            known.is_some_and(|k| *at > k) && !self.documents.contains_key(name)
        });
        Update {
            revision,
            head: self.head,
            is_full: known.is_none(),
            changed: changed.map(update::Object::new).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Applies another instance's update; returns whether it was newer than this copy.
    pub fn update(&mut self, update: Update) -> bool {
        if self.revision >= Some(update.revision) || (!update.is_full && self.revision.is_none()) {
            return false;
        }
        if update.is_full {
            self.documents.retain(|_, d| d.revision > update.revision);
            self.forget_removals(update.revision);
        }
        for (at, name) in update.removed {
            if self.documents.get(&name).is_none_or(|d| d.revision <= at) {
                self.remove(at, name);
            }
        }
        for object in update.changed {
            self.put(object.into_document());
        }
        self.head = self.head.max(update.head);
        self.revision = Some(update.revision);
        true
    }

    /// Stores an object unless a newer one of its name is known.
    fn put(&mut self, document: store::Document) {
        let known = self.documents.get(&document.name);
        if known.is_none_or(|k| k.revision <= document.revision) {
            self.documents.insert(document.name.clone(), document);
        }
    }

    fn remove(&mut self, at: u64, name: String) {
        self.documents.remove(&name);
        self.removals.push_back((at, name));
        if self.removals.len() > MAX_REMOVALS
            && let Some((at, _)) = self.removals.pop_front()
        {
            self.removals_after = self.removals_after.max(at);
        }
    }

    fn forget_removals(&mut self, revision: u64) {
        self.removals.clear();
        self.removals_after = revision;
    }
}
