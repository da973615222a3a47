//! Errors of a handover.

use std::fmt;

use crate::store;

/// Why a handover ended without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverError {
    /// A call of the store failed.
    Store(store::StoreError),
    /// Another instance acquired the promotion lock or changed the leadership.
    Superseded,
    /// The store has no voters yet.
    NoVoters,
    /// No member can take over now.
    NoCandidate,
    /// The members that answer may hold commits that an earlier change of primary has abandoned.
    Ineligible,
    /// No member that answers is known to have each acknowledged commit.
    MissingCommits,
    /// The promotion was not confirmed.
    Unconfirmed,
    /// The handover or one of its steps took too long.
    TimedOut,
}

impl fmt::Display for HandoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "store: {error}"),
            Self::Superseded => f.write_str("superseded by another instance"),
            Self::NoVoters => f.write_str("no voters are stored yet"),
            Self::NoCandidate => f.write_str("no member can take over"),
            Self::Ineligible => f.write_str("no member without abandoned commits answers"),
            Self::MissingCommits => {
                f.write_str("no member that answers is known to have each acknowledged commit")
            }
            Self::Unconfirmed => f.write_str("the promotion was not confirmed"),
            Self::TimedOut => f.write_str("timed out"),
        }
    }
}

impl std::error::Error for HandoverError {}

impl From<store::StoreError> for HandoverError {
    fn from(error: store::StoreError) -> Self {
        Self::Store(error)
    }
}
