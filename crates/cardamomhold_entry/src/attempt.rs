//! Runs one statement at a member: acquires a connection, prepares the session's state on it
//! and retries where that is safe.

use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::answer;
use crate::call;
use crate::checkout;
use crate::clock;
use crate::group as group_task;
use crate::groups;
use crate::limits;
use crate::link;
use crate::metrics;
use crate::session;
use crate::statement;
use crate::stop;
use crate::view;

mod awaited;
mod confirm;
mod failure;
mod prepare;
mod retry;

pub use failure::Failure;
pub use prepare::prepare;

/// Maximum number of attempts for one statement.
const MAX_ATTEMPTS: u32 = 6;

/// Pause before a retry after a member refused a statement.
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Timeout of a rollback.
const ROLLBACK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Dependencies of a caller's task.
#[derive(Debug)]
pub struct Context<L> {
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// The published lease.
    pub lease: watch::Receiver<view::Lease>,
    /// The group tasks.
    pub groups: watch::Receiver<groups::Groups<L>>,
    /// Phase of the instance's shutdown.
    pub phase: watch::Receiver<stop::Phase>,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
    /// Limits of workspaces.
    pub limits: limits::Handle,
}

impl<L> Clone for Context<L> {
    fn clone(&self) -> Self {
        Self {
            views: self.views.clone(),
            lease: self.lease.clone(),
            groups: self.groups.clone(),
            phase: self.phase.clone(),
            metrics: self.metrics.clone(),
            limits: self.limits.clone(),
        }
    }
}

/// The answer to a first statement, with the connection that ran it.
#[derive(Debug)]
pub struct Started<L> {
    /// The connection.
    pub checkout: checkout::Checkout<L>,
    /// The member's answer.
    pub answer: answer::Answer,
}

/// Runs a single statement or the first one of a transaction; `begin` is the transaction's
/// read-only flag, none for a single statement. Retries, if need be at another member, while
/// the statement certainly has no lasting effect.
///
/// # Errors
/// [`Failure`]; the connection has been returned or closed.
pub async fn start<L: link::Link>(
    context: &Context<L>,
    session: &session::Session,
    route: &sync::Arc<view::Route>,
    requirement: wait_queue::Requirement,
    begin: Option<bool>,
    call: call::Call<'_>,
) -> Result<Started<L>, Failure> {
    let workspace = call.grant.map(|g| &g.workspace);
    if let Some(after) = context.limits.refusal(workspace) {
        return Err(failure::limited(after));
    }
    let mut request = wait_queue::Request {
        id: 0,
        rank: route.rank,
        requirement,
        caller: call.caller.clone(),
        grant: call.grant.cloned(),
        avoid: Vec::new(),
        asked: Vec::new(),
        target: call.target,
        deadline: call.deadline,
    };
    let mut last_failure = failure::busy("too many attempts", failure::RETRY_DELAY);
    for attempt in 1..=MAX_ATTEMPTS {
        let mut checkout = acquire(context, &route.group, &request).await?;
        let member = checkout.member.clone();
        if let Err(error) =
            prepare(context, &route.group, &mut checkout, session, begin, &call).await
        {
            retry::record_limited(context, &call, &error);
            last_failure = retry::handle_failed_prepare(&mut checkout, &mut request, &error);
            retry::log_attempt(&call, attempt, &member, last_failure);
            if retry::is_final(&checkout, &error) {
                return Err(last_failure);
            }
            continue;
        }
        // In a transaction, the BEGIN has sent the required position already.
        let after = checkout.after.filter(|_| begin.is_none());
        match run(context, &route.group, &mut checkout, &call, after).await {
            Ok(answer) => match answer.code() {
                Some(code) if code.allows_retry() => {
                    last_failure = failure::failed(code, "refused by every member that was tried");
                    if answer.state != answer::State::Idle {
                        roll_back(&mut checkout).await;
                    }
                    retry::log_attempt(&call, attempt, &member, last_failure);
                    retry::handle_refusal(&mut checkout, &mut request, code, after).await;
                }
                Some(_) | None => return Ok(Started { checkout, answer }),
            },
            Err(failed) => {
                retry::log_attempt(&call, attempt, &member, failed);
                if failed.is_long_wait {
                    last_failure = failed;
                    request.asked.push(member);
                    continue;
                }
                let is_overloaded = failed.code == answer::Code::Busy;
                if failed.is_limited || is_overloaded && checkout.is_primary() {
                    return Err(failed);
                }
                let is_not_run = is_overloaded || failed.code == answer::Code::Aborted;
                let only_reads = call.access == statement::Access::Read;
                let is_safe = !call.may_commit || only_reads || is_not_run;
                if !is_safe || failed.code == answer::Code::Timeout || clock::now() >= call.deadline
                {
                    return Err(failed);
                }
                last_failure = Failure {
                    code: answer::Code::Busy,
                    ..failed
                };
                request.avoid.push(checkout.member.clone());
            }
        }
        if clock::now() >= call.deadline {
            break;
        }
    }
    Err(last_failure)
}

/// Requests a connection from the group's task.
async fn acquire<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    request: &wait_queue::Request,
) -> Result<checkout::Checkout<L>, Failure> {
    let (reply, granted) = oneshot::channel();
    let request = request.clone();
    let handle = context.groups.borrow().get(group.as_str()).cloned();
    let unavailable = failure::busy("the group is being set up", failure::RETRY_DELAY);
    let handle = handle.ok_or(unavailable)?;
    handle
        .send(group_task::Message::Request { request, reply })
        .map_err(|_| unavailable)?;
    granted
        .await
        .map_err(|_| unavailable)?
        .map_err(failure::refusal)
}

