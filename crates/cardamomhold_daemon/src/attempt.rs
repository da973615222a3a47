//! Runs a caller's transaction: plans each attempt and retries while that is safe.

use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_session::retry;
use cardamomhold_wire::sqlstate;
use cardamomhold_wire::statement;
use tokio::sync::watch;

use crate::batch;
use crate::caller;
use crate::clock;
use crate::filter;
use crate::owner;
use crate::peer;
use crate::plan;
use crate::stop;
use crate::stream;

/// Pause before another attempt, unless the configuration changes earlier.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Pause before another attempt after the session's retry budget is exhausted.
const EXHAUSTED_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Waits until the configuration changes, which may name a new primary, but at most for
/// `pause`.
async fn await_config_change(
    config: &mut watch::Receiver<sync::Arc<config::Config>>,
    pause: time::Duration,
) {
    if let Ok(Err(_)) = tokio::time::timeout(pause, config.changed()).await {
        // The configuration's task has ended, so no change will arrive.
        tokio::time::sleep(pause).await;
    }
}

/// An open transaction and its stream.
#[derive(Debug)]
pub struct OpenTransaction {
    stream: stream::Stream,
    access: stream::Access,
    /// State of the transaction.
    pub status: stream::Status,
    statement_timeout: time::Duration,
}

impl OpenTransaction {
    /// Whether the transaction is a declared read.
    pub(crate) fn is_read(&self) -> bool {
        self.access.is_read()
    }
}

/// Result of a batch.
enum BatchEnd {
    Ready(stream::Ready),
    Failure {
        failure: stream::Failure,
        forwarded: bool,
    },
}

impl caller::Caller {
    /// Runs a batch in the open transaction, or in a new one.
    pub(crate) async fn transact(&mut self, batch: &batch::Batch) -> Result<(), caller::End> {
        let start = tokio::time::Instant::now();
        let was_open = self.transaction.is_some();
        let batch_end = match self.transaction.take() {
            Some(open) => self.continue_transaction(open, batch).await?,
            None => self.run_with_retries(batch, start).await?,
        };
        match batch_end {
            BatchEnd::Ready(ready) => {
                self.context.metrics.record_statement(
                    &self.group,
                    self.session.rank,
                    start.elapsed(),
                );
                self.finish_batch(batch, ready, was_open).await
            }
            BatchEnd::Failure { failure, .. } => {
                // Dropping the staged settings can't exceed the limit on settings.
                let _ = self.session.end_transaction(false);
                self.report_failure(batch, &failure).await
            }
        }
    }

    async fn finish_batch(
        &mut self,
        batch: &batch::Batch,
        ready: stream::Ready,
        was_open: bool,
    ) -> Result<(), caller::End> {
        if let Some(written) = ready.written {
            self.observe_position(written);
        }
        if batch.executes() {
            self.stage_settings(batch);
        }
        if !batch.sync {
            return self.flush().await;
        }
        if ready.status == stream::Status::Idle {
            self.end_transaction(ready.rolled_back);
            if batch.executes() || was_open {
                self.session.end_request();
            }
        }
        self.send_ready().await
    }

    fn end_transaction(&mut self, rolled_back: bool) {
        if self.session.end_transaction(!rolled_back).is_err() {
            log::warn!("event=too_many_settings group={}", self.group);
        }
    }

    fn observe_position(&mut self, written: position::Position) {
        let group = self.group.clone();
        if self.session.token.observe(&group, written).is_err() {
            log::warn!("event=token_full group={group}");
        }
    }

    /// Stages the batch's settings, so that the session's next connections get them too.
    fn stage_settings(&mut self, batch: &batch::Batch) {
        for statement in &batch.statements {
            let statement::Class::Set(setting) = &statement.class else {
                continue;
            };
            if setting.local {
                continue;
            }
            let text = setting.value.as_ref().map(|_| statement.text.as_str());
            self.session.stage(&setting.name, text);
        }
    }

