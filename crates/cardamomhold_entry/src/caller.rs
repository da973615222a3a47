//! The task of one caller's connection: owns the session and both halves of the socket.

use std::io;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_workspace::identity;

use crate::answer;
use crate::attempt;
use crate::call;
use crate::checkout;
use crate::clock;
use crate::closing;
use crate::front;
use crate::link;
use crate::report;
use crate::session;
use crate::statement;
use crate::stop;
use crate::view;

mod authorize;

/// Part of a statement's timeout that is reserved for returning the answer.
const ANSWER_RESERVE: time::Duration = time::Duration::from_millis(10);

/// Number of statements that a transaction is expected to have.
const TRANSACTION_STATEMENTS: u32 = 2;

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

/// Events that the task waits for.
enum Event<'a> {
    Incoming(front::Incoming<'a>),
    Broken,
    IdleTransaction,
    Isolated,
    Stopping,
}

/// Serves one caller until it disconnects, loses its key or the instance stops.
pub async fn serve<L: link::Link, R: front::Reader, W: front::Writer>(
    context: &attempt::Context<L>,
    database: &str,
    identity: identity::Identity,
    mut reader: R,
    writer: W,
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
    let mut phase = context.phase.clone();
    let reason = loop {
        let event = task.next(&mut reader, &mut phase).await;
        let served = match event {
            Event::Incoming(front::Incoming::Request(request)) => task.check(&request).await,
            Event::Incoming(front::Incoming::Malformed) => task.answer_malformed().await,
            Event::Incoming(front::Incoming::Close) => break CloseReason::Left,
            Event::Broken => break CloseReason::Broken,
            Event::Stopping => break CloseReason::Stopping,
            Event::Isolated => break CloseReason::Isolated,
            Event::IdleTransaction => {
                task.fail_transaction("idle_transaction").await;
                Ok(())
            }
        };
        if served.is_err() {
            break CloseReason::Broken;
        }
        if task.is_denied {
            break CloseReason::Unauthorized;
        }
    };
    task.roll_back_open().await;
    let text = match reason {
        CloseReason::Left | CloseReason::Broken | CloseReason::Unauthorized => return reason,
        CloseReason::Stopping => "stopping, connect again",
        CloseReason::Isolated => "no lease here, connect again",
    };
    let crossed = closing::close(&mut reader, &mut task.writer, text).await;
    if crossed > 0 {
        log::info!(
            "event=requests_crossed caller={} database={database} why={reason:?} refused={crossed}",
            task.identity.label()
        );
    }
    reason
}

