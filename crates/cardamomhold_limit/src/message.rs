//! Messages between instances.

use crate::allocator;
use crate::tenure;

/// A message about limits.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// A candidate or the holder asks a voter for its confirmation.
    Confirm(tenure::Request),
    /// A voter's answer to it.
    Confirmed(tenure::Reply),
    /// The sender holds no tenure and gives back the confirmations that it has.
    Withdraw(tenure::Withdrawal),
    /// A candidate asks a voter that precedes it whether it is there.
    Probe,
    /// Answers a probe.
    Present {
        /// Whether the sender would hold the tenure.
        is_candidate: bool,
    },
    /// An instance asks the holder for tokens.
    Tokens(allocator::Request),
    /// Answers a request for tokens.
    Granted(allocator::Answer),
}

impl Message {
    /// Name of the kind in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Confirm(_) => "limit_confirm",
            Self::Confirmed(_) => "limit_confirmed",
            Self::Withdraw(_) => "limit_withdraw",
            Self::Probe => "limit_probe",
            Self::Present { .. } => "limit_present",
            Self::Tokens(_) => "limit_tokens",
            Self::Granted(_) => "limit_granted",
        }
    }
}
