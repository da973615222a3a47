//! The edge to the platform, which promotes members.

use std::fmt;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;

/// Why a promotion was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromoteError {
    /// No answer; the promotion may have taken effect.
    Lost(String),
    /// Refused for now with this status; nothing was done.
    Refused(u16),
    /// Rejected with this status: the member isn't running, or the call was invalid.
    Rejected(u16),
    /// Not sent, since its deadline had passed.
    Expired,
}

impl fmt::Display for PromoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(problem) => write!(f, "no answer: {problem}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
            Self::Expired => f.write_str("not sent in time"),
        }
    }
}

impl std::error::Error for PromoteError {}

/// Promotes members.
pub trait Promoter: Clone + 'static {
    /// Makes `member` the group's primary; the token of the lock is sent along for fencing.
    ///
    /// The call must not be sent at `until` or later: the clock is read immediately before the
    /// bytes leave. It must not be delivered later than
    /// [`promotion_lock::DELIVERY_TIMEOUT`] after that either.
    ///
    /// # Errors
    /// [`PromoteError`].
    fn promote(
        &self,
        group: &name::GroupName,
        member: &name::MemberName,
        lock: &promotion_lock::PromotionLock,
        until: Timestamp,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
