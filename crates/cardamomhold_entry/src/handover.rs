//! The task that moves a group to another primary, and the one that writes a group's first
//! leadership.
//!
//! Each step is derived from the state of the store and the members, so any instance can
//! continue a handover that another one started.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;
use cardamomhold_lead::voters;
use tokio::sync::mpsc;

use crate::clock;
use crate::control;
use crate::coordinator;
use crate::link;
use crate::promoter;
use crate::store;

mod admin;
mod create;
pub mod error;
mod lock;
pub mod permit;
mod promote;

pub use create::create_leadership;
pub use error::HandoverError;

/// Timeout of one call of the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Longest wait for the instances' acknowledgements before a primary that is leaving is demoted,
/// so that open transactions can finish on it.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(300);

/// Longest wait for a replica to catch up with a former primary whose last position is known.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Interval between two status polls of the members.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(80);

/// Timeout of a whole handover; the next one continues from the stored state.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Adapters to the store, the members and the platform.
#[derive(Debug, Clone)]
pub struct Adapters<S, C, P> {
    /// Reads and writes the control objects.
    pub store: S,
    /// Opens connections to members.
    pub connector: C,
    /// Promotes members.
    pub promoter: P,
}

/// Input of a handover.
#[derive(Debug, Clone)]
pub struct Job {
    /// This instance.
    pub own: name::InstanceName,
    /// The group.
    pub group: name::GroupName,
    /// Change number of the leadership that is to be replaced.
    pub change: u64,
    /// Why the group needs another primary.
    pub cause: suspicion::Cause,
    /// The group's known members.
    pub members: Vec<link::Target>,
    /// Members that are leaving, which are not promoted.
    pub leaving: Vec<name::MemberName>,
    /// Registered instances, whose acknowledgements are awaited.
    pub instances: Vec<name::InstanceName>,
}

struct Run<'a, S, C, P> {
    adapters: &'a Adapters<S, C, P>,
    job: &'a Job,
    coordinator: &'a coordinator::Handle,
    lock: promotion_lock::PromotionLock,
    voters: voters::Voters,
    record: record::Leadership,
    /// Revision of the record in the store.
    revision: u64,
    /// When the last read of the control objects that showed the lock began.
    read_at: Timestamp,
}

/// Moves the group to another primary and returns it.
///
/// # Errors
/// [`HandoverError`]; the next attempt, of any instance, continues from the stored state.
pub async fn run<S, C, P>(
    adapters: &Adapters<S, C, P>,
    job: &Job,
    coordinator: &coordinator::Handle,
) -> Result<name::MemberName, HandoverError>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    let running = async {
        let mut run = Run::begin(adapters, job, coordinator).await?;
        run.finish().await
    };
    tokio::time::timeout(HANDOVER_TIMEOUT, running)
        .await
        .unwrap_or(Err(HandoverError::TimedOut))
}

async fn with_timeout<T>(
    calling: impl Future<Output = Result<T, store::StoreError>>,
) -> Result<T, store::StoreError> {
    let lost = store::StoreError::Lost("timeout".to_owned());
    tokio::time::timeout(STORE_TIMEOUT, calling)
        .await
        .unwrap_or(Err(lost))
}

async fn read_control<S: store::Store>(store: &S) -> Result<control::Control, store::StoreError> {
    let listing = with_timeout(store.list(store::CONTROL_KIND, store::Freshness::Latest)).await?;
    Ok(control::Control::read(&listing))
}

