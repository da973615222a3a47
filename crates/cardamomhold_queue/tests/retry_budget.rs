//! Retries are limited to a fraction of the successful requests.

use cardamomhold_queue::prelude::*;

#[test]
fn retries_are_bounded() {
    let mut budget = Budget::default();
    let granted = (0..10_000).filter(|_| budget.spend()).count();
    assert!(granted <= 100, "{granted} retries without a success");
    for _ in 0..1_000 {
        budget.record_success();
    }
    let granted = (0..10_000).filter(|_| budget.spend()).count();
    assert_eq!(granted, 100, "a tenth of the successes");
}

#[test]
fn savings_are_bounded() {
    let mut budget = Budget::default();
    for _ in 0..1_000_000 {
        budget.record_success();
    }
    let granted = (0..10_000).filter(|_| budget.spend()).count();
    assert_eq!(granted, 100);
}
