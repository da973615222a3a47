//! How the voters change.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::lease;
use cardamomhold_lead::round;
use cardamomhold_lead::voters;

fn instance(text: &str) -> name::InstanceName {
    name::InstanceName::parse(text).unwrap()
}

fn set(names: &[&str]) -> voters::Set {
    names.iter().map(|n| instance(n)).collect()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// The registered instances; the first letter of a name is its zone.
struct Registry(Vec<name::InstanceName>);

impl Registry {
    fn new(names: &[&str]) -> Self {
        Self(names.iter().map(|n| instance(n)).collect())
    }

    fn zones(&self) -> collections::BTreeMap<&str, Vec<&name::InstanceName>> {
        let mut zones: collections::BTreeMap<&str, Vec<_>> = collections::BTreeMap::new();
        for name in &self.0 {
            zones.entry(&name.as_str()[..1]).or_default().push(name);
        }
        zones
    }
}

/// No zone has a majority of the voters, and their number is odd.
#[test]
fn zones_are_balanced() {
    let mut names = Vec::new();
    for (zone, count) in [("a", 70), ("b", 40), ("c", 40)] {
        for i in 0..count {
            names.push(format!("{zone}{i:02}"));
        }
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen = voters::choose(&Registry::new(&names).zones(), &voters::Set::new());
    assert_eq!(chosen.len(), 15);
    for zone in ["a", "b", "c"] {
        let count = chosen
            .iter()
            .filter(|n| n.as_str().starts_with(zone))
            .count();
        assert_eq!(count, 5);
    }
}

/// A replaced voter says that it is leaving; the new instance takes its place in two steps.
/// Guards against the review's case 5.
#[test]
fn leaving_voter_is_replaced() {
    let registry = Registry::new(&["a1", "a2", "b1", "c1"]);
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let mut keeper = voters::Keeper::default();
    for name in ["a1", "a2", "b1", "c1"] {
        keeper.record(at(900), &instance(name), 1, name == "a1");
    }
    let proposed = keeper.next(at(1_000), &first, &registry.zones()).unwrap();
    assert_eq!(proposed.current, first.current);
    assert_eq!(proposed.next, Some(set(&["a2", "b1", "c1"])));
    assert_eq!(keeper.next(at(1_100), &proposed, &registry.zones()), None);
    keeper.record(at(1_200), &instance("b1"), 2, false);
    keeper.record(at(1_200), &instance("a2"), 2, false);
    // A majority of the new set, but not of the old one.
    assert_eq!(keeper.next(at(1_300), &proposed, &registry.zones()), None);
    keeper.record(at(1_400), &instance("c1"), 2, false);
    let accepted = keeper.next(at(1_500), &proposed, &registry.zones());
    assert_eq!(accepted, Some(proposed.accepted()));
}

/// A voter that is only silent for a while stays; a longer silence costs it its place.
#[test]
fn silent_voter_is_replaced_late() {
    let registry = Registry::new(&["a1", "a2", "b1", "c1"]);
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let mut keeper = voters::Keeper::default();
    let ask = |keeper: &mut voters::Keeper, now| {
        keeper.record_requests(&set(&["a1", "a2", "b1", "c1"]));
        for name in ["a2", "b1", "c1"] {
            keeper.record(now, &instance(name), 1, false);
        }
        keeper.next(now, &first, &registry.zones())
    };
    for turn in 0..19 {
        assert_eq!(ask(&mut keeper, at(turn * 500)), None);
    }
    let proposed = ask(&mut keeper, at(9_500)).unwrap();
    assert_eq!(proposed.next, Some(set(&["a2", "b1", "c1"])));
}

/// An instance that stood still while it kept the voters doesn't take them for silent.
#[test]
fn frozen_keeper_changes_nothing() {
    let names = ["a1", "a2", "b1", "c1", "c2"];
    let registry = Registry::new(&names);
    let first = voters::Voters::first(set(&names));
    let mut keeper = voters::Keeper::default();
    keeper.record_requests(&set(&names));
    for name in names {
        keeper.record(at(100), &instance(name), 1, false);
    }
    keeper.record_requests(&set(&names));
    for name in ["a1", "b1", "c1"] {
        keeper.record(at(60_000), &instance(name), 1, false);
    }
    assert_eq!(keeper.next(at(60_000), &first, &registry.zones()), None);
}

/// When an operator has removed the record, as most voters are gone for good, those that are there
/// are chosen.
#[test]
fn removed_record_is_restarted() {
    let registry = Registry::new(&["a1", "a2", "b1", "b2", "c1"]);
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let mut keeper = voters::Keeper::default();
    assert_eq!(keeper.choose_live(at(100), &registry.zones()), None);
    for name in ["a2", "b2", "c1"] {
        keeper.record(at(100), &instance(name), 1, false);
    }
    let chosen = keeper.choose_live(at(200), &registry.zones()).unwrap();
    let restarted = first.restarted(chosen);
    assert_eq!(restarted.generation, 2);
    assert_eq!(restarted.current, set(&["a2", "b2", "c1"]));
}

/// A list of instances that is empty or lags, or the silence of most voters, never shrinks the
/// voters to a few.
#[test]
fn few_never_remain() {
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let mut keeper = voters::Keeper::default();
    let empty = Registry::new(&[]);
    assert_eq!(keeper.next(at(60_000), &first, &empty.zones()), None);
    let one = Registry::new(&["a1"]);
    keeper.record(at(60_000), &instance("a1"), 1, false);
    assert_eq!(keeper.next(at(60_000), &first, &one.zones()), None);
}

/// A proposal that its voters never adopt is withdrawn.
#[test]
fn stuck_proposal_is_withdrawn() {
    let registry = Registry::new(&["a1", "b1", "c1"]);
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let proposed = first.proposing(set(&["a2", "b2", "c2"]));
    let mut keeper = voters::Keeper::default();
    for name in ["a1", "b1", "c1"] {
        keeper.record(at(100), &instance(name), 2, false);
    }
    assert_eq!(keeper.next(at(200), &proposed, &registry.zones()), None);
    let withdrawn = keeper.next(at(10_300), &proposed, &registry.zones());
    assert_eq!(withdrawn.map(|v| v.current), Some(first.current));
}

/// While another set is proposed, a majority of both is needed, and answers of instances that have
/// adopted other voters don't count.
#[test]
fn both_sets_confirm() {
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let proposed = first.proposing(set(&["a2", "b2", "c1"]));
    let mut round = round::Round::new(7, at(0), &proposed);
    for name in ["a1", "c1"] {
        round.record_answer(7, 2, &instance(name));
    }
    assert!(!round.is_majority());
    round.record_answer(7, 3, &instance("a2"));
    round.record_answer(6, 2, &instance("a2"));
    assert!(!round.is_majority());
    round.record_answer(7, 2, &instance("a2"));
    assert!(round.is_majority());
}

/// When the voters changed during the acknowledgements, the new ones count, and the leases of the
/// missing instances from then on.
#[test]
fn new_voters_acknowledge() {
    let first = voters::Voters::first(set(&["a1", "b1", "c1"]));
    let all = set(&["a1", "b1", "c1", "a2", "b2"]);
    let mut acks = acks::Acks::new(&first, all);
    acks.record(at(100), &instance("a1"));
    acks.record(at(100), &instance("b1"));
    let span = lease::DURATION + lease::MAX_CLOCK_DRIFT;
    assert_eq!(acks.ended_at(), Some(at(100).after(span)));
    let replaced = first.proposing(set(&["a2", "b2", "c1"])).accepted();
    acks.update_voters(at(900), &replaced);
    assert_eq!(acks.ended_at(), None);
    acks.record(at(950), &instance("a2"));
    acks.record(at(1_000), &instance("c1"));
    assert_eq!(acks.ended_at(), Some(at(1_000).after(span)));
}
