//! The first leadership of a group is created by few instances at a time. Guards against all
//! instances asking all members for their status at once: 101 instances made 42,308 such requests
//! to members that accept 49 connections.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::creations;

/// Attempts of each instance in `seconds`, after a first group was created long ago.
fn attempts(instances: u32, seconds: u64) -> Vec<u32> {
    let first = name::GroupName::parse("first").unwrap();
    let group = world::group_name();
    let mut attempts = Vec::new();
    for rank in 0..instances {
        let mut creations = creations::Creations::default();
        creations.begin(Timestamp::from_millis(1_000), &first, rank);
        creations.retain(|_| false);
        let mut count = 0;
        for tick in 0..seconds * 10 {
            let now = Timestamp::from_millis(100_000 + tick * 100);
            count += u32::from(creations.begin(now, &group, rank));
        }
        attempts.push(count);
    }
    attempts
}

/// The first instance tries as often as the store is read, all together little more often.
#[test]
fn few_instances_try() {
    for instances in [1, 30, 100, 300] {
        let attempts = attempts(instances, 30);
        assert_eq!(attempts[0], 100);
        let total: u32 = attempts.iter().sum();
        assert!(total <= 30 * 25, "{instances} instances: {total}");
    }
}

/// A group that is found later is not tried by all at once.
#[test]
fn later_group_waits() {
    let attempts = attempts(300, 1);
    let early = attempts.iter().filter(|count| **count > 0).count();
    assert!(early <= 4, "{early} instances");
}
