//! The task that brings a group under another primary, and the one that writes a group's
//! first leadership.
//!
//! Each step is derived from the store and the members, so that any instance can go on
//! where another stopped.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;
use tokio::sync::mpsc;

use crate::clock;
use crate::control;
use crate::keeper;
use crate::link;
use crate::promoter;
use crate::store;

pub mod error;
mod orders;
mod promote;

pub use error::HandoverError;

/// Longest wait for one call of the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Time that open transactions get at a primary that is handed over.
const DRAIN: time::Duration = time::Duration::from_millis(300);

/// Longest wait for a replica to catch up with a primary that is handed over.
const CATCH_UP: time::Duration = time::Duration::from_millis(700);

/// Pause between two looks at the members.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(80);

/// Time after which a handover ends without success; another one goes on.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// The edges that a handover works with.
#[derive(Debug, Clone)]
pub struct Edges<S, C, P> {
    /// The store.
    pub store: S,
    /// Opens connections to members.
    pub connector: C,
    /// Promotes.
    pub promoter: P,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub struct Job {
    /// This instance.
    pub own: name::InstanceName,
    /// The group.
    pub group: name::GroupName,
    /// The change of the leadership that is to be seen to.
    pub change: u64,
    /// Why.
    pub cause: suspicion::Cause,
    /// The group's members that are known.
    pub members: Vec<link::Target>,
    /// Members that leave.
    pub leaving: Vec<name::MemberName>,
    /// Registered instances.
    pub voters: Vec<name::InstanceName>,
}

struct Run<'a, S, C, P> {
    edges: &'a Edges<S, C, P>,
    job: &'a Job,
    keeper: &'a keeper::Handle,
    duty: promotion_lock::PromotionLock,
    record: record::Leadership,
    revision: u64,
    looked: Timestamp,
}

/// Brings the group under another primary.
///
/// # Errors
/// [`HandoverError`]; what was begun is left for the next attempt, of any instance.
pub async fn run<S, C, P>(
    edges: &Edges<S, C, P>,
    job: &Job,
    keeper: &keeper::Handle,
) -> Result<name::MemberName, HandoverError>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    let running = async {
        let mut run = Run::begin(edges, job, keeper).await?;
        run.finish().await
    };
    tokio::time::timeout(LIMIT, running)
        .await
        .unwrap_or(Err(HandoverError::OutOfTime))
}

async fn in_time<T>(
    calling: impl Future<Output = Result<T, store::StoreError>>,
) -> Result<T, store::StoreError> {
    let lost = store::StoreError::Lost("timeout".to_owned());
    tokio::time::timeout(STORE_TIMEOUT, calling)
        .await
        .unwrap_or(Err(lost))
}

async fn look<S: store::Store>(store: &S) -> Result<control::Control, store::StoreError> {
    let listing = in_time(store.list(store::CONTROL)).await?;
    Ok(control::Control::read(&listing))
}

