//! Kinds of read and their accepted staleness.

use std::time;

use crate::name;

/// A declared kind of read.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadKind {
    /// Name that callers give in `cardamomhold.read_kind`.
    pub name: name::KindName,
    /// Maximum accepted age of the data, in milliseconds.
    pub staleness_ms: u64,
}

impl ReadKind {
    /// Maximum accepted age of the data.
    pub fn staleness(&self) -> time::Duration {
        time::Duration::from_millis(self.staleness_ms)
    }
}
