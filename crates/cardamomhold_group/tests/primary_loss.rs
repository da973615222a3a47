//! When a primary counts as lost, by the reports of several observers.

use std::time;

use cardamomhold_core::position;
use cardamomhold_group::detect;
use cardamomhold_group::status;

const MAJORITY: usize = 2;

fn replica(silence_ms: u64) -> status::MemberStatus {
    status::MemberStatus {
        role: status::MemberRole::Replica,
        term: position::Term(1),
        fenced: position::Term(1),
        received: position::LogPosition(9),
        applied: position::LogPosition(9),
        silence: time::Duration::from_millis(silence_ms),
        lag: time::Duration::ZERO,
        leaving: false,
    }
}

fn is_lost(primary: detect::Reach, silences: &[u64], age_ms: u64) -> bool {
    let replicas: Vec<status::MemberStatus> = silences.iter().map(|s| replica(*s)).collect();
    let witnesses = replicas.iter().map(|status| detect::Witness {
        status,
        age: time::Duration::from_millis(age_ms),
    });
    detect::is_lost(primary, witnesses, MAJORITY)
}

#[test]
fn detects_dead_process() {
    assert!(is_lost(detect::Reach::Closed, &[200, 200], 0));
    assert!(!is_lost(detect::Reach::Closed, &[200, 199], 0));
}

#[test]
fn detects_silent_partition() {
    assert!(is_lost(detect::Reach::Timeout, &[400, 900], 0));
    assert!(!is_lost(detect::Reach::Timeout, &[399, 900], 0));
}

#[test]
fn ignores_own_failure() {
    for reach in [detect::Reach::Closed, detect::Reach::Timeout] {
        assert!(!is_lost(reach, &[0, 100], 0), "replicas receive heartbeats");
        assert!(
            !is_lost(reach, &[100, 9_000], 0),
            "one replica receives heartbeats"
        );
    }
}

#[test]
fn requires_majority() {
    for reach in [detect::Reach::Closed, detect::Reach::Timeout] {
        assert!(!is_lost(reach, &[], 0), "no reachable replica");
        assert!(!is_lost(reach, &[9_000], 0), "no reachable majority");
    }
}

#[test]
fn detects_stalled_primary() {
    for reach in [detect::Reach::Up, detect::Reach::Unknown] {
        assert!(!is_lost(reach, &[1_999, 1_999], 0));
        assert!(
            is_lost(reach, &[2_000, 2_000], 0),
            "no commit can be confirmed"
        );
    }
}

#[test]
fn ignores_old_reports() {
    assert!(is_lost(detect::Reach::Closed, &[9_000, 9_000], 500));
    assert!(!is_lost(detect::Reach::Closed, &[9_000, 9_000], 501));
}
