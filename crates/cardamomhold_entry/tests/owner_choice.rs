//! Which instances own a member's connections.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

mod world;

use std::collections;

use cardamomhold_entry::owners;
use cardamomhold_pool::share;

/// The owners of many members are spread over the instances, and losing one instance moves
/// only what it owned.
#[test]
fn few_move() {
    let fleet = world::fleet(49);
    let gone = fleet.keys().next().unwrap().clone();
    let mut rest = fleet.clone();
    rest.remove(&gone);
    let mut load: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
    for i in 0..240 {
        let member = world::member(&format!("db-{i}"));
        let before = owners::of_member(&fleet, "zone-a", &member);
        let after = owners::of_member(&rest, "zone-a", &member);
        assert_eq!(before.len(), 2);
        for owner in &before {
            *load.entry((*owner).clone()).or_default() += 1;
            assert!(**owner == gone || after.contains(owner), "{owner} moved");
        }
    }
    assert!(load.values().all(|n| *n < 40), "{load:?}");
}

/// All owners together stay within what a member takes.
#[test]
fn within_limit() {
    for (connections, instances) in [(47, 15), (73, 146), (248, 116), (20, 300)] {
        let fleet = world::fleet(instances);
        let all = match share::per_instance(connections, instances) {
            Some(own) => own * instances,
            None => share::per_owner(connections, owners::count(&fleet)) * owners::count(&fleet),
        };
        assert!(all <= connections, "{all} of {connections}");
    }
}

/// An instance that does not know the others opens no connections.
#[test]
fn unknown_fleet() {
    world::run(async {
        let world = world::World::new(0);
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        assert!(world.groups.borrow().is_empty());
    });
}
