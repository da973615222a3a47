//! Members whose entries have disappeared, as far as a change of primary must know them.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::roster;
use cardamomhold_entry::view;

type Members = collections::BTreeMap<name::MemberName, view::Member>;

fn group() -> name::GroupName {
    name::GroupName::parse("grp").unwrap()
}

/// Entries with these names and ports.
fn listed(entries: &[(&str, u16)]) -> Members {
    let mut members = Members::new();
    for (name, port) in entries {
        let name = name::MemberName::parse(name).unwrap();
        let member = view::Member {
            name: name.clone(),
            group: group(),
            address: ([127, 0, 0, 1], *port).into(),
            zone: "z1".to_owned(),
            state: view::MemberState::Leaving,
            is_primary: false,
            slots: 3,
            started_ms: 0,
        };
        members.insert(name, member);
    }
    members
}

/// Names of the departed members at a time.
fn departed(roster: &roster::Roster, second: u64) -> Vec<String> {
    let holders = roster.departed(Timestamp::from_millis(second * 1_000), &group());
    holders.iter().map(|h| h.member.to_string()).collect()
}

/// Guards against a leaving replica that is forgotten as soon as its entry disappears, before its
/// successor has its log.
#[test]
fn remembers_until_replaced() {
    let at = |second: u64| Timestamp::from_millis(second * 1_000);
    let mut roster = roster::Roster::default();
    roster.update(at(1), listed(&[("m-a", 1), ("m-b", 2)]));
    assert!(departed(&roster, 1).is_empty());
    roster.update(at(2), listed(&[("m-a", 1)]));
    assert_eq!(departed(&roster, 3), ["m-b"]);
    roster.update(at(4), listed(&[("m-a", 1), ("m-c", 3)]));
    assert_eq!(departed(&roster, 4), ["m-b"], "another address");
    roster.update(at(5), listed(&[("m-a", 1), ("m-c", 3), ("m-d", 2)]));
    assert!(departed(&roster, 5).is_empty(), "replaced at its address");
}

/// One that returns is listed again; one that is lost for good doesn't count for ever.
#[test]
fn forgets_returned_and_lost() {
    let at = |second: u64| Timestamp::from_millis(second * 1_000);
    let mut roster = roster::Roster::default();
    roster.update(at(1), listed(&[("m-a", 1), ("m-b", 2)]));
    roster.update(at(2), listed(&[]));
    roster.update(at(3), listed(&[("m-b", 2)]));
    assert_eq!(departed(&roster, 3), ["m-a"]);
    assert_eq!(departed(&roster, 61), ["m-a"]);
    assert!(departed(&roster, 62).is_empty());
}
