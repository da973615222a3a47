//! The tenure: the right to grant tokens, a lease that a majority of the voters confirms.
//!
//! A voter confirms one holder at a time, for a fixed time from its confirmation; the holder counts
//! the same time from its request, so its lease has ended when any of its voters confirms another
//! instance. A majority of one set of voters meets each other majority of it, and those of the sets
//! of two successive generations meet as well; [`voter`] says why sets of generations further apart
//! do no harm.
//!
//! A holder that stops as planned gives up its lease and its confirmations in favour of a voter that
//! answers. The successor names them in its own requests, so it needn't wait until each voter has
//! heard of it.

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
    /// Generation of the voters that confirmed the sender's present lease, or the one that was
    /// handed over to it; none if there is none.
    pub held: Option<u64>,
    /// The confirmations that another instance has given up in favour of the sender.
    pub former: Option<Former>,
}

/// The confirmations of a holder that has handed over the tenure.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Former {
    /// The holder.
    pub holder: name::InstanceName,
    /// Its process.
    pub incarnation: u64,
    /// Number of its last request.
    pub number: u64,
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
    /// Whether the voter would hold the tenure itself.
    pub is_candidate: bool,
}

/// Gives back the confirmations of all requests up to a number.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Withdrawal {
    /// The sender's process.
    pub incarnation: u64,
    /// Number of its last request.
    pub number: u64,
    /// The instance that the sender hands the tenure over to, if it held it.
    pub successor: Option<Successor>,
}

/// The instance that the tenure is handed over to.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Successor {
    /// Its name.
    pub name: name::InstanceName,
    /// Generation of the voters that confirmed the lease.
    pub generation: u64,
}
