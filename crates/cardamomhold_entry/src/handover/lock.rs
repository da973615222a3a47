//! Acquires the promotion lock.

use cardamomhold_lead::promotion_lock;

use crate::control;
use crate::handover::Adapters;
use crate::handover::HandoverError;
use crate::handover::Job;
use crate::handover::with_timeout;
use crate::store;

/// Returns the lock if this instance holds it; otherwise acquires it from the holder that `control`
/// shows.
pub(super) async fn acquire<S: store::Store, C, P>(
    adapters: &Adapters<S, C, P>,
    job: &Job,
    control: &control::Control,
) -> Result<promotion_lock::PromotionLock, HandoverError> {
    let condition = match &control.lock {
        Some((lock, _)) if lock.holder == job.own => return Ok(lock.clone()),
        Some((_, revision)) => store::Condition::Revision(*revision),
        None => store::Condition::New,
    };
    let acquired =
        promotion_lock::PromotionLock::acquired(control.lock.as_ref().map(|(l, _)| l), &job.own);
    match with_timeout(control::write_lock(&adapters.store, &acquired, condition)).await? {
        store::WriteOutcome::Done(_) => {
            log::info!(
                "event=duty_taken holder={} token={}",
                acquired.holder,
                acquired.token
            );
            Ok(acquired)
        }
        store::WriteOutcome::Conflict => Err(HandoverError::Superseded),
    }
}
