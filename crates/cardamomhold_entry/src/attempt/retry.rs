//! What follows from an attempt that brought no answer to pass on.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::wait_queue;

use crate::answer;
use crate::attempt::BUSY_PAUSE;
use crate::attempt::Failure;
use crate::attempt::failure;
use crate::call;
use crate::clock;
use crate::lent;
use crate::link;

/// Writes a line about an attempt at a member that brought no answer to pass on.
pub(super) fn note_attempt(
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

/// Notes why a connection could not be equipped.
pub(super) fn retreat<L>(
    lent: &mut lent::Lent<L>,
    ask: &mut wait_queue::Request,
    error: &link::LinkError,
) -> Failure {
    if let link::LinkError::Refused(answer::Code::Busy | answer::Code::TooMany) = error {
        lent.ended = pool::Completion::NoSlot;
        return failure(answer::Code::Busy, "no slot in time, try again in 200 ms");
    }
    ask.avoid.push(lent.member.clone());
    match error {
        link::LinkError::Refused(answer::Code::Behind) => {
            if let Some(after) = lent.after {
                lent.ended = pool::Completion::Behind(after);
            }
            failure(answer::Code::Behind, "no replica is fresh enough")
        }
        link::LinkError::Refused(_)
        | link::LinkError::Unreachable(_)
        | link::LinkError::Broken(_)
        | link::LinkError::OwnerLost(_)
        | link::LinkError::Garbled => failure(
            answer::Code::Busy,
            "a connection broke, try again in 100 ms",
        ),
    }
}

/// Notes that a member did not run a statement, and where to go next.
pub(super) async fn step_back<L>(
    lent: &mut lent::Lent<L>,
    ask: &mut wait_queue::Request,
    code: answer::Code,
    after: Option<position::Position>,
) {
    match (code, after) {
        (answer::Code::Behind, Some(after)) => {
            lent.ended = pool::Completion::Behind(after);
            ask.avoid.push(lent.member.clone());
        }
        (answer::Code::Busy, _) => {
            lent.ended = pool::Completion::NoSlot;
            tokio::time::sleep(BUSY_PAUSE).await;
        }
        _ => {
            lent.close(pool::Completion::Unused);
            tokio::time::sleep(BUSY_PAUSE).await;
        }
    }
}
