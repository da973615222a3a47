//! The task that writes a group's first leadership.

use cardamomhold_core::name;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::succession;

use crate::control;
use crate::handover::Adapters;
use crate::handover::HandoverError;
use crate::handover::Job;
use crate::handover::admin;
use crate::handover::lock;
use crate::handover::with_timeout;
use crate::link;
use crate::store;

/// Writes the first leadership of a group: its primary is the member that reports this role,
/// the one with the highest term if there are several.
///
/// # Errors
/// [`HandoverError`]; the creation is to be retried.
pub async fn create_leadership<S, C, P>(
    adapters: &Adapters<S, C, P>,
    job: &Job,
) -> Result<(), HandoverError>
where
    S: store::Store,
    C: link::Connector,
{
    let mut best: Option<(&name::MemberName, candidate::Status)> = None;
    for target in &job.members {
        let Ok(status) = admin::run(&adapters.connector, target, link::AdminCommand::Status).await
        else {
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
    let first = record::Leadership::first(&job.group, member, status.term);
    let record = succession::Succession::first(first);
    with_timeout(control::write_record(
        &adapters.store,
        &record,
        store::Condition::New,
    ))
    .await?;
    Ok(())
}

/// Acquires the promotion lock when the store has none yet.
///
/// # Errors
/// [`HandoverError`]; without a lock, the first handover acquires it.
pub async fn acquire_first_lock<S: store::Store>(
    store: &S,
    own: &name::InstanceName,
) -> Result<promotion_lock::PromotionLock, HandoverError> {
    lock::acquire(store, own, None).await
}
