//! One statement at a member: the right connection, the session's state on it, and what
//! may be tried again.

use std::io;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::answer;
use crate::call;
use crate::clock;
use crate::group as group_task;
use crate::groups;
use crate::lent;
use crate::link;
use crate::metrics;
use crate::session;
use crate::statement;
use crate::stop;
use crate::view;

mod retry;

/// Attempts at members for one statement.
const MAX_TRIES: u32 = 6;

/// Pause after a member refused for want of a slot.
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Silence of a member after which the primary is asked whether it lives.
const DOUBT_AFTER: time::Duration = time::Duration::from_millis(300);

/// Time for a rollback.
const ROLLBACK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What a caller's task works with.
#[derive(Debug)]
pub struct Context<L> {
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// The published lease.
    pub standing: watch::Receiver<view::Standing>,
    /// The group tasks.
    pub groups: watch::Receiver<groups::Groups<L>>,
    /// Where the instance is between start and end.
    pub phase: watch::Receiver<stop::Phase>,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
}

impl<L> Clone for Context<L> {
    fn clone(&self) -> Self {
        Self {
            views: self.views.clone(),
            standing: self.standing.clone(),
            groups: self.groups.clone(),
            phase: self.phase.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

/// Why a statement was not run, or is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What the caller is told.
    pub code: answer::Code,
    /// The cause, for people.
    pub cause: &'static str,
}

/// A connection that ran the first statement, with the answer.
#[derive(Debug)]
pub struct Ran<L> {
    /// The connection.
    pub lent: lent::Lent<L>,
    /// The member's answer.
    pub answer: answer::Answer,
}

fn failure(code: answer::Code, cause: &'static str) -> Failure {
    Failure { code, cause }
}

fn refusal(reason: pool::Reason) -> Failure {
    let cause = match reason {
        pool::Reason::NoPrimary => "no primary now, try again in 500 ms",
        pool::Reason::NoConnection => "no free connection in time, try again in 200 ms",
        pool::Reason::Unreachable => "no member can be reached, try again in 500 ms",
    };
    failure(answer::Code::Busy, cause)
}

/// Runs the first statement of a transaction (`begin` says whether it only reads) or a
/// single one; tries again elsewhere what certainly was not kept.
///
/// # Errors
/// [`Failure`]; the connection is back or closed.
pub async fn start<L: link::Link>(
    context: &Context<L>,
    session: &session::Session,
    route: &sync::Arc<view::Route>,
    want: wait_queue::Requirement,
    begin: Option<bool>,
    call: call::Call<'_>,
) -> Result<Ran<L>, Failure> {
    let mut ask = wait_queue::Request {
        id: 0,
        rank: route.rank,
        requirement: want,
        avoid: Vec::new(),
        deadline: call.deadline,
    };
    let mut last = failure(answer::Code::Busy, "too many attempts, try again in 200 ms");
    for attempt in 1..=MAX_TRIES {
        let mut lent = acquire(context, &route.group, &ask).await?;
        let member = lent.member.clone();
        if let Err(error) = equip(&mut lent, session, begin, &call).await {
            last = retry::retreat(&mut lent, &mut ask, &error);
            retry::note_attempt(&call, attempt, &member, last);
            continue;
        }
        let after = lent.after.filter(|_| begin.is_none());
        match run(context, &route.group, &mut lent, &call, after).await {
            Ok(answer) => match answer.code() {
                Some(code) if code.is_not_run() => {
                    last = failure(code, "refused by every member that was tried");
                    if answer.state != answer::State::Idle {
                        roll_back(&mut lent).await;
                    }
                    retry::note_attempt(&call, attempt, &member, last);
                    retry::step_back(&mut lent, &mut ask, code, after).await;
                }
                Some(_) | None => return Ok(Ran { lent, answer }),
            },
            Err(failed) => {
                retry::note_attempt(&call, attempt, &member, failed);
                let is_unsent = failed.code == answer::Code::Aborted;
                let only_reads = call.access == statement::Access::Read;
                let is_safe = !call.may_keep || only_reads || is_unsent;
                if !is_safe || failed.code == answer::Code::Timeout || clock::now() >= call.deadline
                {
                    return Err(failed);
                }
                last = failure(answer::Code::Busy, failed.cause);
                ask.avoid.push(lent.member.clone());
            }
        }
        if clock::now() >= call.deadline {
            break;
        }
    }
    Err(last)
}

/// Asks the group for a connection.
async fn acquire<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    ask: &wait_queue::Request,
) -> Result<lent::Lent<L>, Failure> {
    let (reply, granted) = oneshot::channel();
    let ask = ask.clone();
    let handle = context.groups.borrow().get(group.as_str()).cloned();
    let gone = failure(
        answer::Code::Busy,
        "the group is being set up, try again in 200 ms",
    );
    let handle = handle.ok_or(gone)?;
    handle
        .send(group_task::Message::Ask { ask, reply })
        .map_err(|_| gone)?;
    granted.await.map_err(|_| gone)?.map_err(refusal)
}

/// Brings the session's state to the connection and begins the transaction.
///
/// # Errors
/// [`link::LinkError`]; the connection is closed.
pub async fn equip<L: link::Link>(
    lent: &mut lent::Lent<L>,
    session: &session::Session,
    begin: Option<bool>,
    call: &call::Call<'_>,
) -> Result<(), link::LinkError> {
    let Some(wired) = &mut lent.wired else {
        return Err(link::LinkError::Garbled);
    };
    let needed = call.needed();
    let difference = session.difference(&wired.applied, needed);
    if difference.is_empty() && begin.is_none() {
        return Ok(());
    }
    let mut commands = Vec::new();
    if difference.is_foreign {
        commands.push(link::Command::Reset);
    }
    for (name, value) in &difference.values {
        commands.push(link::Command::Set { name, value });
    }
    if let Some(prepared) = difference.prepared {
        commands.push(link::Command::Prepare {
            name: &prepared.shared,
            access: prepared.access,
            shape: &prepared.shape,
        });
    }
    if let Some(read_only) = begin {
        let after = lent.after;
        commands.push(link::Command::Begin { read_only, after });
    }
    let limit = clock::instant(call.deadline);
    let preparing = tokio::time::timeout_at(limit, wired.link.prepare(&commands));
    let prepared = preparing
        .await
        .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())));
    if let Err(error) = prepared {
        lent.close(match &error {
            link::LinkError::Refused(_) => pool::Completion::Unused,
            link::LinkError::OwnerLost(_) => pool::Completion::OwnerLost,
            link::LinkError::Broken(error) if error.kind() == io::ErrorKind::TimedOut => {
                pool::Completion::TimedOut
            }
            _ => pool::Completion::Failed,
        });
        return Err(error);
    }
    wired.applied.take(session, needed);
    Ok(())
}

