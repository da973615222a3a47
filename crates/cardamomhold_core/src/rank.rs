//! Priority ranks of statements.

use std::fmt;
use std::str;

/// Priority rank of a statement.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Bookings, confirmations and counter postings.
    Urgent,
    /// Ordinary traffic.
    #[default]
    Normal,
    /// Reports and bulk views.
    Bulk,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Index in [`Rank::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name in settings and session parameters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a text that is not the name of a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankError;

impl fmt::Display for RankError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown rank; use urgent, normal or bulk")
    }
}

impl std::error::Error for RankError {}

impl str::FromStr for Rank {
    type Err = RankError;

    fn from_str(text: &str) -> Result<Self, RankError> {
        for rank in Self::ALL {
            if rank.as_str() == text {
                return Ok(rank);
            }
        }
        Err(RankError)
    }
}
