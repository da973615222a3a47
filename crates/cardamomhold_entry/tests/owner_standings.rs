//! What an instance does with owners that leave, are silent or can't serve a member.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::group::standing;

fn owner() -> name::InstanceName {
    name::InstanceName::parse("entry-1").unwrap()
}

fn member() -> name::MemberName {
    name::MemberName::parse("db-1").unwrap()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Counts the pings of an owner until a time, each of which fails at once.
fn count_pings(standings: &mut standing::Standings, until_ms: u64) -> usize {
    let mut pings = 0;
    for ms in (0..until_ms).step_by(10) {
        for owner in standings.start_pings(at(ms), |_| true) {
            pings += 1;
            standings.record_silent(at(ms), &owner);
        }
    }
    pings
}

/// Guards against 20 failures of one loss that count as 20 losses: the statements that were on their
/// way to the owner fail together.
#[test]
fn one_loss_counts_once() {
    let mut standings = standing::Standings::default();
    assert!(standings.record_silent(at(0), &owner()));
    for ms in 1..20 {
        assert!(!standings.record_silent(at(ms), &owner()));
        standings.record_unserved(at(ms), &owner(), &member());
    }
    assert!(standings.start_pings(at(249), |_| true).is_empty());
    assert_eq!(standings.start_pings(at(250), |_| true), [owner()]);
    assert!(standings.record_answer(&owner()));
    let avoided = standings.of(at(250), &owner(), &member());
    assert_eq!(avoided, standing::Standing::Unserving(at(251)));
    let usable = standings.of(at(251), &owner(), &member());
    assert_eq!(usable, standing::Standing::Usable);
}

/// Guards against owners that are asked again and again while they stop and start: one that has told
/// that it leaves isn't asked, and has to answer a ping afterwards.
#[test]
fn leaving_owner_is_not_asked() {
    let mut standings = standing::Standings::default();
    standings.record_silent(at(0), &owner());
    let leaving = collections::BTreeSet::from([owner()]);
    standings.set_leaving(at(0), &leaving);
    assert!(!standings.record_silent(at(5), &owner()));
    standings.record_unserved(at(5), &owner(), &member());
    assert!(standings.silent().is_empty());
    let standing = standings.of(at(5), &owner(), &member());
    assert_eq!(standing, standing::Standing::Unusable);
    assert_eq!(count_pings(&mut standings, 10_000), 0);
    assert_eq!(standings.next_wakeup(at(10_000), |_| true), None);
    standings.set_leaving(at(10_000), &collections::BTreeSet::new());
    let standing = standings.of(at(10_000), &owner(), &member());
    assert_eq!(standing, standing::Standing::Unusable);
    assert_eq!(standings.start_pings(at(10_250), |_| true), [owner()]);
    assert!(standings.record_answer(&owner()));
    let standing = standings.of(at(10_250), &owner(), &member());
    assert_eq!(standing, standing::Standing::Usable);
}

/// A silent owner is pinged after 0.25, 0.75, 1.75, 3.75 and 7.75 s, then every 4 s.
#[test]
fn silent_owner_is_pinged_rarely() {
    let mut standings = standing::Standings::default();
    standings.record_silent(at(0), &owner());
    assert_eq!(count_pings(&mut standings, 20_000), 8);
}

/// Guards against a rolling stop of all after which each instance connects to all others, for each
/// of its groups, to see whether they are back.
#[test]
fn only_owners_are_pinged() {
    let mut standings = standing::Standings::default();
    let names = (0..100).map(|n| name::InstanceName::parse(&format!("entry-{n}")).unwrap());
    let leaving: collections::BTreeSet<_> = names.collect();
    standings.set_leaving(at(0), &leaving);
    standings.set_leaving(at(10_000), &collections::BTreeSet::new());
    let is_owner = |name: &name::InstanceName| *name == owner();
    assert_eq!(
        standings.next_wakeup(at(10_000), is_owner),
        Some(at(10_250))
    );
    assert_eq!(standings.start_pings(at(10_250), is_owner), [owner()]);
    assert_eq!(standings.next_wakeup(at(10_250), is_owner), None);
    // The others have to answer too, once they are needed.
    assert_eq!(standings.start_pings(at(10_300), |_| true).len(), 99);
}
