//! The tenure: the right to grant tokens, a lease that a majority of the voters confirms.
//!
//! A voter confirms one holder at a time, for a fixed time from its confirmation; the holder counts
//! the same time from its request, so its lease has ended when any of its voters confirms another
//! instance. A majority of one set of voters meets each other majority of it, and those of the sets
//! of two successive generations meet as well; [`voter`] says why sets of generations further apart
//! do no harm.

use cardamomhold_core::name;

pub mod candidate;
mod presence;
pub mod voter;

/// Asks a voter for its confirmation.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The sender's process.
    pub incarnation: u64,
    /// Number of the request.
    pub number: u64,
    /// Generation of the voters that confirmed the sender's present lease; none if it has none.
    pub held: Option<u64>,
}

/// A voter's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// The process that sent the request.
    pub incarnation: u64,
    /// Number of the request.
    pub number: u64,
    /// Generation of the voters that the sender has adopted.
    pub generation: u64,
    /// Whether the voter confirms the request.
    pub is_confirmed: bool,
    /// The instance that the voter confirms at present.
    pub holder: Option<name::InstanceName>,
}

/// Gives back the confirmations of all requests up to a number.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Withdrawal {
    /// The sender's process.
    pub incarnation: u64,
    /// Number of its last request.
    pub number: u64,
}
