//! Requests that an instance sends through the owner of a member's connections.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

mod requests;

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::load;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;

fn named(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

/// A pool of three members in the instance's own zone, the first one the primary.
fn pool() -> pool::Pool<u32> {
    let names = ["db-1", "db-2", "db-3"].map(named);
    let mut pool = pool::Pool::new();
    pool.set_members(&names.each_ref().map(|name| member::MemberInfo {
        name,
        is_near: true,
        is_ready: true,
        share: share::Share::Relayed,
    }));
    pool.set_primary(Some(&names[0]));
    let position = position::Position::new(position::Term(1), position::LogPosition(1));
    let sent = Timestamp(0);
    pool.add_sample(sample::Sample { sent, position });
    pool
}

fn request(id: u64, requirement: wait_queue::Requirement) -> wait_queue::Request {
    wait_queue::Request {
        rank: 1,
        target: Timestamp::from_millis(250),
        ..requests::request(id, requirement, Timestamp::from_millis(10_000))
    }
}

fn read() -> wait_queue::Requirement {
    wait_queue::Requirement::Read {
        staleness: time::Duration::from_secs(2),
        own_commit: None,
    }
}

fn granted(decisions: &[pool::Decision<u32>]) -> Vec<(u64, String)> {
    let mut grants = Vec::new();
    for decision in decisions {
        if let pool::Decision::Grant(grant) = decision {
            grants.push((grant.id, grant.member.to_string()));
        }
    }
    grants
}

/// Requests don't wait at the instance: the owner orders those of all instances.
#[test]
fn sent_at_once() {
    let mut pool = pool();
    for id in 0..16 {
        pool.request(request(id, wait_queue::Requirement::Primary));
    }
    assert_eq!(granted(&pool.poll(Timestamp(1), true)).len(), 16);
}

/// An owner's refusals for lack of a slot don't reduce what the instance sends later.
#[test]
fn refusals_keep_limit() {
    let mut pool = pool();
    for id in 0..8 {
        pool.request(request(id, wait_queue::Requirement::Primary));
    }
    assert_eq!(granted(&pool.poll(Timestamp(1), true)).len(), 8);
    for _ in 0..8 {
        let refused = pool::Completion::NoSlot;
        pool.release(Timestamp(2), &named("db-1"), None, refused);
    }
    for id in 8..16 {
        pool.request(request(id, wait_queue::Requirement::Primary));
    }
    let later = Timestamp::from_millis(100);
    assert_eq!(granted(&pool.poll(later, true)).len(), 8);
}

/// A read goes to the replica whose owner reports the shorter queue, as long as the report is
/// recent.
#[test]
fn avoids_long_queue() {
    let mut pool = pool();
    let busy = load::Load {
        waits_ms: [0, 300, 900],
    };
    pool.record_load(Timestamp(1), &named("db-2"), busy);
    pool.request(request(1, read()));
    let decisions = pool.poll(Timestamp(2), true);
    assert_eq!(granted(&decisions), [(1, "db-3".to_owned())]);
    pool.record_load(Timestamp(3), &named("db-3"), busy);
    // One request runs at db-3, so db-2 is chosen once its report is old.
    pool.request(request(2, read()));
    let decisions = pool.poll(Timestamp::from_millis(1_000), true);
    assert_eq!(granted(&decisions), [(2, "db-2".to_owned())]);
}

/// The primary takes reads only while all replicas have far more to do than the primary.
#[test]
fn primary_relieves_replicas() {
    let mut pool = pool();
    for replica in ["db-2", "db-3"] {
        let busy = load::Load {
            waits_ms: [0, 30, 30],
        };
        pool.record_load(Timestamp(1), &named(replica), busy);
    }
    pool.request(request(1, read()));
    let decisions = pool.poll(Timestamp(2), true);
    assert_ne!(granted(&decisions), [(1, "db-1".to_owned())]);
    for replica in ["db-2", "db-3"] {
        let busy = load::Load {
            waits_ms: [0, 300, 300],
        };
        pool.record_load(Timestamp(3), &named(replica), busy);
    }
    pool.request(request(2, read()));
    let decisions = pool.poll(Timestamp(4), true);
    assert_eq!(granted(&decisions), [(2, "db-1".to_owned())]);
}

/// A member that its owner can't serve is probed before it gets another request.
#[test]
fn unserved_is_probed() {
    let mut pool = pool();
    pool.request(request(1, wait_queue::Requirement::Primary));
    assert_eq!(granted(&pool.poll(Timestamp(1), true)).len(), 1);
    let unserved = pool::Completion::Unserved;
    pool.release(Timestamp(2), &named("db-1"), None, unserved);
    pool.request(request(2, wait_queue::Requirement::Primary));
    assert!(pool.poll(Timestamp(3), true).is_empty());
    assert_eq!(pool.start_probes(Timestamp(4)), [named("db-1")]);
    pool.finish_probe(Timestamp(5), &named("db-1"), true);
    assert_eq!(granted(&pool.poll(Timestamp(6), true)).len(), 1);
}
