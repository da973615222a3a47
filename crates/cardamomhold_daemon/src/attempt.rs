//! A caller's transaction: choosing the way, trying, and trying again while that is safe.

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
use crate::lane;
use crate::owner;
use crate::peer;
use crate::plan;
use crate::stop;

/// Pause before another attempt while the configuration has not changed.
const RETRY: time::Duration = time::Duration::from_millis(50);

/// The same pause once the session's budget of retries is spent.
const SLOW_RETRY: time::Duration = time::Duration::from_millis(500);

/// Waits until the configuration changes, which may bring the new primary, or a while.
async fn await_change(
    config: &mut watch::Receiver<sync::Arc<config::Config>>,
    pause: time::Duration,
) {
    if let Ok(Err(_)) = tokio::time::timeout(pause, config.changed()).await {
        // No further change is to come.
        tokio::time::sleep(pause).await;
    }
}

/// A lane whose transaction is open.
#[derive(Debug)]
pub struct OpenLane {
    lane: lane::Lane,
    access: lane::Access,
    /// State of the transaction.
    pub status: lane::Status,
    allowance: time::Duration,
}

impl OpenLane {
    /// Whether its transaction is a declared read.
    pub(crate) fn is_read(&self) -> bool {
        self.access.is_read()
    }
}

/// How a batch ended.
enum Ended {
    Ready(lane::Ready),
    Failure {
        failure: lane::Failure,
        forwarded: bool,
    },
}

impl caller::Caller {
    /// Runs a batch in the open transaction, or in a new one.
    pub(crate) async fn transact(&mut self, batch: &batch::Batch) -> Result<(), caller::End> {
        let start = tokio::time::Instant::now();
        let was_open = self.lane.is_some();
        let ended = match self.lane.take() {
            Some(open) => self.go_on(open, batch).await?,
            None => self.try_all(batch, start).await?,
        };
        match ended {
            Ended::Ready(ready) => {
                self.context
                    .metrics
                    .answered(&self.group, self.session.rank, start.elapsed());
                self.finish(batch, ready, was_open).await
            }
            Ended::Failure { failure, .. } => {
                // A change that finds no room was never staged for long.
                let _ = self.session.settle(false);
                self.give_up(batch, &failure).await
            }
        }
    }

    async fn finish(
        &mut self,
        batch: &batch::Batch,
        ready: lane::Ready,
        was_open: bool,
    ) -> Result<(), caller::End> {
        if let Some(written) = ready.written {
            self.see(written);
        }
        if batch.executes() {
            self.stage_settings(batch);
        }
        if !batch.sync {
            return self.flush().await;
        }
        if ready.status == lane::Status::Idle {
            self.end_transaction(ready.rolled_back);
            if batch.executes() || was_open {
                self.session.end_request();
            }
        }
        self.ready().await
    }

    fn end_transaction(&mut self, rolled_back: bool) {
        if self.session.settle(!rolled_back).is_err() {
            log::warn!("event=too_many_settings group={}", self.group);
        }
    }

    fn see(&mut self, written: position::Position) {
        let group = self.group.clone();
        if self.session.token.observe(&group, written).is_err() {
            log::warn!("event=token_full group={group}");
        }
    }

    /// Carries a setting of the endpoint's own over to the session's next connections.
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

    async fn give_up(
        &mut self,
        batch: &batch::Batch,
        failure: &lane::Failure,
    ) -> Result<(), caller::End> {
        if let lane::Failure::Ran { tag, written } = failure {
            self.see(*written);
            self.session.end_request();
            if !batch.begins() && !tag.is_empty() {
                return self.answer_locally(batch, tag, None).await;
            }
        }
        if let lane::Failure::Unknown(doubt) = failure {
            self.session.leave_in_doubt(*doubt);
        }
        let reason = match failure.outcome() {
            outcome::Outcome::NotRun(refusal) => refusal.as_str(),
            outcome::Outcome::Unknown(doubt) => doubt.as_str(),
            outcome::Outcome::Ran => "ran_before",
        };
        self.context
            .metrics
            .failed(&self.group, self.session.rank, reason);
        let report = sqlstate::report(failure.outcome());
        self.fail(batch, &report).await
    }

    async fn go_on(
        &mut self,
        mut open: OpenLane,
        batch: &batch::Batch,
    ) -> Result<Ended, caller::End> {
        let deadline = tokio::time::Instant::now() + open.allowance + caller::ANSWER_MARGIN;
        let up = lane::Up::Batch(lane::Batch {
            frames: batch.frames.clone(),
            sync: batch.sync,
            answers: batch.answers(),
        });
        // A lane that has ended still reports why.
        let _ = open.lane.up.send(up).await;
        let ended = self.await_end(&mut open.lane, batch, deadline).await?;
        if let Ended::Ready(ready) = &ended {
            if batch.sync {
                open.status = ready.status;
            }
            if ready.status != lane::Status::Idle {
                self.lane = Some(open);
            }
        }
        Ok(ended)
    }

