//! Leaderships in the store, with and without the history of their terms.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_entry::control;
use cardamomhold_entry::store;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::record;
use cardamomhold_lead::succession;
use serde_json::Value;
use serde_json::json;

fn member(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

fn status(member_term: u64, term: u64, number: u64) -> candidate::Status {
    candidate::Status {
        role: candidate::Role::Replica,
        term: position::Term(member_term),
        received: position::Position::new(position::Term(term), position::LogPosition(number)),
    }
}

/// Reads a group's record from the store.
fn read(content: Value) -> succession::Succession {
    let document = store::Document {
        name: "group.grp".to_owned(),
        revision: 7,
        content,
    };
    let control = control::Control::read(&store::Listing {
        documents: vec![document],
        revision: 7,
    });
    let (record, _) = control.records.get("grp").unwrap();
    record.clone()
}

/// A record of the former format.
fn former_record(primary: Option<&str>, candidate: Option<&str>, term: u64) -> Value {
    json!({
        "group": "grp", "change": 9, "primary": primary, "former": "m-a",
        "candidate": candidate, "term": term,
    })
}

/// The member that is promoted next of two replicas with these statuses.
fn promoted(
    record: &succession::Succession,
    statuses: [candidate::Status; 2],
) -> Option<name::MemberName> {
    let names = [member("m-b"), member("m-c")];
    let candidates = [0, 1].map(|i| candidate::Candidate {
        name: &names[i],
        status: statuses[i],
    });
    let progress = succession::Progress {
        members: 3,
        tried: &[],
        waited: time::Duration::ZERO,
        running: time::Duration::from_secs(10),
        inherited: None,
        order: None,
        leaving: &[],
        requirement: durability::Requirement::Nothing,
    };
    match record.step(&candidates, progress) {
        succession::Step::Promote(best) => Some(best.name.clone()),
        _ => None,
    }
}

/// A record of the former format says nothing about older terms: a longer log of one isn't trusted.
#[test]
fn missing_history_trusts_term() {
    let record = read(former_record(None, None, 4));
    let (old, new) = (status(3, 3, 90), status(4, 4, 70));
    assert_eq!(promoted(&record, [old, new]), Some(member("m-c")));
    assert_eq!(promoted(&record, [old, old]), None);
}

/// The former version raised the term of an unfinished handover: nobody may have reached it.
#[test]
fn raised_term_is_no_measure() {
    let record = read(former_record(None, Some("m-b"), 18));
    let (old, new) = (status(3, 3, 90), status(4, 4, 70));
    assert_eq!(promoted(&record, [old, new]), Some(member("m-c")));
}

/// What is written can be read by both versions, and the history is the same after it.
#[test]
fn both_versions_read() {
    let leadership = read(former_record(Some("m-a"), None, 4)).leadership;
    let chosen = candidate::Candidate {
        name: &member("m-b"),
        status: status(4, 4, 70),
    };
    let first = succession::Succession::first(leadership).ended();
    let nothing = durability::Requirement::Nothing;
    let next = first.with_candidate(chosen, position::Term(4), None, nothing);
    let led = next.with_primary(candidate::Candidate {
        status: status(5, 4, 70),
        ..chosen
    });
    for record in [next, led.clone(), led.ended()] {
        let content = serde_json::to_value(&record).unwrap();
        let former: record::Leadership = serde_json::from_value(content.clone()).unwrap();
        assert_eq!(former, record.leadership);
        assert_eq!(read(content), record);
    }
    // The beginning of term 5 at 70 tells abandoned commits from others.
    let (ahead, behind) = (status(4, 4, 71), status(4, 4, 69));
    let ended = led.ended();
    assert_eq!(promoted(&ended, [ahead, behind]), Some(member("m-c")));
    assert_eq!(promoted(&ended, [ahead, ahead]), None);
}

/// The fleet's reader reads the records of all groups again and again.
#[test]
fn record_stays_small() {
    let mut record = succession::Succession::first(read(former_record(None, None, 1)).leadership);
    for number in 1..40 {
        let name = member(["m-b", "m-c"][number as usize % 2]);
        let chosen = candidate::Candidate {
            name: &name,
            status: status(number, number, number * 1_000_000_000),
        };
        let nothing = durability::Requirement::Nothing;
        let candidate = record.with_candidate(chosen, position::Term(number), None, nothing);
        record = candidate.with_primary(candidate::Candidate {
            status: status(number + 1, number, number * 1_000_000_000),
            ..chosen
        });
        let len = serde_json::to_string(&record).unwrap().len();
        assert!(len < 400, "{len} bytes after {number} changes");
        record = record.ended();
    }
}

/// A change of primary that another instance continues knows the members and the log that the first
/// one has found. Without synchronous replicas nothing is stored.
#[test]
fn durability_is_stored() {
    let first = read(former_record(Some("m-a"), None, 4));
    let holders = ["m-a", "m-b", "m-c"].map(|name| durability::Holder {
        member: member(name),
        address: ([127, 0, 0, 1], 5_000).into(),
    });
    let asynchronous = first.ended().with_holders(0, &holders);
    let content = serde_json::to_value(&asynchronous).unwrap();
    assert!(content.get("durability").is_none(), "{content}");
    let ended = first.ended().with_holders(1, &holders);
    let chosen = candidate::Candidate {
        name: &member("m-b"),
        status: status(4, 4, 70),
    };
    let log = position::LogPosition(70);
    let requirement = durability::Requirement::Log(log, durability::Basis::Replicas);
    let next = ended.with_candidate(chosen, position::Term(4), None, requirement);
    for record in [ended, next.clone()] {
        assert_eq!(read(serde_json::to_value(&record).unwrap()), record);
    }
    // Nobody has answered yet, but the log that is needed is known.
    let shown = next.answers(&[]).requirement(&next.durability);
    assert_eq!(shown.log(), Some(log));
    // The configuration no longer asks for replicas.
    let changed = next.with_holders(0, &holders);
    assert!(changed.durability.is_asynchronous());
}
