//! How a kind of objects in the store is followed through outages and restarts.

use std::cell;
use std::rc;
use std::time;

use cardamomhold_entry::clock;
use cardamomhold_entry::contents;
use cardamomhold_entry::currency;
use cardamomhold_entry::follow;
use cardamomhold_entry::store;
use tokio::sync::watch;

/// A store that counts its calls.
#[derive(Debug, Clone, Default)]
struct Store {
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_down: bool,
    /// Freshness of each listing and of each watch.
    listings: Vec<store::Freshness>,
    watches: Vec<store::Freshness>,
    /// Objects with their revisions, and changes that the next watch returns.
    documents: Vec<(&'static str, u64)>,
    changes: Vec<store::Change>,
}

fn document(name: &str, revision: u64) -> store::Document {
    store::Document {
        name: name.to_owned(),
        revision,
        content: serde_json::Value::Null,
    }
}

impl store::Store for Store {
    async fn list(
        &self,
        _: &str,
        freshness: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        let mut state = self.state.borrow_mut();
        state.listings.push(freshness);
        if state.is_down {
            return Err(store::StoreError::Refused(503));
        }
        let documents = state.documents.iter().map(|(n, r)| document(n, *r));
        Ok(store::Listing {
            documents: documents.collect(),
            revision: 10,
        })
    }

    async fn watch(
        &self,
        _: &str,
        freshness: store::Freshness,
        revision: u64,
        wait: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        let changes = {
            let mut state = self.state.borrow_mut();
            state.watches.push(freshness);
            if state.is_down {
                return Err(store::StoreError::Refused(503));
            }
            std::mem::take(&mut state.changes)
        };
        if changes.is_empty() {
            tokio::time::sleep(wait).await;
        }
        Ok((changes, revision))
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

type Seen = rc::Rc<cell::RefCell<Vec<(String, u64)>>>;

/// Follows a kind in the store's cache; returns the objects that were published last.
fn follow(store: &Store, restart: &watch::Receiver<u64>) -> Seen {
    let seen = Seen::default();
    let published = seen.clone();
    let watched = follow::Watched {
        id: contents::Kind::Members,
        kind: "members",
        pause: time::Duration::from_millis(10),
        freshness: store::Freshness::Cached,
        silence: time::Duration::from_millis(1_000),
        lists_first: false,
        is_passed: |_| true,
    };
    let (handle, control) = follow::channels(restart.clone());
    handle.mode.send_replace(currency::Mode::Long);
    follow::start(store.clone(), watched, control, move |progress| {
        if let follow::Progress::Changed(documents) = progress {
            let all = documents.values().map(|d| (d.name.clone(), d.revision));
            *published.borrow_mut() = all.collect();
        }
    });
    seen
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

/// What had left before a start isn't used after it: the first listing, and each one after a
/// restart of the watches, is the latest, even where the watches may be older.
#[test]
fn starts_with_latest() {
    run(async {
        let store = Store::default();
        store.state.borrow_mut().documents = vec![("i-1", 4)];
        let (epoch, restart) = watch::channel(0);
        let seen = follow(&store, &restart);
        sleep(50).await;
        assert_eq!(*seen.borrow(), [("i-1".to_owned(), 4)]);
        epoch.send_modify(|e| *e += 1);
        sleep(50).await;
        let state = store.state.borrow();
        assert_eq!(state.listings, [store::Freshness::Latest; 2]);
        assert!(state.watches.iter().all(|f| *f == store::Freshness::Cached));
    });
}

/// An older change from the cache doesn't replace a newer object of the listing.
#[test]
fn old_change_is_ignored() {
    run(async {
        let store = Store::default();
        store.state.borrow_mut().documents = vec![("i-1", 9)];
        store.state.borrow_mut().changes = vec![
            store::Change::Put(document("i-1", 3)),
            store::Change::Put(document("i-2", 11)),
        ];
        let (_epoch, restart) = watch::channel(0);
        let seen = follow(&store, &restart);
        sleep(50).await;
        let expected = [("i-1".to_owned(), 9), ("i-2".to_owned(), 11)];
        assert_eq!(*seen.borrow(), expected);
    });
}

/// While the store refuses, the calls become rare; when the end of the outage is known, the kind is
/// listed at once.
#[test]
fn outage_is_cheap() {
    run(async {
        let store = Store::default();
        store.state.borrow_mut().is_down = true;
        let (epoch, restart) = watch::channel(0);
        let seen = follow(&store, &restart);
        sleep(3_500).await;
        let calls = store.state.borrow().listings.len();
        assert!((3..=6).contains(&calls), "{calls} calls in 3.5 s");
        store.state.borrow_mut().is_down = false;
        store.state.borrow_mut().documents = vec![("i-1", 4)];
        let regained = clock::now();
        epoch.send_modify(|e| *e += 1);
        while seen.borrow().is_empty() {
            sleep(5).await;
        }
        assert!(clock::now().since(regained) < time::Duration::from_millis(200));
    });
}