    /// Tries until the batch has run, or may have run, or its deadline has passed.
    async fn try_all(
        &mut self,
        batch: &batch::Batch,
        start: tokio::time::Instant,
    ) -> Result<Ended, caller::End> {
        let rule = self.context.config.borrow().rank_rule(self.session.rank);
        let allowance = self
            .session
            .deadline
            .unwrap_or(time::Duration::from_millis(rule.deadline_ms));
        let deadline = start + allowance;
        let mut config = self.context.config.clone();
        let clock = clock::Clock::start();
        let last = clock.now().after(allowance.saturating_sub(RETRY));
        let guard = self.guard_of(batch);
        let mut retry = retry::Retry::resume(guard, last, self.session.doubt());
        loop {
            config.mark_unchanged();
            let left = deadline.saturating_duration_since(tokio::time::Instant::now());
            let mut replica = None;
            let mut address = None;
            let (failure, forwarded) = match self.plan(batch, left, &retry) {
                Ok(plan) => {
                    if let lane::Access::ReadReplica(_) = plan.ticket.access {
                        replica = Some(plan.ticket.member.clone());
                    }
                    address.clone_from(&plan.address);
                    match self.try_once(plan, batch, allowance, deadline).await? {
                        Ended::Ready(ready) => {
                            self.budget.record_success();
                            return Ok(Ended::Ready(ready));
                        }
                        Ended::Failure { failure, forwarded } => (failure, forwarded),
                    }
                }
                Err(refusal) => (lane::Failure::NotRun(refusal), false),
            };
            if matches!(failure, lane::Failure::Ran { .. }) && !forwarded {
                return Ok(Ended::Failure { failure, forwarded });
            }
            let attempt = retry::Attempt {
                outcome: failure.outcome(),
                replica: replica.as_ref(),
                owner: address.as_deref(),
                forwarded,
            };
            match retry.fail(clock.now(), attempt) {
                retry::Step::Now => {}
                retry::Step::Later => {
                    let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                    let pause = if self.budget.spend() {
                        RETRY
                    } else {
                        SLOW_RETRY
                    };
                    await_change(&mut config, pause.min(left)).await;
                }
                retry::Step::GiveUp(outcome) => {
                    let failure = with_outcome(failure, outcome);
                    return Ok(Ended::Failure { failure, forwarded });
                }
            }
        }
    }

    async fn open(&self, plan: plan::Plan) -> lane::Lane {
        let (lane, end) = lane::pair();
        // When the receiving task has ended, the lane's end is dropped and the lane reports it.
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
        lane
    }

    async fn try_once(
        &mut self,
        plan: plan::Plan,
        batch: &batch::Batch,
        allowance: time::Duration,
        deadline: tokio::time::Instant,
    ) -> Result<Ended, caller::End> {
        let access = plan.ticket.access;
        let mut lane = self.open(plan).await;
        let up = lane::Up::Batch(lane::Batch {
            frames: batch.frames.clone(),
            sync: batch.sync,
            answers: batch.answers(),
        });
        // A lane that was refused at once still reports why.
        let _ = lane.up.send(up).await;
        let ended = self
            .await_end(&mut lane, batch, deadline + caller::ANSWER_MARGIN)
            .await?;
        if let Ended::Ready(ready) = &ended {
            if access.is_read() {
                self.context
                    .metrics
                    .read(&self.group, access != lane::Access::ReadPrimary);
            }
            if ready.status != lane::Status::Idle {
                self.lane = Some(OpenLane {
                    lane,
                    access,
                    status: ready.status,
                    allowance,
                });
            }
        }
        Ok(ended)
    }

    async fn await_end(
        &mut self,
        lane: &mut lane::Lane,
        batch: &batch::Batch,
        deadline: tokio::time::Instant,
    ) -> Result<Ended, caller::End> {
        let mut filter = filter::Filter::new(&batch.steps);
        let mut forwarded = false;
        let mut stop = self.context.stop.clone();
        loop {
            tokio::select! {
                down = lane.down.recv() => match down {
                    Some(lane::Down::Frames(frames)) => {
                        forwarded = true;
                        filter.put(frames, &mut self.out);
                        self.flush().await?;
                    }
                    Some(lane::Down::Ready(ready)) => return Ok(Ended::Ready(ready)),
                    Some(lane::Down::Failure(failure)) => return Ok(Ended::Failure { failure, forwarded }),
                    None => return Ok(Ended::Failure {
                        failure: lane::Failure::Unknown(outcome::Doubt::OwnerLost),
                        forwarded,
                    }),
                },
                target = self.cancels.recv() => {
                    if target.is_ok_and(|t| t == self.own) {
                        // A lane that ends at the same moment has nothing to cancel.
                        let _ = lane.up.send(lane::Up::Cancel).await;
                    }
                }
                () = tokio::time::sleep_until(deadline) => {
                    let failure = lane::Failure::Unknown(outcome::Doubt::DeadlinePassed);
                    return Ok(Ended::Failure { failure, forwarded });
                }
                () = stop.reached(stop::Phase::Ending) => {
                    // There is no time for another attempt, whatever was forwarded.
                    let failure = lane::Failure::Unknown(outcome::Doubt::OwnerLost);
                    return Ok(Ended::Failure { failure, forwarded: true });
                }
            }
        }
    }
}

/// The failure as the caller is to be told of it.
fn with_outcome(failure: lane::Failure, outcome: outcome::Outcome) -> lane::Failure {
    match outcome {
        outcome::Outcome::NotRun(refusal) => lane::Failure::NotRun(refusal),
        outcome::Outcome::Unknown(doubt) => lane::Failure::Unknown(doubt),
        outcome::Outcome::Ran => failure,
    }
}
