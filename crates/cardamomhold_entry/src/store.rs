//! The edge to the store: objects by kind and name, conditional updates, watches.

use std::fmt;
use std::time;

/// Kind of the objects that hold leaderships and the duty to promote.
pub const CONTROL: &str = "cardamomhold-control";

/// Kind of the objects by which instances find each other.
pub const INSTANCES: &str = "cardamomhold-instances";

/// An object.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Its name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub content: serde_json::Value,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Listing {
    /// The objects.
    pub documents: Vec<Document>,
    /// The store's revision at the time.
    pub revision: u64,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// It was written.
    Put(Document),
    /// It was removed.
    Removed(String),
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    New,
    /// The object's last change has this revision.
    Revision(u64),
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// It took effect.
    Done(Document),
    /// Its condition did not hold.
    Conflict,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The connection failed, or the answer was lost; a write may have taken effect.
    Lost(String),
    /// The store refuses this instance now; nothing was done.
    Refused(u16),
    /// The history that a watch asked for is gone.
    Compacted,
    /// The answer can't be read.
    Garbled(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(problem) => write!(f, "no answer: {problem}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Compacted => f.write_str("history is gone"),
            Self::Garbled(problem) => write!(f, "unreadable answer: {problem}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The store.
pub trait Store: Clone + 'static {
    /// All objects of a kind, as of now.
    ///
    /// # Errors
    /// [`StoreError`].
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Changes of a kind after a revision, as soon as there are some; returns the revision
    /// to go on from.
    ///
    /// # Errors
    /// [`StoreError`].
    fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: time::Duration,
    ) -> impl Future<Output = Result<(Vec<Change>, u64), StoreError>>;

    /// Writes an object under a condition.
    ///
    /// # Errors
    /// [`StoreError`].
    fn write(
        &self,
        kind: &str,
        name: &str,
        content: &serde_json::Value,
        condition: Condition,
    ) -> impl Future<Output = Result<Written, StoreError>>;
}
