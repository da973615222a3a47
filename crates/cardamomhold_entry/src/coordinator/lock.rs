//! How the coordinator handles the promotion lock.

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use tokio::sync::oneshot;

use crate::coordinator::Coordinator;
use crate::coordinator::Event;
use crate::handover;
use crate::handover::permit;
use crate::link;
use crate::message;
use crate::promoter;
use crate::store;

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Stores the promotion lock if its token is newer.
    pub(super) fn update_lock(
        &mut self,
        now: Timestamp,
        lock: Option<&promotion_lock::PromotionLock>,
    ) {
        let Some(lock) = lock else {
            return;
        };
        if self.tenure.learn(now, lock) {
            log::info!("event=duty holder={} token={}", lock.holder, lock.token);
        }
    }

    /// Acquires the promotion lock if there is none, as this instance has created a leadership. Those
    /// of many groups are created together, so that only one attempt is made at a time.
    pub(super) fn acquire_first_lock(&mut self) {
        if self.tenure.lock().is_some() || std::mem::replace(&mut self.is_acquiring, true) {
            return;
        }
        let (store, own) = (self.adapters.store.clone(), self.own.clone());
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let acquired = handover::acquire_first_lock(&store, &own).await;
            if let Err(error) = &acquired {
                log::info!("event=duty_missing error=\"{error}\"");
            }
            handle.send(Event::FirstLockEnded(acquired.ok()));
        });
    }

    /// Stores the lock that a handover has acquired, and tells all instances.
    pub(super) fn handle_acquired(
        &mut self,
        now: Timestamp,
        lock: &promotion_lock::PromotionLock,
        former: Option<name::InstanceName>,
    ) {
        self.tenure.acquire(now, lock, former.as_ref());
        if former.is_some() {
            let lock = lock.clone();
            self.broadcast(&message::Message::LockAcquired { lock, former });
        }
    }

    /// Asks the former holder again to release the lock.
    pub(super) fn request_release(&self, now: Timestamp) {
        let Some(former) = self.tenure.unreleased(now) else {
            return;
        };
        let entry = self.instances.get(former.as_str());
        if let (Some(entry), Some(lock)) = (entry, self.tenure.lock()) {
            let message = message::Message::LockAcquired {
                lock: lock.clone(),
                former: Some(former.clone()),
            };
            self.peers.send(entry.address, message);
        }
    }

    /// Releases the lock to its new holder if this instance held it before.
    pub(super) fn release_lock(
        &mut self,
        now: Timestamp,
        to: std::net::SocketAddr,
        lock: &promotion_lock::PromotionLock,
        former: Option<&name::InstanceName>,
    ) {
        self.update_lock(now, Some(lock));
        if former != Some(&self.own) {
            return;
        }
        if let Some(release) = self.tenure.release(now, lock.token) {
            log::info!("event=duty_released {release:?}");
            self.peers.send(to, message::Message::LockReleased(release));
        }
    }

    /// Answers a handover that is about to promote a member.
    pub(super) fn permit_promotion(
        &mut self,
        now: Timestamp,
        token: u64,
        reply: oneshot::Sender<permit::Answer>,
    ) {
        let answer = self
            .tenure
            .begin_call(now, token)
            .map(|()| permit::Permit::new(self.handle.clone()));
        // A permission that the handover doesn't wait for any more ends here.
        let _ = reply.send(answer);
    }
}
