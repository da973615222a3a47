//! Acquires the promotion lock.

use cardamomhold_core::name;
use cardamomhold_lead::promotion_lock;

use crate::control;
use crate::handover::HandoverError;
use crate::handover::with_timeout;
use crate::store;

/// Returns the lock if this instance holds it; otherwise acquires it from the holder that `known`,
/// the stored lock with its revision, shows.
pub(super) async fn acquire<S: store::Store>(
    store: &S,
    own: &name::InstanceName,
    known: Option<&(promotion_lock::PromotionLock, u64)>,
) -> Result<promotion_lock::PromotionLock, HandoverError> {
    let condition = match known {
        Some((lock, _)) if lock.holder == *own => return Ok(lock.clone()),
        Some((_, revision)) => store::Condition::Revision(*revision),
        None => store::Condition::New,
    };
    let acquired = promotion_lock::PromotionLock::acquired(known.map(|(l, _)| l), own);
    match with_timeout(control::write_lock(store, &acquired, condition)).await? {
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
