//! Only a few instances call the platform; more do when it doesn't answer.

use std::time;

use cardamomhold_core::name;
use cardamomhold_fleet::election;
use cardamomhold_fleet::fleet;

const COUNT: usize = 440;

fn zone() -> Vec<fleet::Instance> {
    let mut instances = Vec::new();
    for index in 0..COUNT {
        instances.push(fleet::Instance {
            name: name::InstanceName::parse(&format!("i{index}")).expect("name"),
            zone: name::ZoneName::parse("z").expect("name"),
            address: index.to_string(),
            state: fleet::InstanceState::Alive,
        });
    }
    instances
}

fn elected(instances: &[fleet::Instance], count: usize) -> Vec<usize> {
    let mut fleet = fleet::Fleet::default();
    for instance in instances {
        fleet.insert(instance.clone());
    }
    let is_elected = |index: &usize| election::is_elected(&fleet, &instances[*index], count);
    (0..COUNT).filter(is_elected).collect()
}

#[test]
fn elects_two_watchers() {
    let count = election::watcher_count(Some(time::Duration::from_secs(1)));
    assert_eq!(elected(&zone(), count).len(), 2);
}

#[test]
fn silence_adds_watchers() {
    let mut last = 0;
    for seconds in [0, 15, 30, 45, 3_600] {
        let count = election::watcher_count(Some(time::Duration::from_secs(seconds)));
        assert!(count >= last, "{count} after {seconds} s");
        // Not every instance calls a platform that is down.
        assert!(count <= 8, "{count} after {seconds} s");
        last = count;
    }
    assert_eq!(last, 8);
    assert_eq!(election::watcher_count(None), 8);
}

#[test]
fn replaces_dead_watcher() {
    let mut instances = zone();
    let before = elected(&instances, 2);
    instances[before[0]].state = fleet::InstanceState::Dead;
    let after = elected(&instances, 2);
    let living = after.iter().filter(|index| **index != before[0]);
    assert_eq!(living.count(), 2);
    assert!(after.contains(&before[1]), "the other watcher stays");
}