impl<'a, S, C, P> Run<'a, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Acquires the promotion lock and ends the present leadership.
    async fn begin(
        adapters: &'a Adapters<S, C, P>,
        job: &'a Job,
        coordinator: &'a coordinator::Handle,
    ) -> Result<Self, HandoverError> {
        let read_at = clock::now();
        let control = read_control(&adapters.store).await?;
        let entry = control.records.get(job.group.as_str());
        let (record, revision) = entry.cloned().ok_or(HandoverError::Superseded)?;
        if record.change != job.change {
            // Another instance has already replaced it, without this one being informed.
            coordinator.send(coordinator::Event::ControlRead(read_at, control));
            return Err(HandoverError::Superseded);
        }
        let voters = control.voters.as_ref().map(|(v, _)| v.clone());
        let voters = voters.ok_or(HandoverError::NoVoters)?;
        let lock = lock::acquire(adapters, job, &control).await?;
        let former = control.lock.map(|(l, _)| l.holder);
        coordinator.send(coordinator::Event::LockAcquired {
            lock: lock.clone(),
            former: former.filter(|f| *f != job.own),
        });
        let mut run = Self {
            adapters,
            job,
            coordinator,
            lock,
            voters,
            record,
            revision,
            read_at,
        };
        if run.record.primary.is_some() {
            run.write(run.record.ended()).await?;
        }
        Ok(run)
    }

    /// Writes the next record of the leadership to the store.
    async fn write(&mut self, next: record::Leadership) -> Result<(), HandoverError> {
        let condition = store::Condition::Revision(self.revision);
        let written = with_timeout(control::write_record(
            &self.adapters.store,
            &next,
            condition,
        ))
        .await;
        match written {
            Ok(store::WriteOutcome::Done(document)) => self.revision = document.revision,
            Ok(store::WriteOutcome::Conflict) => return Err(HandoverError::Superseded),
            Err(error) => {
                // The write may have taken effect although its answer was lost.
                let control = read_control(&self.adapters.store).await?;
                let entry = control.records.get(self.job.group.as_str());
                let Some((_, revision)) = entry.filter(|(record, _)| *record == next) else {
                    return Err(HandoverError::Store(error));
                };
                self.revision = *revision;
            }
        }
        log::info!(
            "event=leadership_written group={} change={} primary={} term={} cause={} token={}",
            next.group,
            next.change,
            next.primary.as_ref().map_or("none", |p| p.as_str()),
            next.term,
            self.job.cause.as_str(),
            self.lock.token
        );
        self.record = next;
        Ok(())
    }

    async fn finish(&mut self) -> Result<name::MemberName, HandoverError> {
        let (acked, mut acks) = mpsc::unbounded_channel();
        self.announce(Some(acked));
        let mut awaited = acks::Acks::new(&self.voters, self.job.instances.iter().cloned());
        if self.job.cause == suspicion::Cause::Leaving {
            self.collect_acks(&mut awaited, &mut acks, DRAIN_TIME).await;
        }
        let former_position = match self.job.cause {
            suspicion::Cause::Leaving | suspicion::Cause::Gone => self.demote_and_read().await,
            suspicion::Cause::Unreachable | suspicion::Cause::Unfinished => {
                self.demote_former(self.record.term.next());
                None
            }
        };
        let mut tried = Vec::new();
        loop {
            self.collect_acks(&mut awaited, &mut acks, POLL_INTERVAL)
                .await;
            let statuses = self.statuses().await;
            let candidates = candidates(&statuses);
            let chosen = self.record.candidate.as_ref();
            if let Some(promoted) = candidate::promoted(&candidates, chosen, self.record.term) {
                let member = promoted.name.clone();
                return self.complete(&member, promoted.status.term).await;
            }
            let former = self.record.former.as_ref();
            let Some(best) = candidate::choose(&candidates, former, &tried) else {
                if tried.is_empty() {
                    return Err(HandoverError::NoCandidate);
                }
                tried.clear();
                continue;
            };
            let is_caught_up = former_position.is_none_or(|(position, since)| {
                best.status.received >= position || clock::now().since(since) > CATCH_UP_TIMEOUT
            });
            if !awaited.is_over(clock::now()) || !is_caught_up {
                continue;
            }
            let Some(permit) = self.permit().await? else {
                continue;
            };
            let member = best.name.clone();
            if chosen != Some(&member) {
                let max_term = candidates.iter().map(|c| c.status.term).max();
                let max_term = max_term.unwrap_or_default();
                self.write(self.record.with_candidate(&member, max_term))
                    .await?;
            }
            if best.status.role == candidate::Role::Primary && !self.step_down(&member).await {
                tried.push(member);
                continue;
            }
            self.check_control().await?;
            awaited.update_voters(clock::now(), &self.voters);
            if !awaited.is_over(clock::now()) {
                continue;
            }
            match self.promote(permit, &member).await? {
                promote::Outcome::Promoted(term) => return self.complete(&member, term).await,
                promote::Outcome::Failed => tried.push(member),
                promote::Outcome::Unsent => {}
            }
        }
    }

    fn announce(&self, acks: Option<mpsc::UnboundedSender<name::InstanceName>>) {
        self.coordinator.send(coordinator::Event::Announce {
            record: self.record.clone(),
            acks,
        });
    }

    /// Collects acknowledgements for `span`; returns early when the last one that was needed
    /// arrives.
    async fn collect_acks(
        &self,
        awaited: &mut acks::Acks,
        acks: &mut mpsc::UnboundedReceiver<name::InstanceName>,
        span: time::Duration,
    ) {
        let until = tokio::time::Instant::now() + span;
        let was_complete = awaited.is_over(clock::now());
        while let Ok(Some(voter)) = tokio::time::timeout_at(until, acks.recv()).await {
            awaited.record(clock::now(), &voter);
            if !was_complete && awaited.is_over(clock::now()) {
                return;
            }
        }
    }

    /// Demotes the former primary; returns its last position and when that was read.
    async fn demote_and_read(&self) -> Option<(position::Position, Timestamp)> {
        let former = self.record.former.as_ref()?;
        let target = self.job.members.iter().find(|t| t.member == *former)?;
        let status = admin::run(&self.adapters.connector, target, link::AdminCommand::Status)
            .await
            .ok()?;
        let term = status.term.max(self.record.term).next();
        let demoted = admin::run(
            &self.adapters.connector,
            target,
            link::AdminCommand::Demote(term),
        )
        .await;
        log::info!(
            "event=demoted group={} member={former} term={term} received={} ok={}",
            self.job.group,
            status.received,
            demoted.is_ok()
        );
        let last = demoted.map_or(status.received, |s| s.received);
        Some((last, clock::now()))
    }

    async fn statuses(&self) -> Vec<(name::MemberName, candidate::Status)> {
        let mut tasks = Vec::new();
        for target in &self.job.members {
            let is_former = self.record.former.as_ref() == Some(&target.member);
            if is_former || self.job.leaving.contains(&target.member) {
                continue;
            }
            let connector = self.adapters.connector.clone();
            let target = target.clone();
            tasks.push(tokio::task::spawn_local(async move {
                let status = admin::run(&connector, &target, link::AdminCommand::Status).await;
                status.ok().map(|s| (target.member, s))
            }));
        }
        let mut statuses = Vec::new();
        for task in tasks {
            if let Ok(Some(status)) = task.await {
                statuses.push(status);
            }
        }
        statuses
    }

    /// Writes and announces the new primary, and demotes the former one.
    async fn complete(
        &mut self,
        member: &name::MemberName,
        term: position::Term,
    ) -> Result<name::MemberName, HandoverError> {
        if self.record.former.as_ref() != Some(member) {
            self.demote_former(term);
        }
        self.write(self.record.with_primary(member, term)).await?;
        self.announce(None);
        Ok(member.clone())
    }

    /// Starts a task that demotes the former primary, as `term` has begun or is about to begin.
    fn demote_former(&self, term: position::Term) {
        let former = self.record.former.as_ref();
        let target = self.job.members.iter().find(|t| Some(&t.member) == former);
        if let Some(target) = target {
            let connector = self.adapters.connector.clone();
            tokio::task::spawn_local(admin::demote(connector, target.clone(), term));
        }
    }
}

fn candidates(statuses: &[(name::MemberName, candidate::Status)]) -> Vec<candidate::Candidate<'_>> {
    let mut candidates = Vec::new();
    for (name, status) in statuses {
        candidates.push(candidate::Candidate {
            name,
            status: *status,
        });
    }
    candidates
}
