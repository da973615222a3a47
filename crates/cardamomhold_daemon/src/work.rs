//! The work of one lane at the endpoint's owner: admission, guards, confirmation.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;

use crate::endpoint;
use crate::group;
use crate::lane;
use crate::lease;
use crate::pass;
use crate::relay;
use crate::stop;

const READ_ONLY_SETTING: &str = "SET default_transaction_read_only = on";

/// Creates the table of request keys in a group.
pub const KEY_TABLE: &str = "CREATE TABLE IF NOT EXISTS cardamomhold_request_key \
     (request_key TEXT PRIMARY KEY, tag TEXT NOT NULL)";

const ROLLBACK_TAG: &str = "ROLLBACK";

/// What the work needs besides its lane.
#[derive(Debug, Clone)]
pub struct Context {
    /// The group's task.
    pub group: group::Handle,
    /// The endpoint's task.
    pub endpoint: endpoint::Handle,
    /// Weight of the caller's fair share.
    pub weight: u32,
    /// Time that the group keeps request keys.
    pub retention: time::Duration,
    /// Time that a transaction may stay idle.
    pub idle: time::Duration,
    /// How far the instance's end has come.
    pub stop: stop::Stop,
}

/// Serves a lane from its first batch to the end of its transaction.
pub async fn run(context: Context, ticket: lane::Ticket, mut end: lane::LaneEnd) {
    let failure = match Work::admit(context, &ticket).await {
        Ok(work) => work.serve(&ticket, &mut end).await.err(),
        Err(refusal) => Some(lane::Failure::NotRun(refusal)),
    };
    if let Some(failure) = failure {
        // The caller may be gone, then nobody needs the failure.
        let _ = end.down.send(lane::Down::Failure(failure)).await;
    }
}

/// Waits for the end of the term that a write was let in at.
async fn await_end(replaced: Option<&mut pass::Replaced>) {
    match replaced {
        Some(replaced) => replaced.wait().await,
        None => std::future::pending().await,
    }
}

/// The work of one lane.
pub struct Work {
    pub(crate) context: Context,
    pub(crate) lease: lease::Lease,
    pub(crate) pass: Option<pass::Pass>,
    pub(crate) is_between: bool,
    pub(crate) deadline: tokio::time::Instant,
    pub(crate) is_read: bool,
    pub(crate) may_have_run: bool,
    pub(crate) is_synced: bool,
    pub(crate) progress: relay::Progress,
}

/// What comes after a batch.
enum Next {
    /// Another batch.
    Batch(lane::Batch),
    /// The caller went away.
    Gone,
    /// The transaction is ended; nothing of it was committed.
    Ended(outcome::Refusal),
}

impl Work {
    async fn admit(context: Context, ticket: &lane::Ticket) -> Result<Self, outcome::Refusal> {
        let deadline = tokio::time::Instant::now() + ticket.deadline;
        if let lane::Access::ReadReplica(staleness) = ticket.access {
            let fresh = group::Freshness {
                member: ticket.member.clone(),
                seen: ticket.seen,
                staleness,
            };
            context.group.await_fresh(fresh, deadline).await?;
        }
        let lease = context
            .endpoint
            .admit(ticket, context.weight, deadline)
            .await?;
        let is_read = ticket.access.is_read();
        let mut pass = None;
        if !is_read {
            let entering = context.group.enter(&ticket.member, ticket.term, deadline);
            pass = Some(entering.await?);
        }
        Ok(Self {
            context,
            lease,
            pass,
            is_between: true,
            deadline,
            is_read,
            may_have_run: false,
            is_synced: true,
            progress: relay::Progress::default(),
        })
    }

