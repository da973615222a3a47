//! When a planned change holds writes, and when it starts.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::change;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;
use cardamomhold_group::status;

fn name_of(index: usize) -> name::MemberName {
    name::MemberName::parse(&format!("m{index}")).expect("name")
}

fn status(index: usize, received: u64, lag_ms: u64) -> status::MemberStatus {
    status::MemberStatus {
        role: if index == 0 {
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

/// The driver at the primary's owner, with a requested switchover to `m1`.
fn driver_with_switchover(writers: usize) -> change::Change {
    let mut members = Vec::new();
    for index in 0..3 {
        members.push(spec::MemberSpec {
            name: name_of(index),
            zone: name::ZoneName::parse("a").expect("name"),
            address: String::new(),
            draining: false,
        });
    }
    let mut change = change::Change::default();
    change.apply_spec(&spec::GroupSpec {
        members,
        slots: 3,
        connections: 50,
        key_retention_s: 60,
    });
    let leadership = leadership::Leadership {
        wanted: Some(name_of(1)),
        ..leadership::Leadership::first(name_of(0))
    };
    let precedence = event::Precedence {
        rank: 2,
        owns_primary: true,
    };
    let events = [
        event::Event::Precedence(precedence),
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
    for (index, end) in ends.into_iter().enumerate() {
        let member = &name_of(index);
        let lag_ms = if index == 0 { 0 } else { lag_ms };
        let status = &status(index, end, lag_ms);
        let now = Timestamp::from_millis(ms);
        change.observe(now, event::Event::Report { member, status });
    }
}

/// Whether the driver starts the change when polled at `ms`.
fn starts_change(change: &mut change::Change, ms: u64) -> bool {
    let commands = change.poll(Timestamp::from_millis(ms));
    commands
        .iter()
        .any(|c| matches!(c, event::Command::Write { .. }))
}

#[test]
fn waits_for_target() {
    let mut change = driver_with_switchover(0);
    report(&mut change, 1, [7, 7, 7], 0);
    assert!(!starts_change(&mut change, 1));
    assert_eq!(change.serving_primary(), None, "writes are held");
    report(&mut change, 60, [8, 7, 8], 0);
    assert!(!starts_change(&mut change, 60), "the target lacks a write");
    report(&mut change, 70, [8, 8, 8], 0);
    assert!(starts_change(&mut change, 70));
}

#[test]
fn waits_for_running_writes() {
    let mut change = driver_with_switchover(1);
    report(&mut change, 1, [7, 7, 7], 0);
    assert!(!starts_change(&mut change, 1));
    report(&mut change, 100, [7, 7, 7], 0);
    assert!(!starts_change(&mut change, 100), "a write still runs");
    change.observe(Timestamp::from_millis(110), event::Event::Writers(0));
    assert!(
        !starts_change(&mut change, 110),
        "the report is older than the end of the write"
    );
    report(&mut change, 120, [7, 7, 7], 0);
    assert!(starts_change(&mut change, 120));
}

#[test]
fn ignores_lagging_target() {
    let mut change = driver_with_switchover(0);
    report(&mut change, 1, [900, 7, 900], 501);
    assert!(!starts_change(&mut change, 1));
    assert!(change.serving_primary().is_some(), "writes continue");
}

#[test]
fn ends_hold_after_limit() {
    let mut change = driver_with_switchover(0);
    report(&mut change, 1, [8, 7, 8], 0);
    assert!(!starts_change(&mut change, 1));
    assert_eq!(change.serving_primary(), None);
    report(&mut change, 501, [9, 8, 9], 0);
    assert!(!starts_change(&mut change, 501));
    assert!(
        change.serving_primary().is_some(),
        "writes continue after half a second"
    );
}
