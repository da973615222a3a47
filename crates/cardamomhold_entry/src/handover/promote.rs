//! The step of a handover that promotes the candidate.

use std::time;

use cardamomhold_core::name;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;

use crate::clock;
use crate::handover::HandoverError;
use crate::handover::POLL_INTERVAL;
use crate::handover::Run;
use crate::handover::admin;
use crate::handover::permit;
use crate::handover::read_control;
use crate::link;
use crate::promoter;
use crate::store;

/// Timeout of the platform's promotion call.
const PROMOTE_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Longest wait for a promoted member to report that it is the primary.
const PROMOTION_TIMEOUT: time::Duration = time::Duration::from_millis(4_000);

/// Result of an attempt to promote a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The member is the primary of the next term, with this status.
    Promoted(candidate::Status),
    /// The promotion was refused or not confirmed in time.
    Failed,
    /// The right to promote ended before the call was sent.
    Unsent,
}

impl<S, C, P> Run<'_, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Promotes a member, by the right of the last read of the control objects. The permission ends
    /// with the call.
    pub(super) async fn promote(
        &mut self,
        permit: permit::Permit,
        member: &name::MemberName,
    ) -> Result<Outcome, HandoverError> {
        let sent = clock::now();
        let until = self.read_at.after(promotion_lock::RIGHT_DURATION);
        let promoting = self
            .adapters
            .promoter
            .promote(&self.job.group, member, &self.lock, until);
        let lost = promoter::PromoteError::Lost("timeout".to_owned());
        let promoted = tokio::time::timeout(PROMOTE_CALL_TIMEOUT, promoting)
            .await
            .unwrap_or(Err(lost));
        drop(permit);
        log::info!(
            "event=promotion group={} member={member} token={} read_ms_ago={} took_ms={} result=\"{}\"",
            self.job.group,
            self.lock.token,
            sent.since(self.read_at).as_millis(),
            clock::now().since(sent).as_millis(),
            promoted
                .as_ref()
                .err()
                .map_or("ok".to_owned(), ToString::to_string)
        );
        match promoted {
            Err(promoter::PromoteError::Expired) => return Ok(Outcome::Unsent),
            Err(promoter::PromoteError::Rejected(_)) => return Ok(Outcome::Failed),
            Err(promoter::PromoteError::Refused(_)) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                return Ok(Outcome::Failed);
            }
            Ok(()) | Err(promoter::PromoteError::Lost(_)) => {}
        }
        let status = self.wait_for_promotion(member).await?;
        Ok(status.map_or(Outcome::Failed, Outcome::Promoted))
    }

    /// Reads the control objects again, with the present voters: only those that are stored after the
    /// acknowledgements can count them. Fails if another instance changed the promotion lock or the
    /// leadership.
    pub(super) async fn check_control(&mut self) -> Result<(), HandoverError> {
        let read_at = clock::now();
        let control = read_control(&self.adapters.store).await?;
        let is_holder = control.lock.is_some_and(|(l, _)| l == self.lock);
        let entry = control.records.get(self.job.group.as_str());
        if !is_holder || entry.is_none_or(|(record, _)| *record != self.record) {
            return Err(HandoverError::Superseded);
        }
        if let Some((voters, _)) = control.voters {
            self.voters = voters;
        }
        self.read_at = read_at;
        Ok(())
    }

    pub(super) async fn wait_for_promotion(
        &self,
        member: &name::MemberName,
    ) -> Result<Option<candidate::Status>, HandoverError> {
        let target = self.job.members.iter().find(|t| t.member == *member);
        let target = target.ok_or(HandoverError::NoCandidate)?;
        let until = clock::now().after(PROMOTION_TIMEOUT);
        while clock::now() < until {
            let status =
                admin::run(&self.adapters.connector, target, link::AdminCommand::Status).await;
            if let Ok(status) = status
                && status.role == candidate::Role::Primary
                && status.term > self.record.leadership.term
            {
                return Ok(Some(status));
            }
            tokio::time::sleep(POLL_INTERVAL / 2).await;
        }
        Ok(None)
    }

    /// Demotes a member that is the primary of an earlier term, so that its promotion starts a
    /// new term; false when the command fails.
    pub(super) async fn step_down(&self, member: &name::MemberName) -> bool {
        let target = self.job.members.iter().find(|t| t.member == *member);
        let Some(target) = target else {
            return false;
        };
        let term = self.record.leadership.term.next();
        let command = link::AdminCommand::Demote(term);
        let demoted = admin::run(&self.adapters.connector, target, command).await;
        log::info!(
            "event=stepped_down group={} member={member} term={term} ok={}",
            self.job.group,
            demoted.is_ok()
        );
        demoted.is_ok()
    }
}
