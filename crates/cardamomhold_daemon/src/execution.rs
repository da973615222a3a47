//! Executes one transaction at the endpoint's owner: admission, request key, confirmation.

use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_budget::budget;
use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;

use crate::checkout;
use crate::endpoint;
use crate::group;
use crate::relay;
use crate::stop;
use crate::stream;
use crate::write_gate;

const READ_ONLY_SETTING: &str = "SET default_transaction_read_only = on";

/// Statement that creates a group's table of request keys.
pub const KEY_TABLE: &str = "CREATE TABLE IF NOT EXISTS cardamomhold_request_key \
     (request_key TEXT PRIMARY KEY, tag TEXT NOT NULL)";

const ROLLBACK_TAG: &str = "ROLLBACK";

/// Dependencies of an execution.
#[derive(Debug, Clone)]
pub struct Context {
    /// Handle of the group's task.
    pub group: group::Handle,
    /// Handle of the endpoint's task.
    pub endpoint: endpoint::Handle,
    /// Weight of the caller in fair queueing.
    pub weight: u32,
    /// Retention time of the group's request keys.
    pub retention: time::Duration,
    /// Maximum idle time of an open transaction.
    pub idle: time::Duration,
    /// Phase of the instance's shutdown.
    pub stop: stop::Stop,
    /// Accounts to which the answers of endpoints are charged.
    pub accounts: accounts::Handle,
}

/// Serves a stream from its first batch to the end of its transaction.
pub async fn run(context: Context, ticket: stream::Ticket, mut end: stream::StreamEnd) {
    let failure = match Execution::admit(context, &ticket).await {
        Ok(execution) => execution.serve(&ticket, &mut end).await.err(),
        Err(refusal) => Some(stream::Failure::NotRun(refusal)),
    };
    if let Some(failure) = failure {
        // The send fails only if the caller is gone.
        let _ = end.down.send(stream::Down::Failure(failure)).await;
    }
}

/// Waits for the end of the term in which a write was admitted; forever for a read.
async fn await_term_end(term_watch: Option<&mut write_gate::TermWatch>) {
    match term_watch {
        Some(term_watch) => term_watch.ended().await,
        None => std::future::pending().await,
    }
}

/// Execution of one transaction.
pub struct Execution {
    pub(crate) context: Context,
    pub(crate) checkout: checkout::Checkout,
    pub(crate) admission: Option<write_gate::Admission>,
    /// Whether every batch is complete; one that ends with a flush isn't until the next sync.
    pub(crate) is_between_batches: bool,
    pub(crate) deadline: tokio::time::Instant,
    pub(crate) is_read: bool,
    /// Whether the transaction may have had an effect.
    pub(crate) may_have_run: bool,
    /// Whether the last batch ended with a sync; true before the first batch.
    pub(crate) is_synced: bool,
    pub(crate) progress: relay::Progress,
}

/// Next event after a batch.
enum Next {
    /// Another batch.
    Batch(stream::Batch),
    /// The caller is gone.
    CallerGone,
    /// The transaction is ended by the proxy; nothing of it was committed.
    Ended(outcome::Refusal),
}

impl Execution {
    async fn admit(context: Context, ticket: &stream::Ticket) -> Result<Self, outcome::Refusal> {
        let deadline = tokio::time::Instant::now() + ticket.deadline;
        if let stream::Access::ReadReplica(staleness) = ticket.access {
            let freshness = group::Freshness {
                member: ticket.member.clone(),
                seen: ticket.seen,
                staleness,
            };
            context.group.await_fresh(freshness, deadline).await?;
        }
        let mut checkout = context
            .endpoint
            .admit(ticket, context.weight, deadline)
            .await?;
        let account = context.accounts.open(budget::Kind::Outgoing).await;
        let account = account.ok_or(outcome::Refusal::ConnectFailed)?;
        checkout.connection().charge_to(account);
        let is_read = ticket.access.is_read();
        let mut admission = None;
        if !is_read {
            let request = context
                .group
                .admit_write(&ticket.member, ticket.term, deadline);
            admission = Some(request.await?);
        }
        Ok(Self {
            context,
            checkout,
            admission,
            is_between_batches: true,
            deadline,
            is_read,
            may_have_run: false,
            is_synced: true,
            progress: relay::Progress::default(),
        })
    }

