//! A reader that is asked by too many instances answers the first ones of each interval. Guards
//! against a reader that answers all of them late, so that they all start majority rounds.

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::answer_budget;
use cardamomhold_lead::renewal;

/// Requests that are answered in the first second when `instances` ask in turn.
fn answered(instances: u64) -> u64 {
    let mut budget = answer_budget::AnswerBudget::default();
    let interval = renewal::RENEWAL_INTERVAL.as_micros() as u64;
    let mut count = 0;
    for round in 0..4 {
        for index in 0..instances {
            let now = Timestamp(1_000_000 + round * interval + index * interval / instances);
            count += u64::from(budget.admit(now));
        }
    }
    count
}

#[test]
fn usual_load_is_answered() {
    let readers = 64;
    for instances in [1, readers, 4 * readers] {
        assert_eq!(answered(instances), 4 * instances);
    }
}

#[test]
fn overload_is_shed() {
    let most = u64::from(answer_budget::MAX_ANSWERS);
    for instances in [300, 1_000, 4_400] {
        assert_eq!(answered(instances), 4 * most);
    }
}

/// The latest requests of an interval are dropped, and the next interval begins anew.
#[test]
fn first_ones_are_answered() {
    let mut budget = answer_budget::AnswerBudget::default();
    let start = Timestamp::from_millis(1_000);
    for _ in 0..answer_budget::MAX_ANSWERS {
        assert!(budget.admit(start));
    }
    let later = start.after(time::Duration::from_millis(249));
    assert!(!budget.admit(later));
    assert_eq!(budget.take_shed(), 1);
    assert!(budget.admit(start.after(answer_budget::INTERVAL)));
}
