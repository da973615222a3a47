//! Connections that an instance opens itself, since it reaches no owner, serve one workspace each.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;
use cardamomhold_workspace::access;

fn pool(member: &name::MemberName, share: share::Share) -> pool::Pool<u32> {
    let mut pool = pool::Pool::new();
    pool.set_members(&[member::MemberInfo {
        name: member,
        is_near: true,
        is_ready: true,
        share,
    }]);
    pool.set_primary(Some(member));
    pool
}

/// Requests a connection for a workspace; returns the idle one that was granted, if any.
fn request(pool: &mut pool::Pool<u32>, ms: u64, workspace: &str) -> Option<u32> {
    let workspace = name::WorkspaceName::parse(workspace).unwrap();
    pool.request(wait_queue::Request {
        id: ms,
        rank: 0,
        requirement: wait_queue::Requirement::Primary,
        caller: name::CallerName::parse("caller").unwrap(),
        grant: Some(access::Grant {
            workspace,
            version: 1,
        }),
        avoid: Vec::new(),
        asked: Vec::new(),
        target: Timestamp::from_millis(ms + 100),
        deadline: Timestamp::from_millis(ms + 200),
    });
    let mut decisions = pool.poll(Timestamp::from_millis(ms), true);
    match decisions.pop() {
        Some(pool::Decision::Grant(grant)) => grant.link,
        other => panic!("{other:?}"),
    }
}

fn give_back(
    pool: &mut pool::Pool<u32>,
    ms: u64,
    member: &name::MemberName,
    link: u32,
    workspace: &str,
) {
    let workspace = name::WorkspaceName::parse(workspace).unwrap();
    let now = Timestamp::from_millis(ms);
    let unused = pool::Completion::Unused;
    pool.release_bound(now, member, Some(link), Some(workspace), unused);
}

/// An idle direct connection serves only its workspace; a request of another one closes it, so that
/// an instance holds no more connections than it uses.
#[test]
fn serve_one_workspace() {
    let member = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool(&member, share::Share::Contended);
    assert_eq!(request(&mut pool, 1, "a"), None);
    give_back(&mut pool, 2, &member, 1, "a");
    assert_eq!(request(&mut pool, 3, "a"), Some(1));
    give_back(&mut pool, 4, &member, 1, "a");
    assert_eq!(request(&mut pool, 5, "b"), None);
    give_back(&mut pool, 6, &member, 2, "b");
    assert_eq!(request(&mut pool, 7, "a"), None);
}

/// Guards against statements in the name of another workspace: a direct connection that was in use
/// while an owner came into reach was kept as if it led to the owner.
#[test]
fn stay_bound_with_owner() {
    let member = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool(&member, share::Share::Contended);
    assert_eq!(request(&mut pool, 1, "a"), None);
    pool.set_members(&[member::MemberInfo {
        name: &member,
        is_near: true,
        is_ready: true,
        share: share::Share::Relayed,
    }]);
    give_back(&mut pool, 2, &member, 1, "a");
    assert_eq!(request(&mut pool, 3, "b"), None);
}

/// A connection to an owner carries statements of all workspaces.
#[test]
fn relayed_serve_all() {
    let member = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool(&member, share::Share::Relayed);
    assert_eq!(request(&mut pool, 1, "a"), None);
    pool.release(
        Timestamp::from_millis(2),
        &member,
        Some(1),
        pool::Completion::Unused,
    );
    assert_eq!(request(&mut pool, 3, "b"), Some(1));
}
