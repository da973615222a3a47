//! Waits for a member's answer, as long as it can come.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::attempt::Context;
use crate::checkout;
use crate::clock;
use crate::group;
use crate::link;

/// Time without an answer after which the member is reported as unresponsive, so that it is
/// probed.
const UNRESPONSIVE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unanswered {
    /// The deadline has passed.
    Late,
    /// The owner of the connection doesn't answer pings either.
    OwnerSilent,
}

/// What an answer is awaited from.
pub(super) struct Awaited<'a> {
    pub(super) group: &'a name::GroupName,
    pub(super) member: &'a name::MemberName,
    pub(super) deadline: Timestamp,
    /// Ends the wait when the owner is silent; none where the answer matters in any case.
    pub(super) owner: Option<checkout::OwnerWatch>,
}

/// Waits for an answer until the deadline; reports the member once if it takes long.
pub(super) async fn answer<L: link::Link, T>(
    context: &Context<L>,
    awaited: Awaited<'_>,
    calling: impl Future<Output = T>,
) -> Result<T, Unanswered> {
    tokio::pin!(calling);
    if let Ok(done) = tokio::time::timeout(UNRESPONSIVE_TIMEOUT, &mut calling).await {
        return Ok(done);
    }
    if let Some(handle) = context.groups.borrow().get(awaited.group.as_str()) {
        let unresponsive = group::Message::Unresponsive(awaited.member.clone());
        // The receiver is gone when the group's task has ended.
        let _ = handle.send(unresponsive);
    }
    let silent = async {
        match awaited.owner {
            Some(owner) => owner.silent().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        done = &mut calling => Ok(done),
        () = silent => Err(Unanswered::OwnerSilent),
        () = tokio::time::sleep_until(clock::instant(awaited.deadline)) => Err(Unanswered::Late),
    }
}
