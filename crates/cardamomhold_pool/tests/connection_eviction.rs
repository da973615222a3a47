//! More workspaces than connections: which idle connection gives way.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

type Connections = connections::Connections<u32>;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn key(text: &str) -> connections::Key {
    Some(name::WorkspaceName::parse(text).unwrap())
}

fn wanted(text: &str) -> [connections::Wanted; 1] {
    [connections::Wanted {
        key: key(text),
        count: 1,
    }]
}

/// Connections that were opened and used at `now`, one for each name, and are in use.
fn in_use(max: usize, now: Timestamp, names: &[&str]) -> Connections {
    let mut connections = Connections::new(max);
    for (link, text) in names.iter().enumerate() {
        connections.next_opening(now, &wanted(text)).unwrap();
        connections.record_opened(now, &key(text), link as u32);
        connections.take_idle(now, &key(text)).unwrap();
    }
    connections
}

/// The workspace with the most idle connections beyond its recent demand gives way first, even if
/// another's has been idle for longer.
#[test]
fn surplus_goes_first() {
    let names = ["a", "b", "b", "b", "c", "c"];
    let mut connections = in_use(6, at(0), &names);
    for (link, text) in names.iter().enumerate() {
        connections.put_back(at(link as u64), &key(text), link as u32);
    }
    // One at a time from here on: after two periods, that is their demand.
    for ms in [11_000, 16_000] {
        for text in ["a", "b", "c"] {
            let link = connections.take_idle(at(ms), &key(text)).unwrap();
            connections.put_back(at(ms + 1), &key(text), link);
        }
    }
    let mut evicted = Vec::new();
    for index in 0..3 {
        let new = format!("new-{index}");
        let opening = connections.next_opening(at(16_010), &wanted(&new)).unwrap();
        evicted.push(opening.evicted.unwrap());
        connections.record_opened(at(16_010), &key(&new), 10 + index);
    }
    // The surplus is two of `b` and one of `c`, then one each.
    let expected = [(key("b"), 1), (key("b"), 2), (key("c"), 4)];
    assert_eq!(evicted, expected);
}

/// Without any surplus, the connection that has been idle longest gives way, but not the last one of
/// a workspace while there are enough for all.
#[test]
fn last_one_is_kept() {
    let mut connections = in_use(4, at(0), &["a", "b", "b", "c"]);
    for (link, text) in ["a", "b", "b", "c"].into_iter().enumerate() {
        connections.put_back(at(1 + link as u64), &key(text), link as u32);
    }
    let opening = connections.next_opening(at(10), &wanted("d")).unwrap();
    assert_eq!(opening.evicted, Some((key("b"), 1)));
    connections.record_opened(at(11), &key("d"), 9);
    connections.take_idle(at(11), &key("d")).unwrap();
    // Five workspaces share four connections: now the one that has been idle longest goes.
    let opening = connections.next_opening(at(100), &wanted("e")).unwrap();
    assert_eq!(opening.evicted, Some((key("a"), 0)));
}

/// A workspace that has connections takes none that others have just used, and never another's last
/// one; guards against large workspaces that take each other's connections in turn.
#[test]
fn large_ones_wait() {
    let mut connections = in_use(4, at(0), &["a", "a", "b", "b"]);
    connections.put_back(at(1), &key("b"), 2);
    connections.put_back(at(2), &key("b"), 3);
    assert_eq!(connections.next_opening(at(3), &wanted("a")), None);
    assert_eq!(connections.next_opening(at(250), &wanted("a")), None);
    let wakeup = connections.next_wakeup(at(3), true);
    assert!(wakeup.is_some_and(|w| w <= at(251)), "{wakeup:?}");
    let opening = connections.next_opening(at(251), &wanted("a")).unwrap();
    assert_eq!(opening.evicted, Some((key("b"), 2)));
    connections.record_opened(at(260), &key("a"), 9);
    connections.take_idle(at(260), &key("a")).unwrap();
    assert_eq!(connections.next_opening(at(4_000), &wanted("a")), None);
}

/// Evictions of connections that are still used have a pace, whatever waits; guards against a
/// member that spends its slots on opening connections.
#[test]
fn evictions_have_a_pace() {
    let names: Vec<String> = (0..40).map(|i| format!("w-{i}")).collect();
    let mut connections = Connections::new(20);
    let mut evictions = 0;
    let mut served = 0;
    for ms in 0..2_000 {
        // Each workspace has a statement in every 40 ms.
        let text = &names[ms as usize % 40];
        if let Some(link) = connections.take_idle(at(ms), &key(text)) {
            connections.put_back(at(ms), &key(text), link);
            served += 1;
            continue;
        }
        while let Some(opening) = connections.next_opening(at(ms), &wanted(text)) {
            evictions += u32::from(opening.evicted.is_some());
            connections.record_opened(at(ms), &opening.key, 0);
            let link = connections.take_idle(at(ms), &key(text)).unwrap();
            connections.put_back(at(ms), &key(text), link);
        }
    }
    assert!(evictions <= 2_000 / 25 + 1, "{evictions}");
    assert!(served > 0);
}