/// Runs a further statement of a transaction; retries while the member is busy.
///
/// # Errors
/// [`Failure`]; the connection is closed.
pub async fn run_next<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    checkout: &mut checkout::Checkout<L>,
    call: &call::Call<'_>,
) -> Result<answer::Answer, Failure> {
    loop {
        checkout.resume();
        let answer = run(context, group, checkout, call, None).await?;
        let is_busy = answer.code() == Some(answer::Code::Busy);
        let can_retry = is_busy && answer.state == answer::State::Open;
        if !can_retry || clock::now().after(BUSY_PAUSE) >= call.deadline {
            return Ok(answer);
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}

/// Rolls back the transaction on a connection; closes the connection if that fails.
pub async fn roll_back<L: link::Link>(checkout: &mut checkout::Checkout<L>) {
    let Some(connection) = &mut checkout.connection else {
        return;
    };
    let deadline = clock::now().after(ROLLBACK_TIMEOUT);
    connection.link.set_deadline(deadline, deadline);
    let rollback = connection.link.prepare(&[link::Command::Rollback]);
    let done = tokio::time::timeout(ROLLBACK_TIMEOUT, rollback).await;
    if !matches!(done, Ok(Ok(_))) {
        checkout.connection = None;
    }
}

/// Runs a statement on a connection that has been prepared for it.
///
/// # Errors
/// [`Failure`]; the connection is closed.
pub async fn run<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    checkout: &mut checkout::Checkout<L>,
    call: &call::Call<'_>,
    after: Option<position::Position>,
) -> Result<answer::Answer, Failure> {
    let sent = clock::now();
    // The order matters: a lease that is read first covers the view that is read after it.
    let is_leased =
        context.lease.borrow().is_valid(sent) && confirm::is_current(context, group, checkout);
    if call.may_commit && checkout.is_primary() && !is_leased {
        checkout.close(pool::Completion::Unused);
        return Err(failure::failed(
            answer::Code::Aborted,
            "the primary was replaced",
        ));
    }
    let limit = call.answer_deadline(sent);
    // A write that may commit is in doubt without its answer, however long that takes.
    let is_awaited = call.may_commit && call.access == statement::Access::Write;
    let awaited = awaited::Awaited {
        group,
        member: &checkout.member.clone(),
        deadline: limit,
        owner: (!is_awaited).then(|| checkout.owner_watch()),
    };
    let Some(connection) = &mut checkout.connection else {
        return Err(failure::failed(
            answer::Code::Aborted,
            "the connection is closed",
        ));
    };
    connection.link.set_deadline(call.target, call.deadline);
    checkout.permit.mark_sent();
    let calling = connection.link.call(call.command(after));
    let result = awaited::answer(context, awaited, calling).await;
    checkout.permit.record(retry::may_have_run(&result));
    let took = clock::now().since(sent);
    match result {
        Ok(Ok(answer)) => {
            checkout.completion = match answer.code() {
                Some(answer::Code::Failed) => pool::Completion::StatementFailed,
                Some(_) | None => pool::Completion::Answered(took),
            };
            if let Some(position) = answer.position {
                checkout.sample = Some(sample::Sample { sent, position });
            }
            if answer.state == answer::State::Open {
                checkout.pause();
            }
            confirm::confirm_answer(context, group, checkout, call, answer).await
        }
        Ok(Err(link::LinkError::Refused(code))) if code.allows_retry() => {
            checkout.completion = pool::Completion::NoSlot;
            let text = "refused before it reached the member, try again in 200 ms";
            Ok(answer::Answer::refused(code, text, answer::State::Idle))
        }
        Ok(Err(link::LinkError::Overloaded(after))) => {
            checkout.completion = pool::Completion::Unused;
            Err(failure::overloaded(after))
        }
        Ok(Err(link::LinkError::LongWait)) => {
            checkout.completion = pool::Completion::Unused;
            Err(failure::long_wait())
        }
        Ok(Err(link::LinkError::Refused(answer::Code::Unauthorized))) => {
            checkout.completion = pool::Completion::Unused;
            context.metrics.record_unauthorized("owner");
            Err(failure::outdated())
        }
        Ok(Err(error @ link::LinkError::Limited(after))) => {
            checkout.completion = pool::Completion::Unused;
            retry::record_limited(context, call, &error);
            Err(failure::limited(after))
        }
        Ok(Err(link::LinkError::Unreachable(_))) => {
            checkout.close(pool::Completion::Unserved);
            let cause = "the owner of the connections does not serve the member";
            Err(failure::failed(answer::Code::Aborted, cause))
        }
        Ok(Err(error)) => {
            checkout.close(match error {
                link::LinkError::OwnerLost(_) => pool::Completion::OwnerLost,
                _ => pool::Completion::Failed,
            });
            let cause = "the connection to the member broke";
            Err(failure::failed(
                confirm::unanswered_code(call, answer::Code::Aborted),
                cause,
            ))
        }
        Err(awaited::Unanswered::OwnerSilent) => {
            checkout.close(pool::Completion::OwnerLost);
            let cause = "the owner of the connections does not answer";
            Err(failure::failed(
                confirm::unanswered_code(call, answer::Code::Aborted),
                cause,
            ))
        }
        Err(awaited::Unanswered::Late) => {
            checkout.close(pool::Completion::TimedOut);
            let cause = "no answer of the member in time";
            let code = if limit < call.deadline {
                answer::Code::Aborted
            } else {
                answer::Code::Timeout
            };
            Err(failure::failed(confirm::unanswered_code(call, code), cause))
        }
    }
}
