//! When the promotion lock is taken from its holder.

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A holder that has only just acquired the lock has the whole time to act, however long the
/// promotion has been needed. Guards against the review's case 1: the lock went from one instance
/// to the next within milliseconds.
#[test]
fn new_holder_has_time() {
    let signs = promotion_lock::Signs {
        seen: Some(at(9_000)),
        learned: Some(at(9_000)),
    };
    assert!(!signs.may_acquire(at(9_800), at(1_000), 0));
    assert!(signs.may_acquire(at(9_900), at(1_000), 0));
    assert!(!signs.may_acquire(at(9_900), at(1_000), 1));
}

/// A holder that answers but makes no progress is replaced after some seconds of its own time.
#[test]
fn stalled_holder_is_replaced() {
    let signs = promotion_lock::Signs {
        seen: Some(at(13_900)),
        learned: Some(at(9_000)),
    };
    assert!(!signs.may_acquire(at(13_950), at(1_000), 0));
    assert!(signs.may_acquire(at(14_000), at(1_000), 0));
}

/// Without any known holder the time counts from when the promotion was needed.
#[test]
fn unknown_holder_is_silent() {
    let signs = promotion_lock::Signs::default();
    assert!(!signs.may_acquire(at(1_800), at(1_000), 0));
    assert!(signs.may_acquire(at(1_900), at(1_000), 0));
}
