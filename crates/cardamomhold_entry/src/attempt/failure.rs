//! What a caller is told when a statement has no result.

use std::fmt;
use std::time;

use cardamomhold_pool::pool;

use crate::answer;
use crate::group;

/// When a caller should try again after a fault that passes quickly.
pub(super) const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// When a caller should try again while another member is made the primary.
const FAILOVER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Why a statement has no result to return: it was not run, or is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Error code for the caller.
    pub code: answer::Code,
    /// Description for people.
    pub cause: &'static str,
    /// When the caller should try again, if that helps.
    pub retry_after: Option<time::Duration>,
    /// Whether no other member can help: the workspace is over its limit.
    pub is_limited: bool,
    /// Whether another member is expected to be faster.
    pub is_long_wait: bool,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.cause)?;
        match self.retry_after {
            Some(after) => write!(f, ", try again in {} ms", after.as_millis()),
            None => Ok(()),
        }
    }
}

pub(super) fn failed(code: answer::Code, cause: &'static str) -> Failure {
    Failure {
        code,
        cause,
        retry_after: None,
        is_limited: false,
        is_long_wait: false,
    }
}

pub(super) fn busy(cause: &'static str, retry_after: time::Duration) -> Failure {
    Failure {
        code: answer::Code::Busy,
        cause,
        retry_after: Some(retry_after),
        is_limited: false,
        is_long_wait: false,
    }
}

/// The member's owner expects a longer wait than at another member.
pub(super) fn long_wait() -> Failure {
    Failure {
        is_long_wait: true,
        ..busy("another member is expected to be faster", RETRY_DELAY)
    }
}

pub(super) fn overloaded(retry_after: time::Duration) -> Failure {
    busy("too much to do", retry_after)
}

/// The owner's configuration is newer and doesn't have the caller's workspace. This instance's own
/// one decides about the caller as soon as it is here.
pub(super) fn outdated() -> Failure {
    busy("the configuration is changing", FAILOVER_RETRY_DELAY)
}

pub(super) fn limited(retry_after: time::Duration) -> Failure {
    Failure {
        is_limited: true,
        ..busy("the workspace is over its limit", retry_after)
    }
}

pub(super) fn refusal(refusal: group::Refusal) -> Failure {
    match refusal {
        group::Refusal::Overloaded(after) => overloaded(after),
        group::Refusal::Pool(pool::Reason::NoPrimary) => {
            busy("no primary now", FAILOVER_RETRY_DELAY)
        }
        group::Refusal::Pool(pool::Reason::NoConnection) => {
            busy("no free connection in time", RETRY_DELAY)
        }
        group::Refusal::Pool(pool::Reason::Unreachable) => {
            busy("no member can be reached", FAILOVER_RETRY_DELAY)
        }
    }
}