    async fn report_failure(
        &mut self,
        batch: &batch::Batch,
        failure: &stream::Failure,
    ) -> Result<(), caller::End> {
        if let stream::Failure::Ran { tag, written } = failure {
            self.observe_position(*written);
            self.session.end_request();
            // The stored tag is the whole answer of the earlier run.
            if !batch.begins() && !tag.is_empty() {
                return self.answer_locally(batch, tag, None).await;
            }
        }
        if let stream::Failure::Unknown(doubt) = failure {
            self.session.set_in_doubt(*doubt);
        }
        let reason = match failure.outcome() {
            outcome::Outcome::NotRun(refusal) => refusal.as_str(),
            outcome::Outcome::Unknown(doubt) => doubt.as_str(),
            outcome::Outcome::Ran => "ran_before",
        };
        self.context
            .metrics
            .record_failure(&self.group, self.session.rank, reason);
        let report = sqlstate::report(failure.outcome());
        self.fail(batch, &report).await
    }

    async fn continue_transaction(
        &mut self,
        mut open: OpenTransaction,
        batch: &batch::Batch,
    ) -> Result<BatchEnd, caller::End> {
        let deadline = tokio::time::Instant::now() + open.statement_timeout + caller::ANSWER_MARGIN;
        let up = stream::Up::Batch(stream::Batch {
            frames: batch.frames.clone(),
            sync: batch.sync,
            answers: batch.answers(),
        });
        // A stream that has ended still delivers its failure.
        let _ = open.stream.up.send(up).await;
        let batch_end = self.await_answer(&mut open.stream, batch, deadline).await?;
        if let BatchEnd::Ready(ready) = &batch_end {
            if batch.sync {
                open.status = ready.status;
            }
            if ready.status != stream::Status::Idle {
                self.transaction = Some(open);
            }
        }
        Ok(batch_end)
    }

    /// Retries until the batch has run or may have run, or its deadline has passed.
    async fn run_with_retries(
        &mut self,
        batch: &batch::Batch,
        start: tokio::time::Instant,
    ) -> Result<BatchEnd, caller::End> {
        let rule = self.context.config.borrow().rank_rule(self.session.rank);
        let statement_timeout = self
            .session
            .deadline
            .unwrap_or(time::Duration::from_millis(rule.deadline_ms));
        let deadline = start + statement_timeout;
        let mut config = self.context.config.clone();
        let clock = clock::Clock::start();
        let retry_deadline = clock
            .now()
            .after(statement_timeout.saturating_sub(RETRY_PAUSE));
        let idempotency = self.idempotency(batch);
        let mut retry = retry::Retry::resume(idempotency, retry_deadline, self.session.doubt());
        loop {
            config.mark_unchanged();
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let mut replica = None;
            let mut address = None;
            let (failure, forwarded) = match self.plan(batch, remaining, &retry) {
                Ok(plan) => {
                    if let stream::Access::ReadReplica(_) = plan.ticket.access {
                        replica = Some(plan.ticket.member.clone());
                    }
                    address.clone_from(&plan.address);
                    match self
                        .run_attempt(plan, batch, statement_timeout, deadline)
                        .await?
                    {
                        BatchEnd::Ready(ready) => {
                            self.budget.record_success();
                            return Ok(BatchEnd::Ready(ready));
                        }
                        BatchEnd::Failure { failure, forwarded } => (failure, forwarded),
                    }
                }
                Err(refusal) => (stream::Failure::NotRun(refusal), false),
            };
            if matches!(failure, stream::Failure::Ran { .. }) && !forwarded {
                return Ok(BatchEnd::Failure { failure, forwarded });
            }
            let attempt = retry::Attempt {
                outcome: failure.outcome(),
                replica: replica.as_ref(),
                owner: address.as_deref(),
                forwarded,
            };
            match retry.record_failure(clock.now(), attempt) {
                retry::Step::Now => {}
                retry::Step::Later => {
                    let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
                    let pause = if self.budget.spend() {
                        RETRY_PAUSE
                    } else {
                        EXHAUSTED_RETRY_PAUSE
                    };
                    await_config_change(&mut config, pause.min(remaining)).await;
                }
                retry::Step::GiveUp(outcome) => {
                    let failure = with_outcome(failure, outcome);
                    return Ok(BatchEnd::Failure { failure, forwarded });
                }
            }
        }
    }

