//! How a handover promotes its candidate.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;

use crate::clock;
use crate::handover::HandoverError;
use crate::handover::LOOK_EVERY;
use crate::handover::Run;
use crate::handover::look;
use crate::handover::orders;
use crate::link;
use crate::promoter;
use crate::store;

/// Longest wait for the platform's answer to a promotion.
const PROMOTE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time for a promoted member to lead.
const LEAD_TIMEOUT: time::Duration = time::Duration::from_millis(4_000);

impl<S, C, P> Run<'_, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Promotes a member; returns its term once it leads, none when it can't be promoted.
    pub(super) async fn promote(
        &mut self,
        member: &name::MemberName,
    ) -> Result<Option<position::Term>, HandoverError> {
        if clock::now().since(self.looked) > promotion_lock::MAX_STORE_AGE {
            self.look_again().await?;
        }
        if clock::now().since(self.looked) > promotion_lock::MAX_STORE_AGE {
            return Err(HandoverError::OutOfTime);
        }
        let sent = clock::now();
        let promoting = self
            .edges
            .promoter
            .promote(&self.job.group, member, &self.duty);
        let lost = promoter::PromoteError::Lost("timeout".to_owned());
        let promoted = tokio::time::timeout(PROMOTE_TIMEOUT, promoting)
            .await
            .unwrap_or(Err(lost));
        log::info!(
            "event=promotion group={} member={member} token={} took_ms={} result=\"{}\"",
            self.job.group,
            self.duty.token,
            clock::now().since(sent).as_millis(),
            promoted
                .as_ref()
                .err()
                .map_or("ok".to_owned(), ToString::to_string)
        );
        match promoted {
            Err(promoter::PromoteError::Rejected(_)) => return Ok(None),
            Err(promoter::PromoteError::Refused(_)) => {
                tokio::time::sleep(LOOK_EVERY).await;
                return Ok(None);
            }
            Ok(()) | Err(promoter::PromoteError::Lost(_)) => {}
        }
        self.await_lead(member).await
    }

    /// Whether the duty and the record are still this instance's.
    pub(super) async fn look_again(&mut self) -> Result<(), HandoverError> {
        let looked = clock::now();
        let known = look(&self.edges.store).await?;
        let is_mine = known.duty.is_some_and(|(d, _)| d == self.duty);
        let found = known.records.get(self.job.group.as_str());
        if !is_mine || found.is_none_or(|(record, _)| *record != self.record) {
            return Err(HandoverError::Overtaken);
        }
        self.looked = looked;
        Ok(())
    }

    pub(super) async fn await_lead(
        &self,
        member: &name::MemberName,
    ) -> Result<Option<position::Term>, HandoverError> {
        let target = self.job.members.iter().find(|t| t.member == *member);
        let target = target.ok_or(HandoverError::NoCandidate)?;
        let until = clock::now().after(LEAD_TIMEOUT);
        while clock::now() < until {
            let status = orders::order(&self.edges.connector, target, link::Order::Status).await;
            if let Ok(status) = status
                && status.role == candidate::Role::Primary
                && status.term > self.record.term
            {
                return Ok(Some(status.term));
            }
            tokio::time::sleep(LOOK_EVERY / 2).await;
        }
        Ok(None)
    }

    /// Makes a member that leads an earlier term a replica, so that its promotion begins a
    /// new one; false when it does not answer.
    pub(super) async fn step_down(&self, member: &name::MemberName) -> bool {
        let target = self.job.members.iter().find(|t| t.member == *member);
        let Some(target) = target else {
            return false;
        };
        let term = self.record.term.next();
        let order = link::Order::Demote(term);
        let demoted = orders::order(&self.edges.connector, target, order).await;
        log::info!(
            "event=stepped_down group={} member={member} term={term} ok={}",
            self.job.group,
            demoted.is_ok()
        );
        demoted.is_ok()
    }
}
