//! The watches of the store are restarted at a bounded rate. Guards against an instance that lists
//! everything after each refusal of a store that answers and refuses in turn, and against an outage
//! after which the watches aren't restarted.

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::restarts;

/// Four outages a second cost one restart a second; the first isn't delayed.
#[test]
fn outages_share_restarts() {
    let mut restarts = restarts::Restarts::default();
    let mut begun = Vec::new();
    for tick in 0..100 {
        let now = Timestamp::from_millis(5_000 + tick * 100);
        if tick % 5 < 2 {
            restarts.request();
        }
        if restarts.begin(now) {
            begun.push(tick);
        }
    }
    assert_eq!(begun[0], 0);
    assert!(begun.len() <= 10, "{begun:?}");
}

/// An outage is followed by a restart, also soon after another one.
#[test]
fn last_outage_counts() {
    let mut restarts = restarts::Restarts::default();
    let at = Timestamp::from_millis;
    restarts.request();
    assert!(restarts.begin(at(1_000)));
    restarts.request();
    assert!(!restarts.begin(at(1_200)));
    assert!(restarts.begin(at(2_000)));
    assert!(!restarts.begin(at(9_000)));
}
