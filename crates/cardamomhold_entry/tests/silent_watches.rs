//! Watches that stop answering are noticed in time, at the least cost in calls.

use std::cell;
use std::rc;
use std::time;

use cardamomhold_core::time::Timestamp;
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

/// Follows a kind; returns the senders that keep the task running.
fn follow(store: &Store, is_informed: bool) -> (watch::Sender<u64>, watch::Sender<bool>) {
    let (epoch, restart) = watch::channel(0);
    let (informed, is_informed) = watch::channel(is_informed);
    let watched = follow::Watched {
        kind: "config",
        pause: time::Duration::from_millis(10),
        freshness: store::Freshness::Latest,
        silence: SILENCE,
    };
    let control = follow::Control {
        restart,
        informed: is_informed,
    };
    follow::start(store.clone(), watched, control, |_| {});
    (epoch, informed)
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
        let _senders = follow(&store, false);
        sleep(100).await;
        assert_eq!(store.listings.get(), 1);
        sleep(700).await;
        assert!(store.listings.get() >= 2);
        assert!(store.waits.borrow().iter().all(|w| *w < SILENCE));
    });
}

/// An instance that another one tells of newer versions makes no more calls than before; once it
/// is told nothing any more, its watch is replaced at once.
#[test]
fn informed_watch_is_long() {
    run(async {
        let store = Store::default();
        let (_epoch, informed) = follow(&store, true);
        sleep(900).await;
        assert_eq!(store.waits.borrow().len(), 1);
        informed.send_replace(false);
        sleep(50).await;
        let waits = store.waits.borrow();
        assert_eq!(waits.len(), 2);
        assert!(waits[0] > waits[1], "{waits:?}");
        assert_eq!(store.listings.get(), 1);
    });
}

fn seen(config: u64) -> message::Seen {
    message::Seen { config, members: 5 }
}

/// An instance that doesn't compare its versions with the store, nor hears from one that does,
/// vouches for nothing, so that those who ask it watch for themselves.
#[test]
fn unchecked_reader_reports_nothing() {
    let at = Timestamp::from_millis;
    let mut currency = currency::Currency::default();
    let nothing = message::Seen::default();
    assert_eq!(currency.report(at(1_000), seen(4)), nothing);
    currency.record_check(at(1_000));
    assert_eq!(currency.report(at(3_900), seen(4)), seen(4));
    assert_eq!(currency.report(at(4_100), seen(4)), nothing);
    currency.record_report(at(5_000), nothing);
    assert!(!currency.is_informed(at(5_000)));
    currency.record_report(at(5_000), seen(4));
    assert!(currency.is_informed(at(5_900)));
    assert_eq!(currency.report(at(5_900), seen(4)), seen(4));
    assert!(!currency.is_informed(at(6_000)));
}

/// A reader passes on the newest configuration that it has heard of before it has it itself, so that
/// the instances behind it don't wait for one another.
#[test]
fn newest_config_is_passed_on() {
    let mut lag = lag::Lag::default();
    lag.record(Timestamp::from_millis(10), seen(4), seen(9));
    assert_eq!(lag.known(seen(4)), seen(9));
}
