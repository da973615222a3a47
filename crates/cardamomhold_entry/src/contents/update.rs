//! The encoding of the objects that another instance's copy lacks.

use serde_json::Value;

use crate::store;

/// Longest encoded update that is passed on; an instance that lacks more lists the store.
pub(super) const MAX_UPDATE_LEN: usize = 1 << 20;

/// What a copy of the objects of one kind lacks.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Revision of the copy afterwards.
    pub revision: u64,
    /// Revision by which the last change of this kind was known.
    pub head: u64,
    /// Whether `changed` has all objects, rather than those that changed.
    pub is_full: bool,
    pub(super) changed: Vec<Object>,
    /// Removed objects, each with a revision by which it had been removed.
    pub(super) removed: Vec<(u64, String)>,
}

/// An object with its content as JSON text.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Object {
    name: String,
    revision: u64,
    content: String,
}

impl Object {
    pub(super) fn new(document: &store::Document) -> Self {
        Self {
            name: document.name.clone(),
            revision: document.revision,
            content: document.content.to_string(),
        }
    }

    /// The object; one whose content can't be decoded has an empty one, as in a listing.
    pub(super) fn into_document(self) -> store::Document {
        store::Document {
            content: serde_json::from_str(&self.content).unwrap_or(Value::Null),
            name: self.name,
            revision: self.revision,
        }
    }
}

impl Update {
    /// Encodes an update; none if it is too long to be passed on.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let encoded = postcard::to_stdvec(self).ok();
        encoded.filter(|bytes| bytes.len() <= MAX_UPDATE_LEN)
    }

    /// Decodes an update.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
