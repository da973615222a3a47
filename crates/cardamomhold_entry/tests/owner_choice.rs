//! Choice of the instances that own a member's connections.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::collections;

use cardamomhold_entry::owners;
use cardamomhold_pool::share;

/// The ownership of many members is spread over the instances, and removing an instance
/// moves only the members that it owned.
#[test]
fn few_owners_move() {
    let fleet = world::fleet(49);
    let removed = fleet.keys().next().unwrap().clone();
    let mut remaining = fleet.clone();
    remaining.remove(&removed);
    let mut load: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
    for i in 0..240 {
        let member = world::member(&format!("db-{i}"));
        let before = owners::of_member(&fleet, "zone-a", &member);
        let after = owners::of_member(&remaining, "zone-a", &member);
        assert_eq!(before.len(), 2);
        for owner in &before {
            *load.entry((*owner).clone()).or_default() += 1;
            assert!(**owner == removed || after.contains(owner), "{owner} moved");
        }
    }
    assert!(load.values().all(|n| *n < 40), "{load:?}");
}

/// All owners together open at most as many connections as a member accepts.
#[test]
fn owners_respect_limit() {
    for (connections, instances) in [(47, 15), (73, 146), (248, 116), (20, 300)] {
        let fleet = world::fleet(instances);
        let all = match share::per_instance(connections, instances) {
            Some(own) => own * instances,
            None => share::per_owner(connections, owners::count(&fleet)) * owners::count(&fleet),
        };
        assert!(all <= connections, "{all} of {connections}");
    }
}

/// An instance without the list of instances starts no groups, so it opens no connections.
#[test]
fn starts_no_groups() {
    world::run(async {
        let world = world::World::new(0);
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        assert!(world.groups.borrow().is_empty());
    });
}
