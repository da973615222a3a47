//! When a planned change holds writes back, and when it starts.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::change;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;
use cardamomhold_group::status;

fn name_of(at: usize) -> name::MemberName {
    name::MemberName::parse(&format!("m{at}")).expect("name")
}

fn status(at: usize, received: u64, lag_ms: u64) -> status::MemberStatus {
    status::MemberStatus {
        role: if at == 0 {
            status::MemberRole::Primary
        } else {
            status::MemberRole::Replica
        },
        term: position::Term(1),
        fenced: position::Term(1),
        received: position::LogPosition(received),
        applied: position::LogPosition(received),
        silence: time::Duration::ZERO,
        lag: time::Duration::from_millis(lag_ms),
        leaving: false,
    }
}

/// The driver at the primary's owner, with `m1` wanted.
fn ordered(writers: usize) -> change::Change {
    let mut members = Vec::new();
    for at in 0..3 {
        members.push(spec::MemberSpec {
            name: name_of(at),
            zone: name::ZoneName::parse("a").expect("name"),
            address: String::new(),
            draining: false,
        });
    }
    let mut change = change::Change::default();
    change.reshape(&spec::GroupSpec {
        members,
        slots: 3,
        connections: 50,
        key_retention_s: 60,
    });
    let leadership = leadership::Leadership {
        wanted: Some(name_of(1)),
        ..leadership::Leadership::first(name_of(0))
    };
    let place = event::Place {
        rank: 2,
        owns_primary: true,
    };
    let events = [
        event::Event::Place(place),
        event::Event::Writers(writers),
        event::Event::Leadership {
            leadership: &leadership,
            version: 1,
        },
    ];
    for event in events {
        change.observe(Timestamp(0), event);
    }
    change
}

fn report(change: &mut change::Change, ms: u64, ends: [u64; 3], lag_ms: u64) {
    for (at, end) in ends.into_iter().enumerate() {
        let member = &name_of(at);
        let lag_ms = if at == 0 { 0 } else { lag_ms };
        let status = &status(at, end, lag_ms);
        let now = Timestamp::from_millis(ms);
        change.observe(now, event::Event::Report { member, status });
    }
}

/// Whether the change starts at a moment.
fn starts(change: &mut change::Change, ms: u64) -> bool {
    let commands = change.poll(Timestamp::from_millis(ms));
    commands
        .iter()
        .any(|c| matches!(c, event::Command::Write { .. }))
}

#[test]
fn level_target() {
    let mut change = ordered(0);
    report(&mut change, 1, [7, 7, 7], 0);
    assert!(!starts(&mut change, 1));
    assert_eq!(change.serving(), None, "writes are held");
    report(&mut change, 60, [8, 7, 8], 0);
    assert!(!starts(&mut change, 60), "the target lacks a write");
    report(&mut change, 70, [8, 8, 8], 0);
    assert!(starts(&mut change, 70));
}

#[test]
fn running_writes() {
    let mut change = ordered(1);
    report(&mut change, 1, [7, 7, 7], 0);
    assert!(!starts(&mut change, 1));
    report(&mut change, 100, [7, 7, 7], 0);
    assert!(!starts(&mut change, 100), "a write still runs");
    change.observe(Timestamp::from_millis(110), event::Event::Writers(0));
    assert!(
        !starts(&mut change, 110),
        "the report is older than its end"
    );
    report(&mut change, 120, [7, 7, 7], 0);
    assert!(starts(&mut change, 120));
}

#[test]
fn target_far_behind() {
    let mut change = ordered(0);
    report(&mut change, 1, [900, 7, 900], 501);
    assert!(!starts(&mut change, 1));
    assert!(change.serving().is_some(), "writes go on");
}

#[test]
fn hold_ends() {
    let mut change = ordered(0);
    report(&mut change, 1, [8, 7, 8], 0);
    assert!(!starts(&mut change, 1));
    assert_eq!(change.serving(), None);
    report(&mut change, 501, [9, 8, 9], 0);
    assert!(!starts(&mut change, 501));
    assert!(
        change.serving().is_some(),
        "writes go on after half a second"
    );
}
