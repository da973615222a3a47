//! A report that arrives after a later one doesn't undo a confirmation.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_group::confirm;
use cardamomhold_group::status;

fn report(term: u64, fenced: u64, received: u64) -> status::MemberStatus {
    status::MemberStatus {
        role: status::MemberRole::Replica,
        term: position::Term(term),
        fenced: position::Term(fenced),
        received: position::LogPosition(received),
        applied: position::LogPosition(received),
        silence: time::Duration::ZERO,
        lag: time::Duration::ZERO,
        leaving: false,
    }
}

fn is_confirmed(reports: &[status::MemberStatus], term: u64, log: u64) -> bool {
    let member = name::MemberName::parse("m0").expect("name");
    let mut confirmations = confirm::Confirmations::new(1);
    for report in reports {
        confirmations.observe(&member, report);
    }
    let position = position::Position::new(position::Term(term), position::LogPosition(log));
    confirmations.is_confirmed(position)
}

#[test]
fn ignores_older_position() {
    assert!(is_confirmed(&[report(2, 2, 9), report(2, 2, 8)], 2, 9));
}

#[test]
fn ignores_older_term() {
    assert!(is_confirmed(&[report(2, 2, 9), report(1, 1, 12)], 2, 9));
}

#[test]
fn rejects_after_later_fence() {
    assert!(!is_confirmed(&[report(2, 2, 9), report(2, 3, 9)], 2, 9));
    assert!(!is_confirmed(&[report(2, 3, 9), report(2, 2, 9)], 2, 9));
}
