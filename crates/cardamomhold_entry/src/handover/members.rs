//! What a handover asks and tells the members.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::succession;
use tokio::task;

use crate::clock;
use crate::handover::HandoverError;
use crate::handover::Run;
use crate::handover::admin;
use crate::handover::survey;
use crate::link;
use crate::promoter;
use crate::store;

impl<S, C, P> Run<'_, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Demotes the former primary; returns its last position and when that was read.
    pub(super) async fn demote_and_read(&self) -> Option<(position::Position, Timestamp)> {
        let former = self.record.leadership.former.as_ref()?;
        let target = self.job.members.iter().find(|t| t.member == *former)?;
        let status = admin::run(&self.adapters.connector, target, link::AdminCommand::Status)
            .await
            .ok()?;
        let term = status.term.max(self.record.leadership.term).next();
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

    /// Reads the status of the members that may be promoted; those without an answer are left out. The
    /// answers are added to the survey. With synchronous replicas all members are asked, but the former
    /// primary's answer is awaited only if no other member can be promoted without it.
    pub(super) async fn statuses(
        &self,
        progress: succession::Progress<'_>,
        survey: &mut survey::Survey,
    ) -> collections::BTreeMap<name::MemberName, candidate::Status> {
        let needs_former = self.record.needs_former(progress.waited);
        let (others, former) = self.ask_members(needs_former);
        let mut statuses = collections::BTreeMap::new();
        for answer in others {
            if let Ok(Some((member, status))) = answer.await {
                survey.record(&member, status);
                statuses.insert(member, status);
            }
        }
        let Some(former) = former else {
            return statuses;
        };
        let progress = succession::Progress {
            requirement: survey.requirement(&self.record),
            ..progress
        };
        let successor = self.record.successor(&candidates(&statuses), progress);
        if successor.is_some() && !needs_former {
            return statuses;
        }
        if let Ok(Some((member, status))) = former.await {
            survey.record(&member, status);
            statuses.insert(member, status);
        }
        statuses
    }

    /// Starts a task for each member that is asked; the former primary's is apart.
    fn ask_members(&self, needs_former: bool) -> (Vec<Answer>, Option<Answer>) {
        let is_asynchronous = self.record.durability.is_asynchronous();
        let mut others = Vec::new();
        let mut former = None;
        for target in &self.job.members {
            let is_former = self.record.leadership.former.as_ref() == Some(&target.member);
            let is_leaving = self.job.leaving.contains(&target.member);
            if is_asynchronous && (is_leaving || is_former && !needs_former) {
                continue;
            }
            let connector = self.adapters.connector.clone();
            let answer = tokio::task::spawn_local(ask(connector, target.clone()));
            match is_former {
                true => former = Some(answer),
                false => others.push(answer),
            }
        }
        (others, former)
    }

    /// Starts a task that demotes the former primary, as `term` has begun or is about to begin.
    pub(super) fn demote_former(&self, term: position::Term) {
        let former = self.record.leadership.former.as_ref();
        let target = self.job.members.iter().find(|t| Some(&t.member) == former);
        if let Some(target) = target {
            let connector = self.adapters.connector.clone();
            tokio::task::spawn_local(admin::demote(connector, target.clone(), term));
        }
    }

    /// Starts tasks that demote returned primaries of earlier terms, which then follow the newest
    /// primary and are rolled back.
    pub(super) fn demote_superseded(&self, candidates: &[candidate::Candidate<'_>]) {
        let term = self.record.leadership.term;
        for candidate in candidates {
            if !self.record.is_superseded(&candidate.status) {
                continue;
            }
            let mut targets = self.job.members.iter();
            if let Some(target) = targets.find(|t| t.member == *candidate.name) {
                let connector = self.adapters.connector.clone();
                tokio::task::spawn_local(admin::demote(connector, target.clone(), term));
            }
        }
    }

    /// Logs why no member may be promoted, and returns the error.
    pub(super) fn give_up(
        &self,
        candidates: &[candidate::Candidate<'_>],
        requirement: durability::Requirement,
    ) -> HandoverError {
        if candidates.is_empty() {
            return HandoverError::NoCandidate;
        }
        if requirement != durability::Requirement::Nothing {
            return HandoverError::MissingCommits;
        }
        for candidate in candidates {
            log::warn!(
                "event=member_ineligible group={} change={} term={} member={} role={:?} \
                 member_term={} received={}",
                self.job.group,
                self.record.leadership.change,
                self.record.leadership.term,
                candidate.name,
                candidate.status.role,
                candidate.status.term,
                candidate.status.received
            );
        }
        HandoverError::Ineligible
    }
}

/// A member's answer to a status request; none if it doesn't answer.
type Answer = task::JoinHandle<Option<(name::MemberName, candidate::Status)>>;

/// Reads a member's status; none without an answer.
async fn ask<C: link::Connector>(
    connector: C,
    target: link::Target,
) -> Option<(name::MemberName, candidate::Status)> {
    let status = admin::run(&connector, &target, link::AdminCommand::Status).await;
    Some((target.member, status.ok()?))
}

/// Borrows the members with their statuses.
pub(super) fn candidates(
    statuses: &collections::BTreeMap<name::MemberName, candidate::Status>,
) -> Vec<candidate::Candidate<'_>> {
    let mut candidates = Vec::new();
    for (name, status) in statuses {
        candidates.push(candidate::Candidate {
            name,
            status: *status,
        });
    }
    candidates
}
