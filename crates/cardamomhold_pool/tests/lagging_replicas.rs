//! How long a replica that lacks log entries is skipped.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

mod requests;

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;

/// Longest time for which a replica is skipped after it has lacked entries for the first time.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(60);

fn needed() -> position::Position {
    position::Position::new(position::Term(1), position::LogPosition(1))
}

fn named(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

/// A pool of a primary, `db-1`, and a replica, `db-2`.
fn pool() -> pool::Pool<()> {
    let names = ["db-1", "db-2"].map(named);
    let mut pool = pool::Pool::new();
    pool.set_members(&names.each_ref().map(|name| member::MemberInfo {
        name,
        is_near: true,
        is_ready: true,
        share: share::Share::Relayed,
    }));
    pool.set_primary(Some(&names[0]));
    pool
}

/// The member that a read is sent to.
fn place_read(pool: &mut pool::Pool<()>, now: Timestamp) -> name::MemberName {
    pool.add_sample(sample::Sample {
        sent: now,
        position: needed(),
    });
    let read = wait_queue::Requirement::Read {
        staleness: time::Duration::from_secs(2),
        own_commit: None,
    };
    let deadline = now.after(time::Duration::from_secs(10));
    pool.request(requests::request(now.0, read, deadline));
    match &pool.poll(now, true)[..] {
        [pool::Decision::Grant(grant)] => grant.member.clone(),
        other => panic!("{other:?}"),
    }
}

/// Sends a read to the replica, which lacks entries; returns when it gets the next one.
fn miss(pool: &mut pool::Pool<()>, now: Timestamp) -> Timestamp {
    let replica = named("db-2");
    assert_eq!(place_read(pool, now), replica);
    let behind = pool::Completion::Behind(needed());
    pool.release(now, &replica, None, behind);
    let mut next = now;
    loop {
        next = next.after(time::Duration::from_millis(1));
        let member = place_read(pool, next);
        pool.release(next, &member, None, pool::Completion::Unused);
        if member == replica {
            return next;
        }
    }
}

/// A lag of an earlier time counts for nothing. Guards against reads that go to the primary for a
/// second after a replica lacked one entry, because it had been far behind long before.
#[test]
fn earlier_lag_is_forgotten() {
    let mut pool = pool();
    let mut now = Timestamp::from_millis(1_000);
    for _ in 0..6 {
        now = miss(&mut pool, now);
    }
    let longest = miss(&mut pool, now).since(now);
    assert!(longest > time::Duration::from_millis(500), "{longest:?}");
    let later = now.after(time::Duration::from_secs(60));
    let pause = miss(&mut pool, later).since(later);
    assert!(pause <= FIRST_PAUSE, "{pause:?}");
}
