//! The edge to the store: objects by kind and name, with conditional writes and watches.

use std::fmt;
use std::time;

/// Kind of the control objects: the leaderships and the promotion lock.
pub const CONTROL_KIND: &str = "cardamomhold-control";

/// Kind of the instances' entries, by which they find each other.
pub const INSTANCES_KIND: &str = "cardamomhold-instances";

/// An object.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Its name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its content.
    pub content: serde_json::Value,
}

/// How recent the answer to a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It holds every change that was acknowledged before the read.
    Latest,
    /// It may be seconds old, which costs the store less.
    Cached,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Listing {
    /// The objects.
    pub documents: Vec<Document>,
    /// The store's revision at the time of the listing.
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

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// It took effect; the written object.
    Done(Document),
    /// Its condition did not hold.
    Conflict,
}

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The connection failed, or the answer was lost; a write may have taken effect.
    Lost(String),
    /// The store refuses this instance now with this status; nothing was done.
    Refused(u16),
    /// The store no longer has the history from the revision of the watch.
    Compacted,
    /// The answer can't be decoded.
    Garbled(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(problem) => write!(f, "no answer: {problem}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Compacted => f.write_str("history was compacted"),
            Self::Garbled(problem) => write!(f, "unreadable answer: {problem}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A store of versioned objects.
pub trait Store: Clone + 'static {
    /// Lists all objects of a kind. An object whose content can't be decoded is listed with an
    /// empty one.
    ///
    /// # Errors
    /// [`StoreError`].
    fn list(
        &self,
        kind: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes of a kind after a revision; returns the changes and the
    /// revision for the next call.
    ///
    /// # Errors
    /// [`StoreError`].
    fn watch(
        &self,
        kind: &str,
        freshness: Freshness,
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
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>>;
}
