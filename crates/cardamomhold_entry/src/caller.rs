//! The task of one caller's connection: owns the session and both halves of the socket.

use std::io;
use std::sync;

use cardamomhold_core::name;
use cardamomhold_workspace::identity;

use crate::answer;
use crate::attempt;
use crate::call;
use crate::checkout;
use crate::closing;
use crate::front;
use crate::link;
use crate::session;
use crate::statement;
use crate::view;

mod authorize;
pub mod ending;
mod run;

/// Why a caller's task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The caller disconnected.
    Left,
    /// The caller's connection broke.
    Broken,
    /// The instance is stopping.
    Stopping,
    /// The instance is isolated; other instances can serve the caller.
    Isolated,
    /// No workspace holds the caller's key any more.
    Unauthorized,
}

struct Task<'a, L: link::Link, W> {
    context: &'a attempt::Context<L>,
    database: &'a str,
    identity: identity::Identity,
    writer: W,
    session: session::Session,
    checkout: Option<checkout::Checkout<L>>,
    /// The route of the open transaction.
    route: Option<sync::Arc<view::Route>>,
    /// The workspace whose connection the open transaction uses.
    workspace: Option<name::WorkspaceName>,
    /// Whether the session ends since no workspace holds the caller's key.
    is_denied: bool,
    /// Whether the open transaction has run a statement that may write.
    has_written: bool,
}

/// Serves one caller until it disconnects, loses its key or the instance stops.
pub async fn serve<L: link::Link, R: front::Reader, W: front::Writer>(
    context: &attempt::Context<L>,
    database: &str,
    identity: identity::Identity,
    mut reader: R,
    writer: W,
    mut ending: ending::Ending,
) -> CloseReason {
    let mut task = Task {
        context,
        database,
        identity,
        writer,
        session: session::Session::default(),
        checkout: None,
        route: None,
        workspace: None,
        is_denied: false,
        has_written: false,
    };
    let reason = loop {
        let event = task.next(&mut reader, &mut ending).await;
        let served = match event {
            ending::Event::Incoming(front::Incoming::Request(request)) => {
                task.writer.hold(ending.is_due());
                task.check(&request).await
            }
            ending::Event::Incoming(front::Incoming::Malformed) => task.answer_malformed().await,
            ending::Event::Incoming(front::Incoming::Close) => break CloseReason::Left,
            ending::Event::Broken => break CloseReason::Broken,
            ending::Event::Stopping => break CloseReason::Stopping,
            ending::Event::Isolated => break CloseReason::Isolated,
            ending::Event::FailTransaction(cause) => {
                task.fail_transaction(cause).await;
                Ok(())
            }
        };
        if served.is_err() {
            break CloseReason::Broken;
        }
        if task.is_denied {
            break CloseReason::Unauthorized;
        }
        let is_idle = task.session.transaction == session::Transaction::None;
        if is_idle && ending.is_due() && !reader.has_input() {
            break CloseReason::Stopping;
        }
        task.writer.hold(false);
    };
    task.roll_back_open().await;
    let (code, text) = match reason {
        CloseReason::Left | CloseReason::Broken => return reason,
        CloseReason::Unauthorized => (answer::Code::Unauthorized, "no workspace has this key"),
        CloseReason::Stopping => (answer::Code::Busy, "stopping, connect again"),
        CloseReason::Isolated => (answer::Code::Busy, "no lease here, connect again"),
    };
    let refusal = answer::Answer::refused(code, text, answer::State::Idle);
    let late = closing::close(&mut reader, &mut task.writer, &refusal).await;
    if late != closing::Late::default() {
        log::info!(
            "event=requests_crossed caller={} database={database} why={reason:?} refused={} \
             unanswered={}",
            task.identity.label(),
            late.refused,
            late.unanswered
        );
    }
    reason
}

