//! Whether the answer of a primary may be passed on.

use cardamomhold_core::name;
use cardamomhold_pool::pool;

use crate::answer;
use crate::attempt::Context;
use crate::attempt::failure;
use crate::attempt::failure::Failure;
use crate::call;
use crate::checkout;
use crate::clock;
use crate::link;
use crate::statement;

/// Code for a statement without an answer: a write that may have committed is in doubt.
pub(super) fn unanswered_code(call: &call::Call<'_>, otherwise: answer::Code) -> answer::Code {
    if call.may_commit && call.access == statement::Access::Write {
        answer::Code::InDoubt
    } else {
        otherwise
    }
}

/// Whether the leadership under which the connection was granted is still the newest known.
pub(super) fn is_current<L>(
    context: &Context<L>,
    group: &name::GroupName,
    checkout: &checkout::Checkout<L>,
) -> bool {
    let view = context.views.borrow();
    let record = view.leaderships.get(group.as_str());
    checkout.change.is_none() || record.map(|r| r.change) == checkout.change
}

/// Returns a primary's successful answer only if the primary was not replaced meanwhile;
/// waits for a valid lease if there is none.
pub(super) async fn confirm_answer<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    checkout: &mut checkout::Checkout<L>,
    call: &call::Call<'_>,
    answer: answer::Answer,
) -> Result<answer::Answer, Failure> {
    if !call.may_commit || !checkout.is_primary() || answer.code().is_some() {
        return Ok(answer);
    }
    let mut lease = context.lease.clone();
    loop {
        if !is_current(context, group, checkout) {
            break;
        }
        if lease.borrow_and_update().is_valid(clock::now()) {
            return Ok(answer);
        }
        let changed = tokio::time::timeout_at(clock::instant(call.deadline), lease.changed());
        if !matches!(changed.await, Ok(Ok(()))) {
            break;
        }
    }
    checkout.close(pool::Completion::Unused);
    let code = unanswered_code(call, answer::Code::Aborted);
    Err(failure::failed(code, "the primary was replaced meanwhile"))
}