    async fn open_stream(&self, plan: plan::Plan) -> stream::Stream {
        let (stream, end) = stream::pair();
        // If the receiving task has ended, it drops its end of the stream, which reports that.
        match plan.address {
            None => {
                let open = owner::Request::Open(Box::new(plan.ticket), end);
                let _ = self.context.owner.send(open).await;
            }
            Some(address) => {
                let forward = peer::Forward {
                    address,
                    ticket: plan.ticket,
                    end,
                };
                let _ = self.context.peers.send(forward).await;
            }
        }
        stream
    }

    async fn run_attempt(
        &mut self,
        plan: plan::Plan,
        batch: &batch::Batch,
        statement_timeout: time::Duration,
        deadline: tokio::time::Instant,
    ) -> Result<BatchEnd, caller::End> {
        let access = plan.ticket.access;
        let mut stream = self.open_stream(plan).await;
        let up = stream::Up::Batch(stream::Batch {
            frames: batch.frames.clone(),
            sync: batch.sync,
            answers: batch.answers(),
        });
        // A stream that was refused immediately still delivers its failure.
        let _ = stream.up.send(up).await;
        let batch_end = self
            .await_answer(&mut stream, batch, deadline + caller::ANSWER_MARGIN)
            .await?;
        if let BatchEnd::Ready(ready) = &batch_end {
            if access.is_read() {
                self.context
                    .metrics
                    .record_read(&self.group, access != stream::Access::ReadPrimary);
            }
            if ready.status != stream::Status::Idle {
                self.transaction = Some(OpenTransaction {
                    stream,
                    access,
                    status: ready.status,
                    statement_timeout,
                });
            }
        }
        Ok(batch_end)
    }

    async fn await_answer(
        &mut self,
        stream: &mut stream::Stream,
        batch: &batch::Batch,
        deadline: tokio::time::Instant,
    ) -> Result<BatchEnd, caller::End> {
        let mut filter = filter::Filter::new(&batch.steps);
        let mut forwarded = false;
        let mut stop = self.context.stop.clone();
        loop {
            tokio::select! {
                down = stream.down.recv() => match down {
                    Some(stream::Down::Frames(frames)) => {
                        forwarded = true;
                        filter.append(frames, &mut self.out);
                        self.flush().await?;
                    }
                    Some(stream::Down::Ready(ready)) => return Ok(BatchEnd::Ready(ready)),
                    Some(stream::Down::Failure(failure)) => return Ok(BatchEnd::Failure { failure, forwarded }),
                    None => return Ok(BatchEnd::Failure {
                        failure: stream::Failure::Unknown(outcome::Doubt::OwnerLost),
                        forwarded,
                    }),
                },
                target = self.cancels.recv() => {
                    if target.is_ok_and(|t| t == self.cancel_target) {
                        // If the stream ends at the same moment, there is nothing to cancel.
                        let _ = stream.up.send(stream::Up::Cancel).await;
                    }
                }
                () = tokio::time::sleep_until(deadline) => {
                    let failure = stream::Failure::Unknown(outcome::Doubt::DeadlinePassed);
                    return Ok(BatchEnd::Failure { failure, forwarded });
                }
                () = stop.await_phase(stop::Phase::Ending) => {
                    // `forwarded` prevents another attempt, for which there is no time left.
                    let failure = stream::Failure::Unknown(outcome::Doubt::OwnerLost);
                    return Ok(BatchEnd::Failure { failure, forwarded: true });
                }
            }
        }
    }
}

/// Replaces the failure by the outcome that is reported to the caller.
fn with_outcome(failure: stream::Failure, outcome: outcome::Outcome) -> stream::Failure {
    match outcome {
        outcome::Outcome::NotRun(refusal) => stream::Failure::NotRun(refusal),
        outcome::Outcome::Unknown(doubt) => stream::Failure::Unknown(doubt),
        outcome::Outcome::Ran => failure,
    }
}