impl<'a, S, C, P> Run<'a, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Takes the duty and ends the present leadership.
    async fn begin(
        edges: &'a Edges<S, C, P>,
        job: &'a Job,
        keeper: &'a keeper::Handle,
    ) -> Result<Self, HandoverError> {
        let looked = clock::now();
        let known = look(&edges.store).await?;
        let found = known.records.get(job.group.as_str());
        let (record, revision) = found.cloned().ok_or(HandoverError::Overtaken)?;
        if record.change != job.change {
            // Others have seen to it while this instance did not hear of it.
            keeper.tell(keeper::Event::Confirmed(looked, known));
            return Err(HandoverError::Overtaken);
        }
        let duty = take_duty(edges, job, &known).await?;
        let mut run = Self {
            edges,
            job,
            keeper,
            duty,
            record,
            revision,
            looked,
        };
        if run.record.primary.is_some() {
            run.write(run.record.ended()).await?;
        }
        Ok(run)
    }

    /// Writes the next record and tells everybody.
    async fn write(&mut self, next: record::Leadership) -> Result<(), HandoverError> {
        let condition = store::Condition::Revision(self.revision);
        let written = in_time(control::write_record(&self.edges.store, &next, condition)).await;
        match written {
            Ok(store::Written::Done(document)) => self.revision = document.revision,
            Ok(store::Written::Conflict) => return Err(HandoverError::Overtaken),
            Err(error) => {
                // The answer may be lost, and the write in force.
                let known = look(&self.edges.store).await?;
                let found = known.records.get(self.job.group.as_str());
                let Some((_, revision)) = found.filter(|(record, _)| *record == next) else {
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
            self.duty.token
        );
        self.record = next;
        Ok(())
    }

    async fn finish(&mut self) -> Result<name::MemberName, HandoverError> {
        let (acked, mut acks) = mpsc::unbounded_channel();
        self.announce(Some(acked));
        let mut over = acks::Acks::new(self.job.voters.iter().cloned());
        if self.job.cause == suspicion::Cause::Leaving {
            self.wait_for(&mut over, &mut acks, DRAIN).await;
        }
        let last = match self.job.cause {
            suspicion::Cause::Leaving | suspicion::Cause::Gone => self.retire().await,
            suspicion::Cause::Unreachable | suspicion::Cause::Unfinished => {
                self.demote_former(self.record.term.next());
                None
            }
        };
        let mut tried = Vec::new();
        loop {
            self.wait_for(&mut over, &mut acks, LOOK_EVERY).await;
            let statuses = self.statuses().await;
            let candidates = candidates(&statuses);
            let chosen = self.record.candidate.as_ref();
            if let Some(found) = candidate::promoted(&candidates, chosen, self.record.term) {
                let member = found.name.clone();
                return self.conclude(&member, found.status.term).await;
            }
            let former = self.record.former.as_ref();
            let Some(best) = candidate::choose(&candidates, former, &tried) else {
                if tried.is_empty() {
                    return Err(HandoverError::NoCandidate);
                }
                tried.clear();
                continue;
            };
            let is_level = last.is_none_or(|(position, since)| {
                best.status.received >= position || clock::now().since(since) > CATCH_UP
            });
            if !over.is_over(clock::now()) || !is_level {
                continue;
            }
            let member = best.name.clone();
            if chosen != Some(&member) {
                let seen = candidates.iter().map(|c| c.status.term).max();
                let seen = seen.unwrap_or_default();
                self.write(self.record.with_candidate(&member, seen))
                    .await?;
                self.looked = clock::now();
            }
            if best.status.role == candidate::Role::Primary && !self.step_down(&member).await {
                tried.push(member);
                continue;
            }
            match self.promote(&member).await? {
                Some(term) => return self.conclude(&member, term).await,
                None => tried.push(member),
            }
        }
    }

    fn announce(&self, acks: Option<mpsc::UnboundedSender<name::InstanceName>>) {
        self.keeper.tell(keeper::Event::Announce {
            record: self.record.clone(),
            acks,
        });
    }

    /// Takes acknowledgements for a while.
    async fn wait_for(
        &self,
        over: &mut acks::Acks,
        acks: &mut mpsc::UnboundedReceiver<name::InstanceName>,
        span: time::Duration,
    ) {
        let until = tokio::time::Instant::now() + span;
        let was_over = over.is_over(clock::now());
        while let Ok(Some(voter)) = tokio::time::timeout_at(until, acks.recv()).await {
            over.record(clock::now(), &voter);
            if !was_over && over.is_over(clock::now()) {
                return;
            }
        }
    }

    /// Tells the former primary that it leads no longer; returns its last position.
    async fn retire(&self) -> Option<(position::Position, Timestamp)> {
        let former = self.record.former.as_ref()?;
        let target = self.job.members.iter().find(|t| t.member == *former)?;
        let status = orders::order(&self.edges.connector, target, link::Order::Status)
            .await
            .ok()?;
        let term = status.term.max(self.record.term).next();
        let demoted = orders::order(&self.edges.connector, target, link::Order::Demote(term)).await;
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
        let mut asked = Vec::new();
        for target in &self.job.members {
            let is_former = self.record.former.as_ref() == Some(&target.member);
            if is_former || self.job.leaving.contains(&target.member) {
                continue;
            }
            let connector = self.edges.connector.clone();
            let target = target.clone();
            asked.push(tokio::task::spawn_local(async move {
                let status = orders::order(&connector, &target, link::Order::Status).await;
                status.ok().map(|s| (target.member, s))
            }));
        }
        let mut statuses = Vec::new();
        for answer in asked {
            if let Ok(Some(status)) = answer.await {
                statuses.push(status);
            }
        }
        statuses
    }

    /// Names the new primary and sees to the former one.
    async fn conclude(
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

    /// Starts telling the former primary that a new term has begun or is about to.
    fn demote_former(&self, term: position::Term) {
        let former = self.record.former.as_ref();
        let target = self.job.members.iter().find(|t| Some(&t.member) == former);
        if let Some(target) = target {
            let connector = self.edges.connector.clone();
            tokio::task::spawn_local(orders::demote(connector, target.clone(), term));
        }
    }
}

async fn take_duty<S: store::Store, C, P>(
    edges: &Edges<S, C, P>,
    job: &Job,
    known: &control::Control,
) -> Result<promotion_lock::PromotionLock, HandoverError> {
    let condition = match &known.duty {
        Some((duty, _)) if duty.holder == job.own => return Ok(duty.clone()),
        Some((_, revision)) => store::Condition::Revision(*revision),
        None => store::Condition::New,
    };
    let taken =
        promotion_lock::PromotionLock::acquired(known.duty.as_ref().map(|(d, _)| d), &job.own);
    match in_time(control::write_duty(&edges.store, &taken, condition)).await? {
        store::Written::Done(_) => {
            log::info!(
                "event=duty_taken holder={} token={}",
                taken.holder,
                taken.token
            );
            Ok(taken)
        }
        store::Written::Conflict => Err(HandoverError::Overtaken),
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

/// Writes the first leadership of a group: the primary is the one that says so itself.
///
/// # Errors
/// [`HandoverError`]; to be tried again.
pub async fn found<S, C, P>(edges: &Edges<S, C, P>, job: &Job) -> Result<(), HandoverError>
where
    S: store::Store,
    C: link::Connector,
{
    let mut best: Option<(&name::MemberName, candidate::Status)> = None;
    for target in &job.members {
        let Ok(status) = orders::order(&edges.connector, target, link::Order::Status).await else {
            continue;
        };
        if status.role != candidate::Role::Primary {
            continue;
        }
        if best.is_none_or(|(_, b)| status.term > b.term) {
            best = Some((&target.member, status));
        }
    }
    let (member, status) = best.ok_or(HandoverError::NoCandidate)?;
    let record = record::Leadership::first(&job.group, member, status.term);
    in_time(control::write_record(
        &edges.store,
        &record,
        store::Condition::New,
    ))
    .await?;
    let known = look(&edges.store).await?;
    if known.duty.is_none() {
        take_duty(edges, job, &known).await?;
    }
    Ok(())
}
