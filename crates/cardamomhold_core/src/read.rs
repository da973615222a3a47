//! Kinds of read and the staleness each accepts.

use std::time;

use crate::name;

/// A declared kind of read.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadKind {
    /// Name that callers give in `cardamomhold.read_kind`.
    pub name: name::KindName,
    /// Greatest accepted age of the data, in milliseconds.
    pub staleness_ms: u64,
}

impl ReadKind {
    /// Greatest accepted age of the data.
    pub fn staleness(&self) -> time::Duration {
        time::Duration::from_millis(self.staleness_ms)
    }
}
