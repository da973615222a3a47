//! Handles attempts whose answer can't be returned to the caller.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::wait_queue;

use crate::answer;
use crate::attempt::BUSY_PAUSE;
use crate::attempt::Context;
use crate::attempt::awaited;
use crate::attempt::failure;
use crate::attempt::failure::Failure;
use crate::call;
use crate::checkout;
use crate::clock;
use crate::limits;
use crate::link;

/// When a caller should try again after a connection broke.
const BROKEN_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Logs an attempt whose answer can't be returned to the caller.
pub(super) fn log_attempt(
    call: &call::Call<'_>,
    attempt: u32,
    member: &name::MemberName,
    failed: Failure,
) {
    log::info!(
        "event=attempt id={} attempt={attempt} member={member} code={} left_ms={} cause=\"{}\"",
        call.id,
        failed.code.as_str(),
        call.deadline.since(clock::now()).as_millis(),
        failed.cause
    );
}

/// Updates the request after a connection could not be prepared; returns the failure to
/// report if no further attempt succeeds.
pub(super) fn handle_failed_prepare<L>(
    checkout: &mut checkout::Checkout<L>,
    request: &mut wait_queue::Request,
    error: &link::LinkError,
) -> Failure {
    if let link::LinkError::Refused(answer::Code::Busy | answer::Code::TooMany) = error {
        checkout.completion = pool::Completion::NoSlot;
        return failure::busy("no slot in time", failure::RETRY_DELAY);
    }
    if let link::LinkError::LongWait = error {
        request.asked.push(checkout.member.clone());
        return failure::long_wait();
    }
    request.avoid.push(checkout.member.clone());
    match error {
        link::LinkError::Overloaded(after) => failure::overloaded(*after),
        link::LinkError::Refused(answer::Code::Unauthorized) => failure::outdated(),
        link::LinkError::Limited(after) => failure::limited(*after),
        link::LinkError::Refused(answer::Code::Behind) => {
            if let Some(after) = checkout.after {
                checkout.completion = pool::Completion::Behind(after);
            }
            failure::failed(answer::Code::Behind, "no replica is fresh enough")
        }
        link::LinkError::LongWait => failure::long_wait(),
        link::LinkError::Refused(_)
        | link::LinkError::Unreachable(_)
        | link::LinkError::Broken(_)
        | link::LinkError::OwnerLost(_)
        | link::LinkError::Garbled => failure::busy("a connection broke", BROKEN_RETRY_DELAY),
    }
}

/// Whether the member may have run a statement.
pub(super) fn may_have_run(
    result: &Result<Result<answer::Answer, link::LinkError>, awaited::Unanswered>,
) -> bool {
    match result {
        Ok(Ok(answer)) => !answer.is_not_run(),
        Ok(called) => link::may_have_run(called),
        Err(_) => true,
    }
}

/// Whether no further attempt can succeed now: the workspace is over its limit everywhere, or the
/// primary's owner has refused, and no other member can stand in for the primary.
pub(super) fn is_final<L>(checkout: &checkout::Checkout<L>, error: &link::LinkError) -> bool {
    match error {
        link::LinkError::Limited(_) => true,
        link::LinkError::LongWait => false,
        _ => checkout.is_primary() && error.is_owner_refusal(),
    }
}

/// Lets this instance refuse further operations of a workspace that an owner has refused.
pub(super) fn record_limited<L>(
    context: &Context<L>,
    call: &call::Call<'_>,
    error: &link::LinkError,
) {
    if let (link::LinkError::Limited(after), Some(grant)) = (error, call.grant) {
        let refused = limits::Command::Refused(grant.workspace.clone(), *after);
        context.limits.send(refused);
    }
}

/// Updates the request after a member refused a statement without running it, and waits where
/// the same member may be tried again.
pub(super) async fn handle_refusal<L>(
    checkout: &mut checkout::Checkout<L>,
    request: &mut wait_queue::Request,
    code: answer::Code,
    after: Option<position::Position>,
) {
    match (code, after) {
        (answer::Code::Behind, Some(after)) => {
            checkout.completion = pool::Completion::Behind(after);
            request.avoid.push(checkout.member.clone());
        }
        (answer::Code::Busy, _) => {
            checkout.completion = pool::Completion::NoSlot;
            tokio::time::sleep(BUSY_PAUSE).await;
        }
        _ => {
            checkout.close(pool::Completion::Unused);
            tokio::time::sleep(BUSY_PAUSE).await;
        }
    }
}