impl<L: link::Link, W: front::Writer> Task<'_, L, W> {
    async fn next<'r, R: front::Reader>(
        &self,
        reader: &'r mut R,
        phase: &mut tokio::sync::watch::Receiver<stop::Phase>,
    ) -> Event<'r> {
        let idle_timeout = self.context.views.borrow().catalog.idle_limit();
        let is_idle = self.session.transaction == session::Transaction::None;
        let stop_phase = if is_idle {
            stop::Phase::Draining
        } else {
            stop::Phase::Ending
        };
        let has_connection = self.checkout.is_some();
        let mut lease = self.context.lease.clone();
        tokio::select! {
            biased;
            incoming = reader.next() => match incoming {
                Ok(incoming) => Event::Incoming(incoming),
                Err(_) => Event::Broken,
            },
            _ = phase.wait_for(|p| *p >= stop_phase) => Event::Stopping,
            _ = lease.wait_for(|l| l.isolation == view::Isolation::Closing), if is_idle => {
                Event::Isolated
            }
            () = tokio::time::sleep(idle_timeout), if has_connection => Event::IdleTransaction,
        }
    }

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
            _ => self.answer_malformed().await,
        }
    }

    /// Runs a statement at a member and sends the answer to the caller.
    async fn run(
        &mut self,
        request: &statement::Request<'_>,
        form: call::Form<'_>,
        access: statement::Access,
    ) -> io::Result<()> {
        let now = clock::now();
        let Some(route) = self.current_route() else {
            let text = "no such database";
            let state = self.state();
            let answer = answer::Answer::refused(answer::Code::UnknownDatabase, text, state);
            return self.writer.answer(&answer).await;
        };
        let is_open = self.session.transaction != session::Transaction::None;
        let is_commit = request.statement == statement::Statement::Commit;
        let timeout = route.timeout.saturating_sub(ANSWER_RESERVE);
        let target = if is_open {
            // The statements of a transaction share its target.
            route.target / TRANSACTION_STATEMENTS
        } else {
            route.target
        };
        let caller = self.identity.name().clone();
        let grant = self.identity.grant().cloned();
        let call = call::Call {
            id: request.id,
            caller: &caller,
            grant: grant.as_ref(),
            form,
            access,
            may_commit: !is_open || is_commit,
            target: now.after(target),
            deadline: now.after(timeout),
        };
        let result = self.run_at_member(&route, &call).await;
        let took = clock::now().since(now);
        let report = report::Report {
            id: request.id,
            caller: self.identity.label(),
            database: self.database,
            route: &route,
            result: &result,
            took,
        };
        report::record(self.context, &report);
        let answer = match result {
            Ok(answer) => {
                self.finish_statement(answer, access, is_open, is_commit)
                    .await
            }
            Err(failure) => {
                if is_commit {
                    self.session.transaction = session::Transaction::None;
                } else if is_open {
                    self.session.transaction = session::Transaction::Failed;
                }
                self.checkout = None;
                self.route = None;
                answer::Answer::refused(failure.code, &failure.to_string(), self.state())
            }
        };
        self.writer.answer(&answer).await
    }

    /// The open transaction's route, or else the current route of the database.
    fn current_route(&mut self) -> Option<sync::Arc<view::Route>> {
        if let Some(route) = &self.route {
            return Some(route.clone());
        }
        let view = self.context.views.borrow();
        view.catalog.routes.get(self.database).cloned()
    }

    /// Runs a statement on the transaction's connection, or else on a new one.
    async fn run_at_member(
        &mut self,
        route: &sync::Arc<view::Route>,
        call: &call::Call<'_>,
    ) -> Result<answer::Answer, attempt::Failure> {
        if let Some(checkout) = &mut self.checkout {
            attempt::prepare(
                self.context,
                &route.group,
                checkout,
                &self.session,
                None,
                call,
            )
            .await
            .map_err(|_| attempt::Failure {
                code: answer::Code::Aborted,
                cause: "the connection broke inside the transaction",
                retry_after: None,
                is_limited: false,
                is_long_wait: false,
            })?;
            return attempt::run_next(self.context, &route.group, checkout, call).await;
        }
        let begin = match self.session.transaction {
            session::Transaction::Open { read_only } => Some(read_only),
            session::Transaction::None | session::Transaction::Failed => None,
        };
        let only_reads = begin.unwrap_or(call.access == statement::Access::Read);
        let requirement = route.requirement(only_reads, self.session.last_commit);
        let started = attempt::start(
            self.context,
            &self.session,
            route,
            requirement,
            begin,
            *call,
        )
        .await?;
        self.checkout = Some(started.checkout);
        self.workspace = call.grant.map(|g| g.workspace.clone());
        self.route = begin.map(|_| route.clone());
        Ok(started.answer)
    }

    /// Updates the transaction after a member's answer, and returns the connection if the
    /// transaction has ended or failed.
    async fn finish_statement(
        &mut self,
        mut answer: answer::Answer,
        access: statement::Access,
        is_open: bool,
        is_commit: bool,
    ) -> answer::Answer {
        let has_failed = answer.code().is_some();
        let writes = access == statement::Access::Write && !is_commit;
        if !has_failed {
            self.has_written |= writes;
        }
        let is_ended = is_commit || !is_open;
        if is_ended && !has_failed {
            let has_committed = if is_commit { self.has_written } else { writes };
            let at_primary = self.checkout.as_ref().is_some_and(|c| c.is_primary());
            self.update_last_commit(answer.position, has_committed, at_primary);
        }
        if is_ended {
            self.session.transaction = session::Transaction::None;
            self.release(has_failed && answer.state != answer::State::Idle)
                .await;
        } else if has_failed {
            self.session.transaction = session::Transaction::Failed;
            self.release(true).await;
        }
        answer.state = self.state();
        answer
    }

    /// Records the position that the session's next reads must include.
    fn update_last_commit(
        &mut self,
        position: Option<position::Position>,
        has_committed: bool,
        at_primary: bool,
    ) {
        let Some(position) = position else {
            return;
        };
        let now = clock::now();
        if has_committed {
            self.session.last_commit = Some((position, now));
            return;
        }
        let is_older = |commit: &(position::Position, Timestamp)| commit.0.term < position.term;
        if at_primary && self.session.last_commit.as_ref().is_some_and(is_older) {
            // The new primary's log has all of the session's commits that survived.
            self.session.last_commit = Some((position, now));
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
