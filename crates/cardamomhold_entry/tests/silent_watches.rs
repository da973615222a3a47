//! Watches that stop answering are noticed in time, at the least cost in calls.

use std::cell;
use std::rc;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::clock;
use cardamomhold_entry::contents;
use cardamomhold_entry::currency;
use cardamomhold_entry::follow;
use cardamomhold_entry::lag;
use cardamomhold_entry::message;
use cardamomhold_entry::store;
use tokio::sync::watch;

/// A store whose watches never answer; it counts the listings and keeps the watches' waits.
#[derive(Debug, Clone, Default)]
struct Store {
    listings: rc::Rc<cell::Cell<u32>>,
    waits: rc::Rc<cell::RefCell<Vec<time::Duration>>>,
}

impl store::Store for Store {
    async fn list(
        &self,
        _: &str,
        _: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        self.listings.set(self.listings.get() + 1);
        Ok(store::Listing::default())
    }

    async fn watch(
        &self,
        _: &str,
        _: store::Freshness,
        _: u64,
        wait: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        self.waits.borrow_mut().push(wait);
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

const SILENCE: time::Duration = time::Duration::from_millis(400);

/// Follows a kind; returns the sender that keeps the task running, and its channels.
fn follow(store: &Store, mode: currency::Mode) -> (watch::Sender<u64>, follow::Handle) {
    let (epoch, restart) = watch::channel(0);
    let watched = follow::Watched {
        id: contents::Kind::Config,
        kind: "config",
        pause: time::Duration::from_millis(10),
        freshness: store::Freshness::Latest,
        silence: SILENCE,
        lists_first: false,
        is_passed: |_| true,
    };
    let (handle, control) = follow::channels(restart);
    handle.mode.send_replace(mode);
    follow::start(store.clone(), watched, control, |_| {});
    (epoch, handle)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn sleep(ms: u64) {
    tokio::time::sleep(time::Duration::from_millis(ms)).await;
}

/// Guards against the review's case 4: an instance that nobody tells of newer versions lists again
/// within the bound.
#[test]
fn lonely_watch_is_short() {
    run(async {
        let store = Store::default();
        let _senders = follow(&store, currency::Mode::Short);
        sleep(100).await;
        assert_eq!(store.listings.get(), 1);
        sleep(700).await;
        assert!(store.listings.get() >= 2);
        assert!(store.waits.borrow().iter().all(|w| *w < SILENCE));
    });
}

/// An instance for which the store's revision is read otherwise makes one long watch; once that ends,
/// its watch is replaced at once.
#[test]
fn long_watch_is_replaced() {
    run(async {
        let store = Store::default();
        let (_epoch, handle) = follow(&store, currency::Mode::Long);
        sleep(900).await;
        assert_eq!(store.waits.borrow().len(), 1);
        handle.mode.send_replace(currency::Mode::Short);
        sleep(50).await;
        let waits = store.waits.borrow();
        assert_eq!(waits.len(), 2);
        assert!(waits[0] > waits[1], "{waits:?}");
        assert_eq!(store.listings.get(), 1);
    });
}

/// A long watch that doesn't tell of a newer revision of the store is replaced within the bound.
#[test]
fn missed_revision_is_noticed() {
    run(async {
        let store = Store::default();
        let (_epoch, handle) = follow(&store, currency::Mode::Long);
        sleep(50).await;
        handle
            .commands
            .send(follow::Command::Revision(clock::now(), 7))
            .unwrap();
        sleep(700).await;
        assert!(store.waits.borrow().len() >= 2);
        assert!(store.listings.get() >= 2);
    });
}

/// An instance for which another one vouches makes no call; once nobody does, it lists at once.
#[test]
fn idle_kind_makes_no_call() {
    run(async {
        let store = Store::default();
        let (_epoch, handle) = follow(&store, currency::Mode::Idle);
        sleep(900).await;
        assert_eq!(store.listings.get(), 0);
        handle.mode.send_replace(currency::Mode::Short);
        sleep(50).await;
        assert_eq!(store.listings.get(), 1);
        handle.mode.send_replace(currency::Mode::Idle);
        sleep(900).await;
        assert_eq!(store.listings.get(), 1);
        assert_eq!(store.waits.borrow().len(), 1);
    });
}

fn seen(config: u64) -> message::Seen {
    message::Seen { config, members: 5 }
}

/// A reader passes on the newest configuration that it has heard of before it has it itself, so that
/// the instances behind it don't wait for one another.
#[test]
fn newest_config_is_passed_on() {
    let mut lag = lag::Lag::default();
    lag.record(Timestamp::from_millis(10), seen(4), seen(9));
    assert_eq!(lag.known(seen(4)), seen(9));
}
