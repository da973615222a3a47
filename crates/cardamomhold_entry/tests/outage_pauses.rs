//! The pause between calls of a store that fails them grows during an outage and ends with it. Guards
//! against a pause that outlives its outage and delays the first call of a later one (review case 10).

use std::time;

use cardamomhold_core::backoff;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::follow;
use proptest::prelude::*;

/// Longest pause.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(3_200);

/// Pause after the first failure of an outage.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A pause as left behind by an outage whose last failure is at 10,000 ms.
fn after_outage() -> backoff::Backoff {
    let mut backoff = backoff::Backoff::new(follow::STORE_PAUSES);
    for ms in [6_000, 6_200, 7_000, 10_000] {
        backoff.record_failure(at(ms));
    }
    backoff
}

/// An outage costs few calls.
#[test]
fn pauses_grow() {
    let mut backoff = backoff::Backoff::new(follow::STORE_PAUSES);
    let mut times = Vec::new();
    let mut now = at(1_000);
    while now < at(10_000) {
        times.push(now.0 / 1_000);
        backoff.record_failure(now);
        now = backoff.due().expect("a pause");
    }
    assert_eq!(times, [1_000, 1_200, 2_000, 5_200, 8_400]);
}

/// A failure long after an outage begins with the shortest pause, although nothing was called between.
#[test]
fn time_ends_it() {
    let mut backoff = after_outage();
    assert_eq!(backoff.failures(at(34_000)), 0);
    backoff.record_failure(at(34_000));
    assert_eq!(backoff.due(), Some(at(34_000).after(FIRST_PAUSE)));
}

/// The store's answer to any call that was sent after the failure ends the pause.
#[test]
fn later_answer_ends_it() {
    let mut backoff = after_outage();
    backoff.record_success(at(9_999));
    assert_eq!(backoff.due(), Some(at(10_000).after(MAX_PAUSE)));
    backoff.record_success(at(10_000));
    assert_eq!(backoff.due(), None);
    backoff.record_failure(at(10_100));
    assert_eq!(backoff.due(), Some(at(10_100).after(FIRST_PAUSE)));
}

proptest! {
    /// Whatever failed and was answered before, no call waits longer than the longest pause after the
    /// last failure, and none waits once a call that was sent later has been answered.
    #[test]
    fn never_outlives_its_reason(steps in prop::collection::vec((0..8_000_u64, any::<bool>()), 1..40)) {
        let mut backoff = backoff::Backoff::new(follow::STORE_PAUSES);
        let mut now = 0;
        for (pause, is_answered) in steps {
            now += pause;
            if is_answered {
                backoff.record_success(at(now));
            } else {
                backoff.record_failure(at(now));
            }
            let failed = (!is_answered).then_some(now);
            let latest = failed.map(|ms| at(ms).after(MAX_PAUSE));
            prop_assert!(backoff.due() <= latest, "{backoff:?}");
            prop_assert_eq!(backoff.due().is_some(), failed.is_some());
        }
    }
}

/// A call that was lost has waited for its timeout already. Guards against a pause after a silent outage
/// that is longer than the time after which changes must be in force again.
#[test]
fn lost_call_has_waited() {
    let mut backoff = backoff::Backoff::new(follow::STORE_PAUSES);
    for begun in [10_000, 11_500, 13_000, 16_200] {
        backoff.record_failure(at(begun));
    }
    // The last call was sent at the end of the outage and timed out at 17,700 ms.
    assert_eq!(backoff.due(), Some(at(19_400)));
}
