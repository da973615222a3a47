//! The edge to the platform's promotion.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_lead::promotion_lock;

/// Why a promotion was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromoteError {
    /// No answer; it may take effect.
    Lost(String),
    /// Refused for now; nothing was done.
    Refused(u16),
    /// The member is not running, or the call was not in order.
    Rejected(u16),
}

impl fmt::Display for PromoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(problem) => write!(f, "no answer: {problem}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
        }
    }
}

impl std::error::Error for PromoteError {}

/// Promotes members.
pub trait Promoter: Clone + 'static {
    /// Makes `member` the group's primary, under the holder's token.
    ///
    /// # Errors
    /// [`PromoteError`].
    fn promote(
        &self,
        group: &name::GroupName,
        member: &name::MemberName,
        duty: &promotion_lock::PromotionLock,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
