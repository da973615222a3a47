//! Choice of the member to promote, and detection of a completed promotion.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::candidate;
use cardamomhold_lead::record;

fn member(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

fn status(role: candidate::Role, term: u64, number: u64) -> candidate::Status {
    let term = position::Term(term);
    candidate::Status {
        role,
        term,
        received: position::Position::new(term, position::LogPosition(number)),
    }
}

#[test]
fn chooses_newest_log() {
    let (a, b, c) = (member("a"), member("b"), member("c"));
    let replica = |number| status(candidate::Role::Replica, 1, number);
    let candidates = [
        candidate::Candidate {
            name: &a,
            status: replica(9),
        },
        candidate::Candidate {
            name: &b,
            status: replica(5),
        },
        candidate::Candidate {
            name: &c,
            status: replica(7),
        },
    ];
    let choose = |tried: &[name::MemberName]| {
        candidate::choose(&candidates, Some(&a), tried).map(|c| c.name.clone())
    };
    assert_eq!(choose(&[]), Some(c.clone()));
    assert_eq!(choose(std::slice::from_ref(&c)), Some(b.clone()));
    assert_eq!(choose(&[b.clone(), c.clone()]), None);
}

/// Two members were promoted one after the other, and the second one is unreachable.
#[test]
fn ignores_superseded_candidate() {
    let (b, c) = (member("b"), member("c"));
    let first = record::Leadership::first(
        &name::GroupName::parse("bookings").unwrap(),
        &member("a"),
        position::Term(1),
    );
    let record = first
        .ended()
        .with_candidate(&b, position::Term(1))
        .with_candidate(&c, position::Term(1));
    assert_eq!(record.change, 4);
    let primary = status(candidate::Role::Primary, 3, 4);
    let reachable = [candidate::Candidate {
        name: &b,
        status: primary,
    }];
    let promoted = candidate::promoted(&reachable, record.candidate.as_ref(), record.term);
    assert!(
        promoted.is_none(),
        "a replaced member counts as the primary"
    );
    let both = [
        reachable[0],
        candidate::Candidate {
            name: &c,
            status: primary,
        },
    ];
    let promoted = candidate::promoted(&both, record.candidate.as_ref(), record.term);
    assert_eq!(promoted.map(|p| p.name), Some(&c));
}

/// A member was promoted, replaced by another candidate and chosen again. Its old term does
/// not count, because the other candidate may have been promoted in between.
#[test]
fn ignores_old_term() {
    let (b, c) = (member("b"), member("c"));
    let group = name::GroupName::parse("bookings").unwrap();
    let first = record::Leadership::first(&group, &member("a"), position::Term(1));
    let reported = position::Term(2);
    let replaced = first
        .ended()
        .with_candidate(&b, position::Term(1))
        .with_candidate(&c, reported);
    let record = replaced.with_candidate(&b, reported);
    let primary = |term| {
        [candidate::Candidate {
            name: &b,
            status: status(candidate::Role::Primary, term, 4),
        }]
    };
    let is_promoted = |term| {
        candidate::promoted(&primary(term), record.candidate.as_ref(), record.term).is_some()
    };
    assert!(
        !is_promoted(2),
        "a term from before the member was replaced counts"
    );
    assert!(is_promoted(5));
}
