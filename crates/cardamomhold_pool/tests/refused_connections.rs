//! How long a member that refuses connections is left alone.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod requests;

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;

/// Longest time for which a member is left alone after its first refusal.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(10);

fn write(id: u64, deadline: Timestamp) -> wait_queue::Request {
    requests::request(id, wait_queue::Requirement::Primary, deadline)
}

/// Sends a request whose connection the member refuses; returns when the next one may be opened.
fn refuse(pool: &mut pool::Pool<()>, member: &name::MemberName, now: Timestamp) -> Timestamp {
    let deadline = now.after(time::Duration::from_secs(10));
    pool.request(write(now.0, deadline));
    let granted = pool.poll(now, true);
    assert!(
        matches!(granted[..], [pool::Decision::Grant(_)]),
        "{granted:?}"
    );
    pool.release(now, member, None, pool::Completion::NoConnection);
    pool.request(write(now.0 + 1, deadline));
    let mut next = now;
    while pool.poll(next, true).is_empty() {
        next = next.after(time::Duration::from_millis(1));
    }
    pool.release(next, member, None, pool::Completion::Unused);
    next
}

/// Refusals of an earlier time count for nothing. Guards against a member that is left alone for two
/// seconds after one refusal, because it had refused many connections before.
#[test]
fn earlier_refusals_are_forgotten() {
    let member = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool::Pool::new();
    pool.set_members(&[member::MemberInfo {
        name: &member,
        is_near: true,
        is_ready: true,
        share: share::Share::Contended,
    }]);
    pool.set_primary(Some(&member));
    let mut now = Timestamp::from_millis(1_000);
    for _ in 0..9 {
        now = refuse(&mut pool, &member, now);
    }
    let longest = refuse(&mut pool, &member, now).since(now);
    assert!(longest > time::Duration::from_millis(500), "{longest:?}");
    let later = now.after(time::Duration::from_secs(60));
    let pause = refuse(&mut pool, &member, later).since(later);
    assert!(pause <= FIRST_PAUSE, "{pause:?}");
}
