//! The log that a new primary must have, by what the members have answered.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::record;
use cardamomhold_lead::succession;

/// Names of a group's members; the first one was the primary.
const MEMBERS: [&str; 5] = ["m-a", "m-b", "m-c", "m-d", "m-e"];

fn member(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

/// A change of primary in a group of `count` members.
fn change(sync_replicas: usize, count: usize) -> succession::Succession {
    let group = name::GroupName::parse("grp").unwrap();
    let first = record::Leadership::first(&group, &member("m-a"), position::Term(1));
    let mut holders = Vec::new();
    for (index, name) in MEMBERS.iter().take(count).enumerate() {
        holders.push(durability::Holder {
            member: member(name),
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
        });
    }
    let ended = succession::Succession::first(first).ended();
    ended.with_holders(sync_replicas, &holders)
}

/// Length of the log that is required, when these members answer with logs of these lengths.
fn required(record: &succession::Succession, answers: &[(&str, u64)]) -> Option<u64> {
    let names: Vec<_> = answers.iter().map(|(name, _)| member(name)).collect();
    let mut candidates = Vec::new();
    for (name, (_, length)) in names.iter().zip(answers) {
        let log = position::LogPosition(*length);
        candidates.push(candidate::Candidate {
            name,
            status: candidate::Status {
                role: candidate::Role::Replica,
                term: position::Term(1),
                received: position::Position::new(position::Term(1), log),
            },
        });
    }
    let shown = record.answers(&candidates);
    let requirement = shown.requirement(&record.durability);
    requirement.log().map(|log| log.0)
}

/// One replica has each commit: none of them may be silent.
#[test]
fn one_replica_has_it() {
    let record = change(1, 3);
    assert_eq!(required(&record, &[]), None);
    assert_eq!(required(&record, &[("m-b", 4)]), None);
    assert_eq!(required(&record, &[("m-b", 4), ("m-c", 9)]), Some(9));
}

/// Two replicas have each commit: one may be silent, and the second longest log will do if none is.
#[test]
fn two_replicas_have_it() {
    let record = change(2, 5);
    let all = [("m-b", 4), ("m-c", 9), ("m-d", 7), ("m-e", 1)];
    assert_eq!(required(&record, &all), Some(7));
    assert_eq!(required(&record, &all[..3]), Some(9));
    assert_eq!(required(&record, &all[..2]), None);
}

/// A group that is too small for its setting waits for all replicas.
#[test]
fn small_group_waits() {
    let record = change(2, 2);
    assert_eq!(required(&record, &[]), None);
    assert_eq!(required(&record, &[("m-b", 4)]), Some(4));
    assert_eq!(required(&change(3, 3), &[("m-b", 4)]), None);
}

/// The former primary's log shows it alone, unless it was lost.
#[test]
fn former_primary_shows_it() {
    let record = change(1, 3);
    assert_eq!(required(&record, &[("m-a", 9), ("m-b", 4)]), Some(9));
    assert_eq!(required(&record, &[("m-a", 0), ("m-b", 4)]), None);
}
