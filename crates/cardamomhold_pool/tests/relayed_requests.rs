//! Requests that another instance sends to the owner of a member's connections.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;

/// Duration of a request.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

fn pool_of(share: share::Share) -> (pool::Pool<u32>, name::MemberName) {
    let name = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool::Pool::new();
    pool.set_members(&[member::MemberInfo {
        name: &name,
        is_near: true,
        is_ready: true,
        share,
    }]);
    (pool, name)
}

fn request(id: u64, rank: u8, name: &name::MemberName) -> wait_queue::Request {
    wait_queue::Request {
        id,
        rank,
        requirement: wait_queue::Requirement::Member(name.clone()),
        avoid: Vec::new(),
        deadline: Timestamp::from_millis(10_000),
    }
}

fn granted(decisions: &[pool::Decision<u32>]) -> Vec<u64> {
    let mut ids = Vec::new();
    for decision in decisions {
        if let pool::Decision::Grant(grant) = decision {
            ids.push(grant.id);
        }
    }
    ids
}

fn refused(decisions: &[pool::Decision<u32>]) -> Vec<pool::Reason> {
    let mut reasons = Vec::new();
    for decision in decisions {
        if let pool::Decision::Refuse { reason, .. } = decision {
            reasons.push(*reason);
        }
    }
    reasons
}

/// The owner serves its queue by rank.
#[test]
fn serves_by_rank() {
    let (mut pool, name) = pool_of(share::Share::Owned(1));
    pool.request(request(1, 2, &name));
    assert_eq!(granted(&pool.poll(Timestamp(1), true)), [1]);
    pool.request(request(2, 2, &name));
    pool.request(request(3, 0, &name));
    assert!(pool.poll(Timestamp(2), true).is_empty());
    pool.release(
        Timestamp(3),
        &name,
        Some(7),
        pool::Completion::Answered(SERVICE_TIME),
    );
    assert_eq!(granted(&pool.poll(Timestamp(4), true)), [3]);
}

/// Requests wait while a silent member is being probed, and are refused once a probe has
/// failed.
#[test]
fn failed_probe_refuses() {
    let (mut pool, name) = pool_of(share::Share::Owned(1));
    pool.mark_silent(Timestamp(1), &name);
    pool.request(request(1, 0, &name));
    assert!(pool.poll(Timestamp(2), true).is_empty());
    assert_eq!(pool.start_probes(Timestamp(3)).len(), 1);
    pool.finish_probe(Timestamp(4), &name, false, None);
    let decisions = pool.poll(Timestamp(5), true);
    assert_eq!(refused(&decisions), [pool::Reason::Unreachable]);
}

/// An instance that owns no connection to the member refuses at once.
#[test]
fn non_owner_refuses() {
    for share in [share::Share::Relayed, share::Share::Contended] {
        let (mut pool, name) = pool_of(share);
        pool.request(request(1, 0, &name));
        let decisions = pool.poll(Timestamp(2), true);
        assert_eq!(refused(&decisions), [pool::Reason::Unreachable]);
    }
}

/// The limit shrinks when a member refuses requests because it has no free slot.
#[test]
fn refusals_shrink_limit() {
    let (mut pool, name) = pool_of(share::Share::Owned(10));
    for id in 0..10 {
        pool.request(request(id, 0, &name));
    }
    assert_eq!(granted(&pool.poll(Timestamp(1), true)).len(), 10);
    for _ in 0..5 {
        pool.release(Timestamp(2), &name, Some(0), pool::Completion::NoSlot);
    }
    for id in 10..20 {
        pool.request(request(id, 0, &name));
    }
    let later = Timestamp::from_millis(100);
    assert!(granted(&pool.poll(later, true)).is_empty());
    for _ in 0..5 {
        pool.release(
            later,
            &name,
            Some(0),
            pool::Completion::Answered(SERVICE_TIME),
        );
    }
    let count = granted(&pool.poll(later, true)).len();
    assert!((2..8).contains(&count), "{count} at once");
}

/// An instance that sends its requests through an owner doesn't shrink its own limit.
#[test]
fn relayed_limit_stays() {
    let (mut pool, name) = pool_of(share::Share::Relayed);
    pool.set_primary(Some(&name));
    let primary_request = |id| wait_queue::Request {
        requirement: wait_queue::Requirement::Primary,
        avoid: vec![name.clone()],
        ..request(id, 0, &name)
    };
    for id in 0..8 {
        pool.request(primary_request(id));
    }
    assert_eq!(granted(&pool.poll(Timestamp(1), true)).len(), 8);
    for _ in 0..8 {
        pool.release(Timestamp(2), &name, None, pool::Completion::NoSlot);
    }
    for id in 8..16 {
        pool.request(primary_request(id));
    }
    let later = Timestamp::from_millis(100);
    assert_eq!(granted(&pool.poll(later, true)).len(), 8);
}
