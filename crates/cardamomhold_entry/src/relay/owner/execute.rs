//! Runs one command of another instance on a connection.

use std::time;

use cardamomhold_pool::sample;

use crate::answer;
use crate::checkout;
use crate::clock;
use crate::group;
use crate::link;
use crate::relay::frame;
use crate::relay::owner::Next;
use crate::relay::owner::Work;
use crate::session;

/// The failure of a request whose workspace is over its limit.
pub(super) fn limited(after: time::Duration) -> frame::Failure {
    frame::Failure::Limited {
        after_ms: after.as_millis() as u32,
    }
}

/// Whether the member may have run something of a request.
pub(super) fn has_run(executed: &Result<(frame::Outcome, Next), frame::Failure>) -> bool {
    match executed {
        Ok((frame::Outcome::Answered(answer), _)) => !answer.is_not_run(),
        Ok(_) => true,
        Err(frame::Failure::Refused(code)) => !code.allows_retry(),
        Err(_) => true,
    }
}

/// Whether a connection can be used again after the member has refused a command of the first body
/// that it ran for a client: no transaction can be open.
pub(super) fn is_reusable(body: &frame::Body<'_>) -> bool {
    match body {
        frame::Body::Prepare(commands) => !commands
            .iter()
            .any(|c| matches!(c, link::Command::Begin { .. })),
        frame::Body::Call(_) | frame::Body::Ping { .. } => false,
    }
}

/// Clears the session state on a connection, if there may be any. Nothing of the request has been
/// sent when this fails.
pub(super) async fn clear_state<L: link::Link>(
    connection: &mut checkout::Connection<L>,
    limit: tokio::time::Instant,
) -> Result<(), frame::Failure> {
    if connection.applied.is_empty() {
        return Ok(());
    }
    let reset = connection.link.prepare(&[link::Command::Reset]);
    match tokio::time::timeout_at(limit, reset).await {
        Ok(Ok(_)) => {
            connection.applied = session::Applied::default();
            Ok(())
        }
        Ok(Err(link::LinkError::Refused(answer::Code::Busy))) => {
            Err(frame::Failure::Refused(answer::Code::Busy))
        }
        Ok(Err(_)) | Err(_) => Err(frame::Failure::Unreachable),
    }
}

/// Runs a command on the connection of `work`; returns also what happens to the connection.
pub(super) async fn execute<L: link::Link>(
    work: &mut Work<L>,
    body: &frame::Body<'_>,
) -> Result<(frame::Outcome, Next), frame::Failure> {
    let connection = &mut work.connection;
    match body {
        frame::Body::Ping { .. } => Ok((frame::Outcome::Pong { is_answering: true }, Next::Hold)),
        frame::Body::Prepare(commands) => {
            let prepared = connection.link.prepare(commands).await;
            let position = prepared.map_err(|error| frame::Failure::from(&error))?;
            connection.applied.mark_unknown();
            let next = match commands.contains(&link::Command::Rollback) {
                true => Next::Release(Some(true)),
                false => Next::Hold,
            };
            Ok((frame::Outcome::Prepared(position), next))
        }
        frame::Body::Call(command) => {
            let sent = clock::now();
            let called = connection.link.call(*command).await;
            let answer = called.map_err(|error| frame::Failure::from(&error))?;
            if let Some(position) = answer.position {
                // The receiver is gone when the group's task has ended.
                let _ = work.group.send(group::Message::Sampled {
                    member: work.header.member.clone(),
                    sample: sample::Sample { sent, position },
                });
            }
            let is_answered = match answer.code() {
                Some(answer::Code::Busy | answer::Code::Behind) => None,
                Some(_) | None => Some(true),
            };
            let next = match answer.state {
                answer::State::Idle => Next::Release(is_answered),
                answer::State::Open | answer::State::Failed => Next::Hold,
            };
            Ok((frame::Outcome::Answered(answer), next))
        }
    }
}
