//! A store whose concurrent listings of one kind are read once for all.
//!
//! Load pattern: when a zone is lost, the holder of the promotion lock moves many groups at once.
//! Each handover lists the control objects three times, and each listing has the leaderships of all
//! groups, so that the bytes grow with the product of both.

use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::store;

/// Minimum time between the starts of two listings. With the leaderships of 270 groups, 58 KB, they
/// take less than half of a link of 10 Mbit/s.
pub const MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time after which a listing counts as lost, so that it delays no later one.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(800);

type Reply = oneshot::Sender<Result<store::Listing, store::StoreError>>;

/// A store that shares the latest listings of one kind; other calls are passed on.
#[derive(Debug, Clone)]
pub struct SharedListings<S> {
    store: S,
    kind: &'static str,
    requests: mpsc::UnboundedSender<Reply>,
}

impl<S: store::Store> SharedListings<S> {
    /// Starts the task that lists the objects of `kind`; it ends with the last clone.
    pub fn start(store: S, kind: &'static str) -> Self {
        let (requests, mut mailbox) = mpsc::unbounded_channel::<Reply>();
        let listed = store.clone();
        tokio::task::spawn_local(async move {
            let mut next = tokio::time::Instant::now();
            while let Some(first) = mailbox.recv().await {
                tokio::time::sleep_until(next).await;
                next = tokio::time::Instant::now() + MIN_INTERVAL;
                // A listing answers only requests from before its start: each must show what was
                // written before.
                let mut replies = vec![first];
                while let Ok(reply) = mailbox.try_recv() {
                    replies.push(reply);
                }
                let listing = listed.list(kind, store::Freshness::Latest);
                let listing = tokio::time::timeout(LIST_TIMEOUT, listing).await;
                let lost = store::StoreError::Lost("timeout".to_owned());
                let listing = listing.unwrap_or(Err(lost));
                for reply in replies {
                    // The requester may have gone.
                    let _ = reply.send(listing.clone());
                }
            }
        });
        Self {
            store,
            kind,
            requests,
        }
    }
}

impl<S: store::Store> store::Store for SharedListings<S> {
    async fn list(
        &self,
        kind: &str,
        freshness: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        if kind != self.kind || freshness != store::Freshness::Latest {
            return self.store.list(kind, freshness).await;
        }
        let (reply, listing) = oneshot::channel();
        let ended = || store::StoreError::Lost("the task that lists has ended".to_owned());
        self.requests.send(reply).map_err(|_| ended())?;
        listing.await.unwrap_or_else(|_| Err(ended()))
    }

    async fn watch(
        &self,
        kind: &str,
        freshness: store::Freshness,
        revision: u64,
        wait: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        self.store.watch(kind, freshness, revision, wait).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        content: &serde_json::Value,
        condition: store::Condition,
    ) -> Result<store::WriteOutcome, store::StoreError> {
        self.store.write(kind, name, content, condition).await
    }
}
