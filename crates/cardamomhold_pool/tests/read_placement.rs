//! A read goes where it is expected to finish first, and moves on when its member is busier than
//! the instance knows.

use std::time;

use cardamomhold_pool::placement;
use cardamomhold_pool::placement::Candidate;

fn candidate(index: usize, service_ms: f64, wait_ms: f64, was_asked: bool) -> Candidate {
    Candidate {
        index,
        cost_us: (service_ms + wait_ms) * 1e3,
        wait_us: wait_ms * 1e3,
        was_asked,
    }
}

/// Guards against reads that queue at one replica while another, unknown to be idle, is.
#[test]
fn wait_is_bounded() {
    let all = [
        candidate(1, 10.0, 0.0, false),
        candidate(2, 25.0, 0.0, false),
    ];
    let choice = placement::choose(&all).unwrap();
    assert_eq!(choice.index, 1);
    assert_eq!(choice.max_wait, Some(time::Duration::from_millis(25)));
}

/// Guards against a read that is turned away by each member in turn, again and again.
#[test]
fn asked_once() {
    let all = [
        candidate(1, 10.0, 80.0, true),
        candidate(2, 25.0, 90.0, true),
    ];
    let choice = placement::choose(&all).unwrap();
    assert_eq!((choice.index, choice.max_wait), (1, None));
}

/// Guards against a refusal of a read that only one member can serve.
#[test]
fn last_one_waits() {
    let choice = placement::choose(&[candidate(2, 10.0, 900.0, false)]).unwrap();
    assert_eq!((choice.index, choice.max_wait), (2, None));
    assert!(placement::choose(&[]).is_none());
}