impl<L: link::Link, W: front::Writer> Task<'_, L, W> {
    fn state(&self) -> answer::State {
        match self.session.transaction {
            session::Transaction::None => answer::State::Idle,
            session::Transaction::Open { .. } => answer::State::Open,
            session::Transaction::Failed => answer::State::Failed,
        }
    }

    async fn answer_success(&mut self) -> io::Result<()> {
        let answer = answer::Answer::success(self.state());
        self.writer.answer(&answer).await
    }

    async fn answer_malformed(&mut self) -> io::Result<()> {
        let text = "not understood here";
        let answer = answer::Answer::refused(answer::Code::Malformed, text, self.state());
        self.writer.answer(&answer).await
    }

    async fn handle(&mut self, request: &statement::Request<'_>) -> io::Result<()> {
        if self.session.transaction == session::Transaction::Failed {
            return self.handle_failed_transaction(request).await;
        }
        let is_open = self.session.transaction != session::Transaction::None;
        match request.statement {
            statement::Statement::Begin { .. } if !is_open && self.is_ending() => {
                self.answer_ended().await
            }
            statement::Statement::Begin { read_only } if !is_open => {
                self.session.transaction = session::Transaction::Open { read_only };
                self.has_written = false;
                self.answer_success().await
            }
            statement::Statement::Rollback if is_open => {
                self.session.transaction = session::Transaction::None;
                self.answer_success().await?;
                self.roll_back_open().await;
                Ok(())
            }
            statement::Statement::Commit if is_open => {
                let form = call::Form::Text(request.text);
                self.run(request, form, statement::Access::Write).await
            }
            statement::Statement::Direct(access) => {
                let form = call::Form::Text(request.text);
                self.run(request, form, access).await
            }
            statement::Statement::Execute { name, arguments } => {
                self.execute(request, name, arguments).await
            }
            statement::Statement::Set { name, value } => {
                if !self.session.may_set(name, value) {
                    return self.answer_too_big().await;
                }
                self.session.set(name, value);
                self.answer_kept().await
            }
            statement::Statement::Prepare {
                name,
                access,
                shape,
            } => {
                if !self.session.may_prepare(name, shape) {
                    return self.answer_too_big().await;
                }
                self.session.prepare(name, access, shape);
                self.answer_kept().await
            }
            statement::Statement::Deallocate { name } => {
                if self.session.deallocate(name) {
                    return self.answer_success().await;
                }
                self.answer_unknown_statement().await
            }
            statement::Statement::Begin { .. }
            | statement::Statement::Rollback
            | statement::Statement::Commit
            | statement::Statement::Unknown => self.answer_malformed().await,
        }
    }

    /// Charges what the session keeps, and once more for its copy on a connection.
    async fn answer_kept(&mut self) -> io::Result<()> {
        self.writer.keep(2 * self.session.kept_bytes()).await?;
        self.answer_success().await
    }

    async fn answer_too_big(&mut self) -> io::Result<()> {
        let text = "the session keeps too much, deallocate statements";
        let answer = answer::Answer::refused(answer::Code::TooBig, text, self.state());
        self.writer.answer(&answer).await
    }

    async fn answer_unknown_statement(&mut self) -> io::Result<()> {
        let text = "no such prepared statement";
        let code = answer::Code::UnknownStatement;
        let answer = answer::Answer::refused(code, text, self.state());
        self.writer.answer(&answer).await
    }

    async fn execute(
        &mut self,
        request: &statement::Request<'_>,
        name: &str,
        arguments: &str,
    ) -> io::Result<()> {
        let Some(prepared) = self.session.prepared(name).cloned() else {
            return self.answer_unknown_statement().await;
        };
        let form = call::Form::Prepared(&prepared, arguments);
        self.run(request, form, prepared.access).await
    }

    /// Handles a request in a failed transaction, which accepts only a rollback or commit.
    async fn handle_failed_transaction(
        &mut self,
        request: &statement::Request<'_>,
    ) -> io::Result<()> {
        match request.statement {
            statement::Statement::Rollback => {
                self.session.transaction = session::Transaction::None;
                self.answer_success().await
            }
            statement::Statement::Commit => {
                self.session.transaction = session::Transaction::None;
                let text = "the transaction was rolled back";
                let state = answer::State::Idle;
                let answer = answer::Answer::refused(answer::Code::Aborted, text, state);
                self.writer.answer(&answer).await
            }
            _ if self.is_ending() => self.answer_ended().await,
            _ => self.answer_malformed().await,
        }
    }

    async fn release(&mut self, must_roll_back: bool) {
        self.route = None;
        let Some(mut checkout) = self.checkout.take() else {
            return;
        };
        if must_roll_back {
            attempt::roll_back(&mut checkout).await;
        }
    }

    /// Rolls back the open transaction, if any, and returns its connection.
    async fn roll_back_open(&mut self) {
        self.release(true).await;
    }

    /// Rolls back the open transaction; the caller gets the error with its next request.
    async fn fail_transaction(&mut self, cause: &str) {
        log::info!(
            "event=transaction_ended caller={} database={} cause={cause}",
            self.identity.label(),
            self.database
        );
        self.roll_back_open().await;
        self.session.transaction = session::Transaction::Failed;
    }
}
