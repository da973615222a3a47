//! The coordinator's permission to send a promotion.

use cardamomhold_lead::promotion_lock;
use tokio::sync::oneshot;

use crate::coordinator;
use crate::handover::HandoverError;
use crate::handover::Run;
use crate::link;
use crate::promoter;
use crate::store;

/// Permission to send one promotion. While it exists, this instance doesn't release the promotion
/// lock.
#[derive(Debug)]
pub struct Permit {
    coordinator: coordinator::Handle,
}

impl Permit {
    /// Creates the permission for a promotion that `coordinator` has begun.
    pub fn new(coordinator: coordinator::Handle) -> Self {
        Self { coordinator }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.coordinator.send(coordinator::Event::PromotionEnded);
    }
}

/// Answer to a request for a permission.
pub type Answer = Result<Permit, promotion_lock::Denial>;

impl<S, C, P> Run<'_, S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Asks the coordinator for a permission; none while promotions of the former holder may still
    /// arrive.
    pub(super) async fn permit(&self) -> Result<Option<Permit>, HandoverError> {
        let (reply, answer) = oneshot::channel();
        self.coordinator
            .send(coordinator::Event::PromotionRequested {
                token: self.lock.token,
                reply,
            });
        match answer.await {
            Ok(Ok(permit)) => Ok(Some(permit)),
            Ok(Err(promotion_lock::Denial::Unsettled)) => Ok(None),
            Ok(Err(promotion_lock::Denial::Superseded)) | Err(_) => Err(HandoverError::Superseded),
        }
    }
}