    async fn serve(
        mut self,
        ticket: &lane::Ticket,
        end: &mut lane::LaneEnd,
    ) -> Result<(), lane::Failure> {
        let mut replaced = self.pass.as_ref().map(pass::Pass::watch);
        let served = tokio::select! {
            biased;
            result = self.serve_all(ticket, end) => Some(result),
            () = await_end(replaced.as_mut()) => None,
        };
        let result = served.unwrap_or_else(|| Err(self.cut_off()));
        // After anything else the connection's state is in doubt, and it is closed.
        if matches!(result, Ok(()) | Err(lane::Failure::Ran { .. })) {
            self.lease.give_back().await;
        }
        result
    }

    async fn serve_all(
        &mut self,
        ticket: &lane::Ticket,
        end: &mut lane::LaneEnd,
    ) -> Result<(), lane::Failure> {
        self.set_up(ticket).await?;
        let wraps = ticket.request_key.is_some() && !ticket.begins;
        let mut key = ticket.request_key;
        if let Some(key) = key {
            self.check_age(key)?;
        }
        if wraps {
            self.run_own("BEGIN").await?;
            self.pass(ticket, key.take()).await?;
        }
        let mut status = lane::Status::Idle;
        loop {
            self.is_between = self.is_synced;
            let batch = match self.next_batch(end, status).await {
                Next::Batch(batch) => batch,
                Next::Gone => return self.abandon().await,
                // Dropping the lease closes the connection, which rolls back.
                Next::Ended(refusal) => return Err(lane::Failure::NotRun(refusal)),
            };
            // What only a COMMIT of the guard's own would make last can't have run before
            // it; neither has a lone BEGIN any effect.
            let is_begin = ticket.begins && status == lane::Status::Idle;
            self.may_have_run |= !wraps && !is_begin;
            self.is_synced = batch.sync;
            self.is_between = false;
            self.lease.ask();
            self.lease
                .connection()
                .send(&batch.frames)
                .await
                .map_err(|e| self.doubt(&e.into()))?;
            let mode = relay::Mode {
                answers: (!batch.sync).then_some(batch.answers),
                holds: wraps && batch.sync,
            };
            let ended = self.relay(end, mode).await?;
            status = ended.status;
            if !batch.sync {
                self.answer_flush(ticket, end, ended).await?;
                continue;
            }
            if ended.is_read_only && !self.is_read && self.is_replica().await {
                return Err(lane::Failure::NotRun(outcome::Refusal::NoPrimary));
            }
            self.lease.answered();
            if status == lane::Status::Transaction && key.is_some() {
                self.pass(ticket, key.take()).await?;
            }
            if wraps {
                status = self.unwrap(ticket, &ended).await?;
            }
            let written = self.confirm(ticket, status, &ended).await?;
            if !ended.held.is_empty() {
                self.send(end, lane::Down::Frames(ended.held)).await?;
            }
            let rolled_back = ended.failed || ended.tag.starts_with(ROLLBACK_TAG);
            let ready = lane::Ready {
                status,
                written,
                rolled_back,
            };
            self.send(end, lane::Down::Ready(ready)).await?;
            if status == lane::Status::Idle {
                return Ok(());
            }
        }
    }

    /// Answers a batch that ends with a flush; its transaction goes on.
    async fn answer_flush(
        &mut self,
        ticket: &lane::Ticket,
        end: &mut lane::LaneEnd,
        ended: relay::Ended,
    ) -> Result<(), lane::Failure> {
        let mut written = None;
        if ended.is_commit_held && !self.is_read {
            written = Some(self.confirmed_position(ticket).await?);
        }
        if !ended.held.is_empty() {
            self.send(end, lane::Down::Frames(ended.held)).await?;
        }
        let ready = lane::Ready {
            status: lane::Status::Transaction,
            written,
            rolled_back: ended.failed,
        };
        self.send(end, lane::Down::Ready(ready)).await
    }

    /// Brings the connection to the session's settings.
    async fn set_up(&mut self, ticket: &lane::Ticket) -> Result<(), lane::Failure> {
        for statement in &ticket.setup {
            self.run_own(statement).await?;
        }
        if self.is_read {
            self.run_own(READ_ONLY_SETTING).await?;
        }
        Ok(())
    }