    async fn serve(
        mut self,
        ticket: &stream::Ticket,
        end: &mut stream::StreamEnd,
    ) -> Result<(), stream::Failure> {
        let mut term_watch = self
            .admission
            .as_ref()
            .map(write_gate::Admission::term_watch);
        let served = tokio::select! {
            biased;
            result = self.run_batches(ticket, end) => Some(result),
            () = await_term_end(term_watch.as_mut()) => None,
        };
        let result = served.unwrap_or_else(|| Err(self.term_end_failure()));
        // After any other failure the connection's state is unknown, and it is closed.
        if matches!(result, Ok(()) | Err(stream::Failure::Ran { .. })) {
            let connection = self.checkout.connection();
            connection.release();
            connection.charge_to(accounts::Account::default());
            self.checkout.release().await;
        }
        result
    }

    async fn run_batches(
        &mut self,
        ticket: &stream::Ticket,
        end: &mut stream::StreamEnd,
    ) -> Result<(), stream::Failure> {
        self.apply_settings(ticket).await?;
        // A keyed transaction without a BEGIN of the caller is wrapped in BEGIN and COMMIT by the
        // proxy, so that its key is recorded with it.
        let is_wrapped = ticket.request_key.is_some() && !ticket.begins;
        let mut key = ticket.request_key;
        if let Some(key) = key {
            self.check_age(key)?;
        }
        if is_wrapped {
            self.run_internal("BEGIN").await?;
            self.record_key(ticket, key.take()).await?;
        }
        let mut status = stream::Status::Idle;
        loop {
            self.is_between_batches = self.is_synced;
            let batch = match self.next_batch(end, status).await {
                Next::Batch(batch) => batch,
                Next::CallerGone => return self.roll_back().await,
                // Dropping the checkout closes the connection, which rolls back.
                Next::Ended(refusal) => return Err(stream::Failure::NotRun(refusal)),
            };
            // A wrapped transaction has no effect before the proxy's own COMMIT, and a lone
            // BEGIN has none at all.
            let is_begin = ticket.begins && status == stream::Status::Idle;
            self.may_have_run |= !is_wrapped && !is_begin;
            self.is_synced = batch.sync;
            self.is_between_batches = false;
            self.checkout.mark_sent();
            self.checkout
                .connection()
                .send(&batch.frames)
                .await
                .map_err(|e| self.failure_after(&e.into()))?;
            let mode = relay::Mode {
                answers: (!batch.sync).then_some(batch.answers),
                hold_all: is_wrapped && batch.sync,
            };
            let summary = self.relay(end, mode).await?;
            status = summary.status;
            if !batch.sync {
                self.answer_flush(ticket, end, summary).await?;
                continue;
            }
            if summary.is_read_only && !self.is_read && self.is_replica().await {
                return Err(stream::Failure::NotRun(outcome::Refusal::NoPrimary));
            }
            self.checkout.mark_answered();
            if status == stream::Status::Transaction && key.is_some() {
                self.record_key(ticket, key.take()).await?;
            }
            if is_wrapped {
                status = self.commit_keyed(ticket, &summary).await?;
            }
            let written = self.confirm(ticket, status, &summary).await?;
            if !summary.held.is_empty() {
                self.send(end, stream::Down::Frames(summary.held)).await?;
            }
            let rolled_back = summary.failed || summary.tag.starts_with(ROLLBACK_TAG);
            let ready = stream::Ready {
                status,
                written,
                rolled_back,
            };
            self.send(end, stream::Down::Ready(ready)).await?;
            if status == stream::Status::Idle {
                return Ok(());
            }
        }
    }

    /// Answers a batch that ends with a flush; its transaction continues.
    async fn answer_flush(
        &mut self,
        ticket: &stream::Ticket,
        end: &mut stream::StreamEnd,
        summary: relay::Summary,
    ) -> Result<(), stream::Failure> {
        let mut written = None;
        if summary.is_commit_held && !self.is_read {
            written = Some(self.confirmed_position(ticket).await?);
        }
        if !summary.held.is_empty() {
            self.send(end, stream::Down::Frames(summary.held)).await?;
        }
        let ready = stream::Ready {
            status: stream::Status::Transaction,
            written,
            rolled_back: summary.failed,
        };
        self.send(end, stream::Down::Ready(ready)).await
    }

    /// Applies the session's settings to the connection.
    async fn apply_settings(&mut self, ticket: &stream::Ticket) -> Result<(), stream::Failure> {
        for statement in &ticket.setup {
            self.run_internal(statement).await?;
        }
        if self.is_read {
            self.run_internal(READ_ONLY_SETTING).await?;
        }
        Ok(())
    }