#[derive(Debug, Clone)]
enum Step {
    Want(usize),
    Take(usize),
    Return(usize),
    Close(usize),
    Opened(bool),
    Wait(u64),
}

fn step() -> impl proptest::strategy::Strategy<Value = Step> {
    use proptest::strategy::Strategy;
    (any::<u8>(), 0usize..6, 0u64..400).prop_map(|(kind, which, ms)| match kind % 8 {
        0 | 1 => Step::Want(which),
        2 | 3 => Step::Take(which),
        4 => Step::Return(which),
        5 => Step::Close(which),
        6 => Step::Opened(which != 0),
        _ => Step::Wait(ms),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any history, a connection serves only the workspace that it was opened for, there are never
    /// more than the limit, evicted connections were idle, and the counts add up.
    #[test]
    fn history_is_sound(max in 1usize..5, steps in prop::collection::vec(step(), 1..200)) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut connections = Connections::new(max);
        let mut now = at(0);
        let mut next = 0;
        // Workspace of each connection; those in use; those being opened.
        let mut owners = collections::BTreeMap::new();
        let mut used: Vec<u32> = Vec::new();
        let mut opening = Vec::new();
        for step in steps {
            match step {
                Step::Want(which) => {
                    if let Some(decision) = connections.next_opening(now, &wanted(names[which])) {
                        if let Some((loser, link)) = decision.evicted {
                            prop_assert!(!used.contains(&link));
                            prop_assert_eq!(owners.remove(&link), Some(loser.clone()));
                            prop_assert!(loser != decision.key);
                        }
                        opening.push(decision.key);
                    }
                }
                Step::Take(which) => {
                    if let Some(link) = connections.take_idle(now, &key(names[which])) {
                        prop_assert_eq!(owners.get(&link), Some(&key(names[which])));
                        prop_assert!(!used.contains(&link));
                        used.push(link);
                    }
                }
                Step::Return(which) if !used.is_empty() => {
                    let link = used.remove(which % used.len());
                    connections.put_back(now, &owners[&link], link);
                }
                Step::Close(which) if !used.is_empty() => {
                    let link = used.remove(which % used.len());
                    connections.record_closed(&owners[&link]);
                    owners.remove(&link);
                }
                Step::Opened(is_opened) if !opening.is_empty() => {
                    let key = opening.remove(0);
                    if is_opened {
                        next += 1;
                        owners.insert(next, key.clone());
                        connections.record_opened(now, &key, next);
                    } else {
                        connections.record_failed(now, &key, true);
                    }
                }
                Step::Return(_) | Step::Close(_) | Step::Opened(_) => {}
                Step::Wait(ms) => now = now.after(std::time::Duration::from_millis(ms)),
            }
            prop_assert_eq!(connections.open(), owners.len());
            prop_assert!(owners.len() + opening.len() <= max);
            prop_assert_eq!(connections.opening_for_workspaces(), opening.len());
        }
    }

    /// Whatever happened before, a workspace gets a connection within two seconds once those in use
    /// are returned; guards against a state in which nothing may be opened or evicted any more.
    #[test]
    fn all_get_one(max in 1usize..5, before in prop::collection::vec((0usize..6, 0u64..60), 0..40)) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut connections = Connections::new(max);
        let mut now = at(0);
        let mut serve = |now: Timestamp, text: &str| {
            if let Some(opening) = connections.next_opening(now, &wanted(text)) {
                connections.record_opened(now, &opening.key, 0);
            }
            let link = connections.take_idle(now, &key(text));
            if let Some(link) = link {
                connections.put_back(now, &key(text), link);
            }
            link.is_some()
        };
        for (which, ms) in before {
            serve(now, names[which]);
            now = now.after(std::time::Duration::from_millis(ms));
        }
        for text in names {
            let until = now.after(std::time::Duration::from_secs(2));
            while !serve(now, text) {
                now = now.after(std::time::Duration::from_millis(5));
                prop_assert!(now < until, "{text} gets none");
            }
        }
    }
}

/// Guards against a successor that finds two thirds of the member's connections taken by the owner
/// that leaves, which doesn't use them any more.
#[test]
fn leaving_owner_closes_idle() {
    let mut connections = in_use(4, at(0), &["a", "b"]);
    connections.put_back(at(100), &key("a"), 0);
    connections.close_expired(at(5_000));
    assert_eq!(connections.open(), 2);
    connections.leave();
    assert_eq!(connections.next_wakeup(at(5_000), false), Some(at(350)));
    connections.close_expired(at(5_000));
    assert_eq!(connections.open(), 1);
    connections.put_back(at(5_100), &key("b"), 1);
    connections.close_expired(at(5_349));
    assert_eq!(connections.open(), 1);
    connections.close_expired(at(5_350));
    assert_eq!(connections.open(), 0);
}
