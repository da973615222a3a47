//! Runs a caller's statement at a member, and keeps its transaction up to date.

use std::io;
use std::sync;
use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::answer;
use crate::attempt;
use crate::call;
use crate::caller::Task;
use crate::caller::ending;
use crate::clock;
use crate::front;
use crate::link;
use crate::report;
use crate::session;
use crate::statement;
use crate::stop;
use crate::view;

/// Part of a statement's timeout that is reserved for returning the answer.
const ANSWER_RESERVE: time::Duration = time::Duration::from_millis(10);

/// Number of statements that a transaction is expected to have.
const TRANSACTION_STATEMENTS: u32 = 2;

impl<L: link::Link, W: front::Writer> Task<'_, L, W> {
    /// Runs a statement at a member and sends the answer to the caller.
    pub(super) async fn run(
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
        let phase = self.context.phase.clone();
        let result = tokio::select! {
            biased;
            result = self.run_at_member(&route, &call) => result,
            () = ending::reached(phase, stop::Phase::Closing) => Err(ending::given_up(&call)),
        };
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
                // The session ends with this answer once all sessions end.
                let is_last = *self.context.phase.borrow() >= stop::Phase::Closing;
                if is_commit || is_last {
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
}
