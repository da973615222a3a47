//! A member that is down is probed by all instances together at a bounded rate. Guards against
//! probes that grow with the number of instances and reach the member's owner as connections.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;

/// Probes of a member by one of `instances` instances, in the minute after its tenth second down.
fn probes(instances: usize) -> usize {
    let name = name::MemberName::parse("db-1").unwrap();
    let mut pool: pool::Pool<u32> = pool::Pool::new();
    pool.set_instances(instances);
    pool.set_members(&[member::MemberInfo {
        name: &name,
        is_near: true,
        is_ready: true,
        share: share::Share::Relayed,
    }]);
    let mut now = Timestamp::from_millis(1_000);
    pool.release(now, &name, None, pool::Completion::Failed);
    let start = now.after(time::Duration::from_secs(10));
    let end = start.after(time::Duration::from_secs(60));
    let mut count = 0;
    while now < end {
        now = now.after(time::Duration::from_millis(10));
        for member in pool.start_probes(now) {
            count += usize::from(now >= start);
            pool.finish_probe(now, &member, false);
        }
    }
    count
}

/// Up to 32 instances as often as before; beyond that the sum stays, up to 320 instances.
#[test]
fn sum_is_bounded() {
    let small = probes(1);
    assert!((145..=151).contains(&small), "{small}");
    assert_eq!(probes(30), small);
    for instances in [64, 100, 300] {
        let total = instances * probes(instances);
        assert!(
            total <= 32 * small * 11 / 10,
            "{instances} instances: {total}"
        );
    }
}
