//! Accounts of connections, and the task that owns the budget.

// Clippy allows `unwrap` in tests, but not in their helpers.
#![allow(clippy::unwrap_used)]

use std::sync;
use std::sync::atomic;
use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_budget::budget;
use cardamomhold_budget::plan;
use cardamomhold_core::time::Timestamp;

const KB: usize = 1 << 10;

fn limits(bytes: usize) -> plan::Limits {
    plan::Limits {
        bytes,
        ..plan::Limits::unlimited()
    }
}

fn no_time() -> Timestamp {
    Timestamp::default()
}

/// A clock of which every reading is two seconds after the last one.
fn fast_time() -> Timestamp {
    static NOW: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    Timestamp(NOW.fetch_add(2_000_000, atomic::Ordering::Relaxed))
}

/// Guards against a charge that is lost, and held for ever, when its wait is cancelled.
#[tokio::test]
async fn cancelled_wait_continues() {
    let handle = accounts::start(limits(64 * KB), no_time, |_| {});
    let mut a = handle.open(budget::Kind::Peer).await.unwrap();
    let mut b = handle.open(budget::Kind::Peer).await.unwrap();
    a.reserve(48 * KB).await.unwrap();
    let wait = time::Duration::from_millis(20);
    let waited = tokio::time::timeout(wait, b.reserve(32 * KB)).await;
    assert!(waited.is_err());
    a.release_to(0);
    b.reserve(32 * KB).await.unwrap();
    b.release_to(0);
    a.reserve(64 * KB).await.unwrap();
}

/// Guards against bytes that stay charged for a connection that is gone.
#[tokio::test]
async fn dropped_account_releases() {
    let charged = sync::Arc::new(atomic::AtomicUsize::new(0));
    let seen = charged.clone();
    let handle = accounts::start(limits(64 * KB), no_time, move |report| {
        if let accounts::Report::Charged(bytes) = report {
            seen.store(bytes, atomic::Ordering::Relaxed);
        }
    });
    let mut input = handle.open(budget::Kind::Caller).await.unwrap();
    let mut output = input.share();
    input.reserve(16 * KB).await.unwrap();
    output.hold(100 * KB);
    drop(output);
    drop(input);
    // The task handles messages in order.
    drop(handle.open(budget::Kind::Caller).await);
    assert_eq!(charged.load(atomic::Ordering::Relaxed), 0);
}

/// Guards against a holder that isn't told, and a wait that doesn't end with it.
#[tokio::test]
async fn stalled_holder_is_told() {
    let handle = accounts::start(limits(64 * KB), fast_time, |_| {});
    let mut a = handle.open(budget::Kind::Peer).await.unwrap();
    let mut b = handle.open(budget::Kind::Peer).await.unwrap();
    a.reserve(64 * KB).await.unwrap();
    let giving = async {
        a.notified().await;
        drop(a);
    };
    let (granted, ()) = tokio::join!(b.reserve(32 * KB), giving);
    assert_eq!(granted, Ok(()));
    assert_eq!(b.reserve(128 * KB).await, Err(accounts::GaveWay));
}
