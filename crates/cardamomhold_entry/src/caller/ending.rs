//! Waits for a caller's next request or for the end of its session.

use std::io;
use std::time;

use tokio::sync::watch;

use crate::answer;
use crate::attempt;
use crate::call;
use crate::caller::Task;
use crate::front;
use crate::link;
use crate::session;
use crate::statement;
use crate::stop;
use crate::view;

/// When a session ends while its instance stops.
#[derive(Debug, Clone)]
pub struct Ending {
    /// The stop signal's time; none before it.
    pub signalled: watch::Receiver<Option<tokio::time::Instant>>,
    /// The end, as time since the signal.
    pub end: stop::SessionEnd,
}

impl Ending {
    /// Whether the session ends with its next answer outside a transaction.
    pub fn is_due(&self) -> bool {
        let signalled = *self.signalled.borrow();
        signalled.is_some_and(|at| at.elapsed() >= self.end.due)
    }

    /// Waits until the session ends although it is idle.
    async fn idle_end(&mut self) {
        let signalled = self.signalled.wait_for(Option::is_some).await;
        let signalled = signalled.ok().and_then(|at| *at);
        match signalled {
            Some(at) => tokio::time::sleep_until(at + self.end.idle).await,
            None => std::future::pending().await,
        }
    }
}

/// Waits for a phase of the instance's shutdown.
pub(super) async fn reached(mut phase: watch::Receiver<stop::Phase>, wanted: stop::Phase) {
    if phase.wait_for(|p| *p >= wanted).await.is_err() {
        std::future::pending().await
    }
}

/// The failure of a statement that has no answer when the instance closes its sessions.
pub(super) fn given_up(call: &call::Call<'_>) -> attempt::Failure {
    let is_in_doubt = call.may_commit && call.access == statement::Access::Write;
    attempt::Failure {
        code: match is_in_doubt {
            true => answer::Code::InDoubt,
            false => answer::Code::Aborted,
        },
        cause: "the instance stops, and the member has not answered",
        retry_after: None,
        is_limited: false,
        is_long_wait: false,
    }
}

/// Events that a caller's task waits for.
pub(super) enum Event<'a> {
    Incoming(front::Incoming<'a>),
    Broken,
    /// The open transaction has failed, for this cause.
    FailTransaction(&'static str),
    Isolated,
    Stopping,
}

impl<L: link::Link, W: front::Writer> Task<'_, L, W> {
    /// Whether open transactions have been ended, so that none may begin.
    pub(super) fn is_ending(&self) -> bool {
        *self.context.phase.borrow() >= stop::Phase::Ending
    }

    /// Refuses a request after the end of open transactions; none is open for the caller any more.
    pub(super) async fn answer_ended(&mut self) -> io::Result<()> {
        let was_open = self.session.transaction != session::Transaction::None;
        self.session.transaction = session::Transaction::None;
        let (code, text) = match was_open {
            true => (
                answer::Code::Aborted,
                "stopping, the transaction was rolled back",
            ),
            false => (answer::Code::Busy, "stopping, connect again"),
        };
        let answer = answer::Answer::refused(code, text, self.state());
        self.writer.answer(&answer).await
    }

    /// Waits for the next event. Once all sessions end, requests that have arrived are left to the
    /// end of the session, which refuses them.
    pub(super) async fn next<'r, R: front::Reader>(
        &self,
        reader: &'r mut R,
        ending: &mut Ending,
    ) -> Event<'r> {
        let idle_timeout: time::Duration = self.context.views.borrow().catalog.idle_limit();
        let is_idle = self.session.transaction == session::Transaction::None;
        let is_open = matches!(self.session.transaction, session::Transaction::Open { .. });
        let has_connection = self.checkout.is_some();
        let phase = &self.context.phase;
        let mut lease = self.context.lease.clone();
        tokio::select! {
            biased;
            () = reached(phase.clone(), stop::Phase::Closing) => Event::Stopping,
            incoming = reader.next() => match incoming {
                Ok(incoming) => Event::Incoming(incoming),
                Err(_) => Event::Broken,
            },
            () = reached(phase.clone(), stop::Phase::Ending), if is_open => {
                Event::FailTransaction("stopping")
            }
            () = ending.idle_end(), if is_idle => Event::Stopping,
            _ = lease.wait_for(|l| l.isolation == view::Isolation::Closing), if is_idle => {
                Event::Isolated
            }
            () = tokio::time::sleep(idle_timeout), if has_connection => {
                Event::FailTransaction("idle_transaction")
            }
        }
    }
}