    /// Runs a statement of the proxy's own before anything of the caller's.
    async fn run_own(&mut self, statement: &str) -> Result<(), lane::Failure> {
        let answer = self.query(statement).await;
        answer
            .map(drop)
            .map_err(|_| lane::Failure::NotRun(outcome::Refusal::ConnectFailed))
    }

    pub(crate) async fn query(
        &mut self,
        statement: &str,
    ) -> Result<Option<connection::Row>, connection::ConnectionError> {
        let answer = self.lease.connection().query(statement);
        match tokio::time::timeout_at(self.deadline, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(connection::ConnectionError::Timeout),
        }
    }

    async fn relay(
        &mut self,
        end: &mut lane::LaneEnd,
        mode: relay::Mode,
    ) -> Result<relay::Ended, lane::Failure> {
        let cancel = self.lease.connection().cancel_key();
        let deadline = self.deadline;
        let mut stop = self.context.stop.clone();
        let result = {
            let connection = self.lease.connection();
            let relaying = relay::relay(connection, &end.down, mode, &mut self.progress);
            tokio::pin!(relaying);
            loop {
                tokio::select! {
                    result = &mut relaying => break result,
                    up = end.up.recv() => match up {
                        Some(lane::Up::Cancel) => {
                            // A cancel that fails leaves the statement running, as the protocol allows.
                            let _ = cancel.cancel().await;
                        }
                        Some(lane::Up::Batch(_)) | None => break Err(relay::RelayError::CallerGone),
                    },
                    () = stop.reached(stop::Phase::Ending) => {
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
            // Nobody waits for the statement any more; its slot is needed.
            tokio::spawn(async move { cancel.cancel().await });
        }
        result.map_err(|error| self.doubt(&error))
    }

    async fn next_batch(&mut self, end: &mut lane::LaneEnd, status: lane::Status) -> Next {
        let patience = match status {
            lane::Status::Idle => None,
            lane::Status::Transaction | lane::Status::Failed => Some(self.context.idle),
        };
        if patience.is_some() {
            self.lease.pause();
        }
        let mut stop = self.context.stop.clone();
        loop {
            let up = tokio::select! {
                up = end.up.recv() => up,
                () = pause(patience) => return Next::Ended(outcome::Refusal::IdleTransaction),
                () = stop.reached(stop::Phase::Ending) => {
                    return Next::Ended(outcome::Refusal::Stopping);
                }
            };
            match up {
                Some(lane::Up::Batch(batch)) => {
                    self.renew_deadline(status);
                    return Next::Batch(batch);
                }
                Some(lane::Up::Cancel) => continue,
                None => return Next::Gone,
            }
        }
    }

    /// Each statement of an open transaction has the time of the first one.
    fn renew_deadline(&mut self, status: lane::Status) {
        if status != lane::Status::Idle {
            self.deadline = tokio::time::Instant::now() + self.lease.allowance();
        }
    }

    /// Ends a lane whose caller went away between batches.
    async fn abandon(&mut self) -> Result<(), lane::Failure> {
        if !self.is_synced {
            return Err(lane::Failure::Unknown(outcome::Doubt::ConnectionLost));
        }
        let rolled_back = self.query("ROLLBACK").await;
        rolled_back.map(drop).map_err(|e| self.doubt(&e.into()))
    }

    async fn send(&self, end: &lane::LaneEnd, down: lane::Down) -> Result<(), lane::Failure> {
        let sent = end.down.send(down).await;
        sent.map_err(|_| lane::Failure::Unknown(outcome::Doubt::ConnectionLost))
    }
}

async fn pause(patience: Option<time::Duration>) {
    match patience {
        Some(patience) => tokio::time::sleep(patience).await,
        None => std::future::pending().await,
    }
}