/// Runs a further statement of a transaction; one that finds no slot is tried again.
///
/// # Errors
/// [`Failure`]; the connection is closed.
pub async fn go_on<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    lent: &mut lent::Lent<L>,
    call: &call::Call<'_>,
) -> Result<answer::Answer, Failure> {
    loop {
        let answer = run(context, group, lent, call, None).await?;
        let is_busy = answer.code() == Some(answer::Code::Busy);
        let may_repeat = is_busy && answer.state == answer::State::Open;
        if !may_repeat || clock::now().after(BUSY_PAUSE) >= call.deadline {
            return Ok(answer);
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}

/// Ends the transaction on a connection, or closes the connection.
pub async fn roll_back<L: link::Link>(lent: &mut lent::Lent<L>) {
    let Some(wired) = &mut lent.wired else {
        return;
    };
    let rolling = wired.link.prepare(&[link::Command::Rollback]);
    let done = tokio::time::timeout(ROLLBACK_TIMEOUT, rolling).await;
    if !matches!(done, Ok(Ok(_))) {
        lent.wired = None;
    }
}

/// Runs a statement on a borrowed connection that is ready for it.
///
/// # Errors
/// [`Failure`]; the connection is closed.
pub async fn run<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    lent: &mut lent::Lent<L>,
    call: &call::Call<'_>,
    after: Option<position::Position>,
) -> Result<answer::Answer, Failure> {
    let sent = clock::now();
    // In this order: a lease that is read first vouches for the view that is read then.
    let is_leased = context.standing.borrow().is_valid(sent) && is_current(context, group, lent);
    if call.may_keep && lent.is_primary() && !is_leased {
        lent.close(pool::Completion::Unused);
        return Err(failure(answer::Code::Aborted, "the primary was replaced"));
    }
    let Some(wired) = &mut lent.wired else {
        return Err(failure(answer::Code::Aborted, "the connection is closed"));
    };
    let calling = wired.link.call(call.command(after));
    let limit = call.limit(sent);
    let result = with_doubt(context, group, &lent.member, limit, calling).await;
    let took = clock::now().since(sent);
    match result {
        Some(Ok(answer)) => {
            lent.ended = match answer.code() {
                Some(answer::Code::Failed) => pool::Completion::StatementFailed,
                Some(_) | None => pool::Completion::Answered(took),
            };
            if let Some(position) = answer.position {
                lent.seen = Some(sample::Sample { sent, position });
            }
            vouch(context, group, lent, call, answer).await
        }
        Some(Err(link::LinkError::Refused(code))) if code.is_not_run() => {
            lent.ended = pool::Completion::NoSlot;
            let text = "refused before it reached the member, try again in 200 ms";
            Ok(answer::Answer::refused(code, text, answer::State::Idle))
        }
        Some(Err(link::LinkError::Unreachable(_))) => {
            lent.close(pool::Completion::Failed);
            let unsent = "the owner of the connections does not serve the member";
            Err(failure(answer::Code::Aborted, unsent))
        }
        Some(Err(error)) => {
            lent.close(match error {
                link::LinkError::OwnerLost(_) => pool::Completion::OwnerLost,
                _ => pool::Completion::Failed,
            });
            let lost = "the connection to the member broke";
            Err(failure(lost_code(call, answer::Code::Aborted), lost))
        }
        None => {
            lent.close(pool::Completion::TimedOut);
            let late = "no answer of the member in time";
            let code = if limit < call.deadline {
                answer::Code::Aborted
            } else {
                answer::Code::Timeout
            };
            Err(failure(lost_code(call, code), late))
        }
    }
}

/// What a caller is told when no answer came.
fn lost_code(call: &call::Call<'_>, otherwise: answer::Code) -> answer::Code {
    if call.may_keep && call.access == statement::Access::Write {
        answer::Code::InDoubt
    } else {
        otherwise
    }
}

/// Waits for an answer, and reports a long silence once.
async fn with_doubt<L: link::Link, T>(
    context: &Context<L>,
    group: &name::GroupName,
    member: &name::MemberName,
    deadline: Timestamp,
    calling: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(calling);
    if let Ok(done) = tokio::time::timeout(DOUBT_AFTER, &mut calling).await {
        return Some(done);
    }
    if let Some(handle) = context.groups.borrow().get(group.as_str()) {
        // A group task that has ended has no primary to ask about.
        let _ = handle.send(group_task::Message::Doubt(member.clone()));
    }
    tokio::time::timeout_at(clock::instant(deadline), &mut calling)
        .await
        .ok()
}

/// Whether the leadership under which a primary was chosen is still the newest known.
fn is_current<L>(context: &Context<L>, group: &name::GroupName, lent: &lent::Lent<L>) -> bool {
    let view = context.views.borrow();
    let record = view.leaderships.get(group.as_str());
    lent.change.is_none() || record.map(|r| r.change) == lent.change
}

/// Passes a success of a primary on only when it was not replaced meanwhile.
async fn vouch<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    lent: &mut lent::Lent<L>,
    call: &call::Call<'_>,
    answer: answer::Answer,
) -> Result<answer::Answer, Failure> {
    if !call.may_keep || !lent.is_primary() || answer.code().is_some() {
        return Ok(answer);
    }
    let mut standing = context.standing.clone();
    loop {
        if !is_current(context, group, lent) {
            break;
        }
        if standing.borrow_and_update().is_valid(clock::now()) {
            return Ok(answer);
        }
        let changed = tokio::time::timeout_at(clock::instant(call.deadline), standing.changed());
        if !matches!(changed.await, Ok(Ok(()))) {
            break;
        }
    }
    lent.close(pool::Completion::Unused);
    let code = lost_code(call, answer::Code::Aborted);
    Err(failure(code, "the primary was replaced meanwhile"))
}