    /// Runs a statement of the proxy before the caller's first statement.
    async fn run_internal(&mut self, statement: &str) -> Result<(), stream::Failure> {
        let answer = self.query(statement).await;
        answer
            .map(drop)
            .map_err(|_| stream::Failure::NotRun(outcome::Refusal::ConnectFailed))
    }

    pub(crate) async fn query(
        &mut self,
        statement: &str,
    ) -> Result<Option<connection::Row>, connection::ConnectionError> {
        let answer = self.checkout.connection().query(statement);
        match tokio::time::timeout_at(self.deadline, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(connection::ConnectionError::Timeout),
        }
    }

    async fn relay(
        &mut self,
        end: &mut stream::StreamEnd,
        mode: relay::Mode,
    ) -> Result<relay::Summary, stream::Failure> {
        let cancel = self.checkout.connection().cancel_key();
        let deadline = self.deadline;
        let mut stop = self.context.stop.clone();
        let result = {
            let connection = self.checkout.connection();
            let relaying = relay::relay(connection, &end.down, mode, &mut self.progress);
            tokio::pin!(relaying);
            loop {
                tokio::select! {
                    result = &mut relaying => break result,
                    up = end.up.recv() => match up {
                        Some(stream::Up::Cancel) => {
                            // If the cancel request fails, the statement keeps running, as the
                            // protocol allows.
                            let _ = cancel.cancel().await;
                        }
                        Some(stream::Up::Batch(_)) | None => break Err(relay::RelayError::CallerGone),
                    },
                    () = stop.await_phase(stop::Phase::Ending) => {
                        break Err(relay::RelayError::CallerGone);
                    }
                    () = tokio::time::sleep_until(deadline) => {
                        let error = connection::ConnectionError::Timeout;
                        break Err(relay::RelayError::Connection(error));
                    }
                }
            }
        };
        if result.is_err() {
            // Nobody waits for the statement any more; cancelling it frees its slot.
            tokio::spawn(async move { cancel.cancel().await });
        }
        result.map_err(|error| self.failure_after(&error))
    }

    async fn next_batch(&mut self, end: &mut stream::StreamEnd, status: stream::Status) -> Next {
        let idle_timeout = match status {
            stream::Status::Idle => None,
            stream::Status::Transaction | stream::Status::Failed => Some(self.context.idle),
        };
        if idle_timeout.is_some() {
            self.checkout.mark_paused();
        }
        let mut stop = self.context.stop.clone();
        loop {
            let up = tokio::select! {
                up = end.up.recv() => up,
                () = sleep_for(idle_timeout) => return Next::Ended(outcome::Refusal::IdleTransaction),
                () = stop.await_phase(stop::Phase::Ending) => {
                    return Next::Ended(outcome::Refusal::Stopping);
                }
            };
            match up {
                Some(stream::Up::Batch(batch)) => {
                    self.reset_deadline(status);
                    return Next::Batch(batch);
                }
                Some(stream::Up::Cancel) => continue,
                None => return Next::CallerGone,
            }
        }
    }

    /// Restarts the statement timeout for a further batch of an open transaction.
    fn reset_deadline(&mut self, status: stream::Status) {
        if status != stream::Status::Idle {
            self.deadline = tokio::time::Instant::now() + self.checkout.statement_timeout();
        }
    }

    /// Rolls back a transaction whose caller has gone between batches.
    async fn roll_back(&mut self) -> Result<(), stream::Failure> {
        if !self.is_synced {
            return Err(stream::Failure::Unknown(outcome::Doubt::ConnectionLost));
        }
        let rolled_back = self.query("ROLLBACK").await;
        rolled_back
            .map(drop)
            .map_err(|e| self.failure_after(&e.into()))
    }

    async fn send(
        &self,
        end: &stream::StreamEnd,
        down: stream::Down,
    ) -> Result<(), stream::Failure> {
        let sent = end.down.send(down).await;
        sent.map_err(|_| stream::Failure::Unknown(outcome::Doubt::ConnectionLost))
    }
}

async fn sleep_for(idle_timeout: Option<time::Duration>) {
    match idle_timeout {
        Some(idle_timeout) => tokio::time::sleep(idle_timeout).await,
        None => std::future::pending().await,
    }
}
