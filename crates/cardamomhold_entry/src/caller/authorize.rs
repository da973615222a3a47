//! Checks the caller's key before each statement, by the configuration in force.

use std::io;

use crate::answer;
use crate::caller::Task;
use crate::front;
use crate::link;
use crate::statement;

/// Result of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Authorization {
    /// The statement may run.
    Granted,
    /// The key belongs to another workspace than the one that the open transaction runs for.
    Moved,
    /// No workspace holds the key.
    Denied,
}

impl<L: link::Link, W: front::Writer> Task<'_, L, W> {
    /// Handles a request if the caller may still run it.
    pub(super) async fn check(&mut self, request: &statement::Request<'_>) -> io::Result<()> {
        match self.authorize() {
            Authorization::Granted => self.handle(request).await,
            Authorization::Moved => {
                self.fail_transaction("workspace_changed").await;
                match request.statement {
                    statement::Statement::Rollback | statement::Statement::Commit => {
                        self.handle(request).await
                    }
                    _ => self.answer_moved().await,
                }
            }
            Authorization::Denied => self.deny(request).await,
        }
    }

    /// Decides by the newest configuration. Without a route no statement runs, and the caller is
    /// told so.
    fn authorize(&mut self) -> Authorization {
        let view = self.context.views.borrow();
        let catalog = &view.catalog;
        let route = catalog.routes.get(self.database).or(self.route.as_ref());
        let Some(route) = route else {
            return Authorization::Granted;
        };
        let workspaces = catalog.workspaces.as_deref();
        let is_allowed = self
            .identity
            .authorize(workspaces, catalog.version, route.is_public);
        let is_moved =
            self.checkout.is_some() && self.identity.workspace() != self.workspace.as_ref();
        match (is_allowed, is_moved) {
            (false, _) => Authorization::Denied,
            (true, true) => Authorization::Moved,
            (true, false) => Authorization::Granted,
        }
    }

    async fn answer_moved(&mut self) -> io::Result<()> {
        let text = "the key belongs to another workspace now";
        let answer = answer::Answer::refused(answer::Code::Aborted, text, self.state());
        self.writer.answer(&answer).await
    }

    /// Rolls back the open transaction, if any, tells the caller and ends the session.
    async fn deny(&mut self, request: &statement::Request<'_>) -> io::Result<()> {
        let version = self.context.views.borrow().catalog.version;
        log::info!(
            "event=unauthorized id={} caller={} database={} version={version} state={:?}",
            request.id,
            self.identity.label(),
            self.database,
            self.state()
        );
        self.context.metrics.record_unauthorized("statement");
        self.roll_back_open().await;
        self.is_denied = true;
        let text = "no workspace has this key";
        let state = answer::State::Idle;
        let answer = answer::Answer::refused(answer::Code::Unauthorized, text, state);
        self.writer.answer(&answer).await
    }
}
