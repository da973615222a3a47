//! The steps of a handover that write the group's record.

use cardamomhold_core::name;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::succession;

use crate::control;
use crate::handover::HandoverError;
use crate::handover::Run;
use crate::handover::read_control;
use crate::handover::with_timeout;
use crate::link;
use crate::promoter;
use crate::store;

impl<S, C, P> Run<'_, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Writes the record without a primary, unless another instance has done so, with the members
    /// that may hold acknowledged commits.
    pub(super) async fn end_leadership(&mut self) -> Result<(), HandoverError> {
        let record = match self.record.leadership.primary {
            Some(_) => self.record.ended(),
            None => self.record.clone(),
        };
        let stored = record.durability.sync_replicas;
        let sync_replicas = self.job.sync_replicas.unwrap_or(stored);
        let next = record.with_holders(sync_replicas, &self.known_holders());
        if next != self.record {
            self.write(next).await?;
        }
        Ok(())
    }

    /// The members that this instance knows, those among them that are no longer listed included.
    fn known_holders(&self) -> Vec<durability::Holder> {
        let mut holders = Vec::new();
        for target in &self.job.members {
            holders.push(durability::Holder {
                member: target.member.clone(),
                address: target.address,
            });
        }
        durability::add_holders(&mut holders, &self.job.departed);
        holders
    }

    /// Writes the next record of the leadership to the store.
    pub(super) async fn write(
        &mut self,
        next: succession::Succession,
    ) -> Result<(), HandoverError> {
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
            "event=leadership_written group={} change={} primary={} candidate={} term={} cause={} \
             token={}",
            next.leadership.group,
            next.leadership.change,
            member_text(next.leadership.primary.as_ref()),
            member_text(next.leadership.candidate.as_ref()),
            next.leadership.term,
            self.job.cause.as_str(),
            self.lock.token
        );
        self.record = next;
        Ok(())
    }

    /// Makes a promoted member the primary and returns it. None for one that is leaving: it only sends
    /// the others its log. `inherited` is the candidate of the instance before this one.
    pub(super) async fn accept(
        &mut self,
        promoted: candidate::Candidate<'_>,
        inherited: Option<&name::MemberName>,
    ) -> Result<Option<name::MemberName>, HandoverError> {
        let is_asynchronous = self.record.durability.is_asynchronous();
        if is_asynchronous || !self.job.leaving.contains(promoted.name) {
            return self.complete(promoted).await.map(Some);
        }
        log::info!(
            "event=interim_promoted group={} member={} term={} received={}",
            self.job.group,
            promoted.name,
            promoted.status.term,
            promoted.status.received
        );
        self.write(self.record.with_interim(promoted, inherited))
            .await?;
        Ok(None)
    }

    /// Writes and announces the new primary, and demotes the former one.
    async fn complete(
        &mut self,
        promoted: candidate::Candidate<'_>,
    ) -> Result<name::MemberName, HandoverError> {
        let member = promoted.name.clone();
        if self.record.leadership.former.as_ref() != Some(&member) {
            self.demote_former(promoted.status.term);
        }
        self.write(self.record.with_primary(promoted)).await?;
        self.announce(None);
        Ok(member)
    }
}

fn member_text(member: Option<&name::MemberName>) -> &str {
    member.map_or("none", |m| m.as_str())
}
