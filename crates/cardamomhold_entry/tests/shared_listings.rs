//! Handovers that run at once share their listings of the control objects. Guards against listings
//! whose number follows the groups, and against one that misses a write from before the request.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::cell;
use std::rc;
use std::time;

use cardamomhold_entry::shared_listings;
use cardamomhold_entry::store;
use cardamomhold_entry::store::Store as _;

/// Time that the store takes for a listing.
const LIST_DURATION: time::Duration = time::Duration::from_millis(20);

/// A store that counts its listings, each of which has the revision at its start.
#[derive(Debug, Clone, Default)]
struct Store {
    revision: rc::Rc<cell::Cell<u64>>,
    listings: rc::Rc<cell::Cell<u32>>,
    is_silent: rc::Rc<cell::Cell<bool>>,
}

impl store::Store for Store {
    async fn list(
        &self,
        _: &str,
        _: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        self.listings.set(self.listings.get() + 1);
        let revision = self.revision.get();
        if self.is_silent.get() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(LIST_DURATION).await;
        Ok(store::Listing {
            documents: Vec::new(),
            revision,
        })
    }

    async fn watch(
        &self,
        _: &str,
        _: store::Freshness,
        _: u64,
        _: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        std::future::pending().await
    }

    async fn write(
        &self,
        _: &str,
        _: &str,
        _: &serde_json::Value,
        _: store::Condition,
    ) -> Result<store::WriteOutcome, store::StoreError> {
        Ok(store::WriteOutcome::Conflict)
    }
}

fn shared(store: &Store) -> shared_listings::SharedListings<Store> {
    shared_listings::SharedListings::start(store.clone(), store::CONTROL_KIND)
}

async fn list(
    shared: shared_listings::SharedListings<Store>,
) -> Result<store::Listing, store::StoreError> {
    let latest = store::Freshness::Latest;
    shared.list(store::CONTROL_KIND, latest).await
}

/// Ninety groups that are moved at once cost as many listings as one.
#[test]
fn one_listing_for_many() {
    world::run(async {
        let store = Store::default();
        let shared = shared(&store);
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..90 {
            tasks.spawn_local(list(shared.clone()));
        }
        while let Some(listing) = tasks.join_next().await {
            listing.unwrap().unwrap();
        }
        assert!(store.listings.get() <= 2, "{}", store.listings.get());
    });
}

/// Requests that come one after the other cost no more listings than their time allows, and the
/// first one isn't delayed.
#[test]
fn listings_are_paced() {
    world::run(async {
        let store = Store::default();
        let shared = shared(&store);
        let started = tokio::time::Instant::now();
        list(shared.clone()).await.unwrap();
        assert_eq!(started.elapsed(), LIST_DURATION);
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..100 {
            tasks.spawn_local(list(shared.clone()));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        while let Some(listing) = tasks.join_next().await {
            listing.unwrap().unwrap();
        }
        let allowed = started.elapsed().as_millis() / shared_listings::MIN_INTERVAL.as_millis();
        let listings = u128::from(store.listings.get());
        assert!(listings <= allowed + 1, "{listings} of {allowed}");
    });
}

/// A listing that began before the request isn't its answer.
#[test]
fn listing_follows_request() {
    world::run(async {
        let store = Store::default();
        let shared = shared(&store);
        let early = tokio::task::spawn_local(list(shared.clone()));
        tokio::time::sleep(LIST_DURATION / 2).await;
        store.revision.set(7);
        let late = list(shared).await.unwrap();
        assert_eq!(early.await.unwrap().unwrap().revision, 0);
        assert_eq!(late.revision, 7);
    });
}

/// A listing without an answer ends, and the next one works.
#[test]
fn lost_listing_ends() {
    world::run(async {
        let store = Store::default();
        let shared = shared(&store);
        store.is_silent.set(true);
        list(shared.clone()).await.unwrap_err();
        store.is_silent.set(false);
        list(shared).await.unwrap();
    });
}
