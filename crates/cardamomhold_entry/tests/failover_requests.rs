//! Instances that need a failover ask the promotion lock's holder at a bounded rate. Guards against
//! each of them asking at each tick, so that the holder has to answer ten requests a second and
//! group from every instance.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::failovers;

/// Requests of all instances in ten seconds of ticks.
fn requests(instances: u32) -> u32 {
    let group = world::group_name();
    let mut total = 0;
    for rank in 0..instances {
        let mut failovers = failovers::Failovers::default();
        for tick in 0..100 {
            let now = Timestamp::from_millis(1_000 + tick * 100);
            total += u32::from(failovers.begin_request(now, &group, rank));
        }
    }
    total
}

/// A successor asks several times within the time after which a silent holder is replaced; the
/// holder of a large fleet gets little more than one request a second from each.
#[test]
fn requests_are_paced() {
    assert!((30..=40).contains(&requests(1)));
    assert!(requests(300) <= 300 * 10 + 32 * 40);
}
