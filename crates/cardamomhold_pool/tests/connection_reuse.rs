//! Which connection of a member's owner serves which workspace.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;

type Connections = connections::Connections<u32>;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn key(text: &str) -> connections::Key {
    Some(name::WorkspaceName::parse(text).unwrap())
}

fn wanted(keys: &[&str]) -> Vec<connections::Wanted> {
    let wanted = |text: &&str| connections::Wanted {
        key: key(text),
        count: 1,
    };
    keys.iter().map(wanted).collect()
}

/// Opens a connection for a workspace and uses it once.
fn add(connections: &mut Connections, now: Timestamp, text: &str, link: u32) {
    let opening = connections.next_opening(now, &wanted(&[text])).unwrap();
    assert_eq!((opening.key.clone(), opening.evicted), (key(text), None));
    connections.record_opened(now, &opening.key, link);
    assert_eq!(connections.take_idle(now, &key(text)), Some(link));
}

/// An idle connection is used by its own workspace only, the one that was returned last first;
/// guards against running a statement in another workspace's name.
#[test]
fn own_connections_only() {
    let mut connections = Connections::new(4);
    add(&mut connections, at(0), "a", 1);
    add(&mut connections, at(1), "a", 2);
    connections.put_back(at(2), &key("a"), 2);
    connections.put_back(at(3), &key("a"), 1);
    assert_eq!(connections.take_idle(at(4), &key("b")), None);
    assert_eq!(connections.take_idle(at(4), &None), None);
    assert_eq!(connections.take_idle(at(4), &key("a")), Some(1));
    assert_eq!(connections.take_idle(at(4), &key("a")), Some(2));
    assert_eq!(connections.take_idle(at(4), &key("a")), None);
}

/// A workspace opens nothing while it has an idle connection or one is being opened for it, and few
/// are opened at once.
#[test]
fn opens_as_needed() {
    let mut connections = Connections::new(9);
    add(&mut connections, at(0), "a", 1);
    connections.put_back(at(1), &key("a"), 1);
    assert_eq!(connections.next_opening(at(2), &wanted(&["a"])), None);
    let many = wanted(&["b", "b", "c", "d"]);
    assert_eq!(
        connections.next_opening(at(2), &many).unwrap().key,
        key("b")
    );
    assert_eq!(
        connections.next_opening(at(2), &many).unwrap().key,
        key("c")
    );
    assert_eq!(connections.next_opening(at(2), &many), None);
    assert_eq!(connections.opening_for_workspaces(), 2);
}

/// A connection that was opened for a workspace isn't evicted before its statement takes it, but
/// isn't kept for ever; guards against workspaces that evict each other's new connections.
#[test]
fn new_one_is_kept() {
    let mut connections = Connections::new(1);
    connections.next_opening(at(0), &wanted(&["a"])).unwrap();
    connections.record_opened(at(12), &key("a"), 1);
    assert_eq!(connections.next_opening(at(13), &wanted(&["b"])), None);
    let wakeup = connections.next_wakeup(at(13), true).unwrap();
    assert!(wakeup > at(13) && wakeup <= at(1_012), "{wakeup:?}");
    let opening = connections
        .next_opening(at(1_012), &wanted(&["b"]))
        .unwrap();
    assert_eq!(opening.evicted, Some((key("a"), 1)));
}

/// When the member accepts no more connections, the owner pauses, and then replaces idle ones
/// instead of adding to them; guards against workspaces that are never served since the configured
/// limit isn't reached.
#[test]
fn refusal_is_a_limit() {
    let mut connections = Connections::new(50);
    add(&mut connections, at(0), "a", 1);
    add(&mut connections, at(1), "a", 2);
    connections.put_back(at(2), &key("a"), 1);
    connections.put_back(at(3), &key("a"), 2);
    let opening = connections.next_opening(at(4), &wanted(&["b"])).unwrap();
    assert_eq!(opening.evicted, None);
    connections.record_failed(at(5), &key("b"), true);
    assert_eq!(connections.next_opening(at(6), &wanted(&["b"])), None);
    assert_eq!(connections.next_wakeup(at(6), true), Some(at(25)));
    let opening = connections.next_opening(at(25), &wanted(&["b"])).unwrap();
    assert_eq!(opening.evicted, Some((key("a"), 1)));
    connections.record_opened(at(26), &key("b"), 3);
    let later = at(2_006);
    let opening = connections.next_opening(later, &wanted(&["c"])).unwrap();
    assert_eq!(opening.evicted, None);
}

/// Failed attempts pause all openings, longer each time; an owner without a connection gives up.
#[test]
fn failures_pause() {
    let mut connections = Connections::new(5);
    let mut now = at(0);
    for pause_ms in [20, 40, 80, 160, 320, 640, 640] {
        assert!(connections.next_opening(now, &wanted(&["a"])).is_some());
        connections.record_failed(now, &key("a"), false);
        let resumed = now.after(time::Duration::from_millis(pause_ms));
        assert_eq!(connections.next_wakeup(now, true), Some(resumed));
        now = resumed;
    }
    assert!(connections.is_hopeless());
}

/// Idle connections expire, and are closed by nothing else without workspaces: the decisions are
/// those of a deployment that has none.
#[test]
fn unchanged_without_workspaces() {
    let mut connections = Connections::new(2);
    let many = [connections::Wanted {
        key: None,
        count: 5,
    }];
    for link in 1..=2 {
        let opening = connections.next_opening(at(0), &many).unwrap();
        assert_eq!((opening.key, opening.evicted), (None, None));
        assert_eq!(connections.opening_for_workspaces(), 0);
        connections.record_opened(at(0), &None, link);
        assert_eq!(connections.take_idle(at(0), &None), Some(link));
    }
    assert_eq!(connections.next_opening(at(0), &many), None);
    connections.put_back(at(1), &None, 1);
    connections.put_back(at(2), &None, 2);
    assert_eq!(connections.next_wakeup(at(3), false), Some(at(20_001)));
    connections.close_expired(at(20_001));
    assert_eq!(connections.open(), 1);
    assert_eq!(connections.take_idle(at(20_001), &None), Some(2));
    connections.record_closed(&None);
    assert_eq!(connections.open(), 0);
}

/// Failed attempts of an earlier time count for nothing. Guards against an owner that gives up all
/// statements at one refusal, and pauses for long, because it had been refused often before.
#[test]
fn earlier_failures_are_forgotten() {
    let mut connections = Connections::new(5);
    let mut now = at(0);
    for _ in 0..6 {
        assert!(connections.next_opening(now, &wanted(&["a"])).is_some());
        connections.record_failed(now, &key("a"), false);
        now = now.after(time::Duration::from_millis(640));
    }
    assert!(connections.is_hopeless());
    let later = now.after(time::Duration::from_secs(60));
    assert!(connections.next_opening(later, &wanted(&["a"])).is_some());
    connections.record_failed(later, &key("a"), true);
    assert!(!connections.is_hopeless());
    let resumed = later.after(time::Duration::from_millis(20));
    assert_eq!(connections.next_wakeup(later, true), Some(resumed));
}
