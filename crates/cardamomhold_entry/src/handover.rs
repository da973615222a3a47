//! The task that moves a group to another primary, and the one that writes a group's first
//! leadership.
//!
//! Each step is derived from the state of the store and the members, so any instance can
//! continue a handover that another one started.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::succession;
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
mod members;
pub mod permit;
mod promote;
mod record;
mod survey;

pub use create::acquire_first_lock;
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
    /// Members that are leaving, which are not promoted, or only for a moment.
    pub leaving: Vec<name::MemberName>,
    /// Members that were listed a while ago and are no longer.
    pub departed: Vec<durability::Holder>,
    /// Replicas that must have received a commit before it is acknowledged; none if the
    /// configuration that this instance has doesn't name the group.
    pub sync_replicas: Option<usize>,
    /// Registered instances, whose acknowledgements are awaited.
    pub instances: Vec<name::InstanceName>,
}

struct Run<'a, S, C, P> {
    adapters: &'a Adapters<S, C, P>,
    job: &'a Job,
    coordinator: &'a coordinator::Handle,
    lock: promotion_lock::PromotionLock,
    voters: voters::Voters,
    record: succession::Succession,
    /// Revision of the record in the store.
    revision: u64,
    /// An operator's order for the group.
    order: Option<succession::Order>,
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
        if record.leadership.change != job.change {
            // Another instance has already replaced it, without this one being informed.
            coordinator.send(coordinator::Event::ControlRead(read_at, control));
            return Err(HandoverError::Superseded);
        }
        let voters = control.voters.as_ref().map(|(v, _)| v.clone());
        let voters = voters.ok_or(HandoverError::NoVoters)?;
        let lock = lock::acquire(&adapters.store, &job.own, control.lock.as_ref()).await?;
        let order = control.orders.get(job.group.as_str()).cloned();
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
            order,
            read_at,
        };
        run.end_leadership().await?;
        Ok(run)
    }

    async fn finish(&mut self) -> Result<name::MemberName, HandoverError> {
        let (acked, mut acks) = mpsc::unbounded_channel();
        self.announce(Some(acked));
        let mut awaited = acks::Acks::new(&self.voters, self.job.instances.iter().cloned());
        if self.job.cause == suspicion::Cause::Leaving {
            self.collect_acks(&mut awaited, &mut acks, DRAIN_TIME).await;
        }
        let is_synchronous = !self.record.durability.is_asynchronous();
        let former_position = match self.job.cause {
            // The replicas may need what only the former primary can send them.
            _ if is_synchronous => None,
            suspicion::Cause::Leaving | suspicion::Cause::Gone => self.demote_and_read().await,
            suspicion::Cause::Unreachable | suspicion::Cause::Unfinished => {
                self.demote_former(self.record.leadership.term.next());
                None
            }
        };
        let mut tried = Vec::new();
        let begun = clock::now();
        let inherited = self.record.leadership.candidate.clone();
        let mut waiting = None;
        let mut survey = survey::Survey::default();
        loop {
            self.collect_acks(&mut awaited, &mut acks, POLL_INTERVAL)
                .await;
            let ended_at = awaited.ended_at();
            if is_synchronous && !awaited.is_over(clock::now()) {
                // Answers to earlier questions don't show what is acknowledged until then.
                continue;
            }
            let waited = waiting.map_or(time::Duration::ZERO, |at| clock::now().since(at));
            let progress = succession::Progress {
                members: self.job.members.len(),
                tried: &tried,
                waited,
                running: clock::now().since(begun),
                inherited: inherited.as_ref(),
                order: self.order.as_ref(),
                leaving: &self.job.leaving,
                // Until the members have answered.
                requirement: durability::Requirement::Unknown,
            };
            let statuses = self.statuses(progress, &mut survey).await;
            let candidates = members::candidates(&statuses);
            let progress = succession::Progress {
                requirement: survey.requirement(&self.record),
                ..progress
            };
            let best = match self.record.step(&candidates, progress) {
                succession::Step::Complete(promoted) => {
                    if let Some(primary) = self.accept(promoted, inherited.as_ref()).await? {
                        return Ok(primary);
                    }
                    tried.clear();
                    waiting = None;
                    continue;
                }
                succession::Step::Promote(best) => best,
                succession::Step::GiveUp => {
                    survey.log(&self.record, progress.requirement, None);
                    return Err(self.give_up(&candidates, progress.requirement));
                }
                step => {
                    if waiting.is_none() {
                        waiting = Some(clock::now());
                        self.demote_superseded(&candidates);
                    }
                    if matches!(step, succession::Step::Retry) {
                        tried.clear();
                    }
                    continue;
                }
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
            if !self.record.has_candidate(&member, self.order.as_ref()) {
                let max_term = candidates.iter().map(|c| c.status.term).max();
                let max_term = max_term.unwrap_or_default();
                survey.log(&self.record, progress.requirement, Some(&member));
                let next = self.record.with_candidate(
                    best,
                    max_term,
                    self.order.as_ref(),
                    progress.requirement,
                );
                self.write(next).await?;
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
            if is_synchronous && awaited.ended_at() > ended_at {
                // With other voters commits may have been acknowledged until later.
                survey = survey::Survey::default();
                continue;
            }
            match self.promote(permit, &member).await? {
                promote::Outcome::Promoted(status) if self.record.may_lead(&status) => {
                    let promoted = candidate::Candidate {
                        name: &member,
                        status,
                    };
                    if let Some(primary) = self.accept(promoted, inherited.as_ref()).await? {
                        return Ok(primary);
                    }
                    tried.clear();
                    waiting = None;
                }
                promote::Outcome::Promoted(status) => {
                    log::warn!(
                        "event=promoted_ineligible group={} member={member} term={} received={}",
                        self.job.group,
                        status.term,
                        status.received
                    );
                    tried.push(member);
                }
                promote::Outcome::Failed => tried.push(member),
                promote::Outcome::Unsent => {}
            }
        }
    }

    fn announce(&self, acks: Option<mpsc::UnboundedSender<name::InstanceName>>) {
        self.coordinator.send(coordinator::Event::Announce {
            record: self.record.leadership.clone(),
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
}
