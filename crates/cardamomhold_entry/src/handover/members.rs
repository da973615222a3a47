//! What a handover asks and tells the members.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::candidate;

use crate::clock;
use crate::handover::HandoverError;
use crate::handover::Run;
use crate::handover::admin;
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

    /// Reads the status of the members that may be promoted; those without an answer are left out.
    pub(super) async fn statuses(
        &self,
        waited: time::Duration,
    ) -> Vec<(name::MemberName, candidate::Status)> {
        let needs_former = self.record.needs_former(waited);
        let mut tasks = Vec::new();
        for target in &self.job.members {
            let is_former = self.record.leadership.former.as_ref() == Some(&target.member);
            if (is_former && !needs_former) || self.job.leaving.contains(&target.member) {
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
    pub(super) fn give_up(&self, candidates: &[candidate::Candidate<'_>]) -> HandoverError {
        if candidates.is_empty() {
            return HandoverError::NoCandidate;
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

/// Borrows the members with their statuses.
pub(super) fn candidates(
    statuses: &[(name::MemberName, candidate::Status)],
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
