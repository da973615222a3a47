//! Successor ranks of the promotion lock, and the choice of readers.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_entry::registry;
use cardamomhold_lead::renewal;

fn instance(text: &str) -> name::InstanceName {
    name::InstanceName::parse(text).unwrap()
}

#[test]
fn ranks_alternate_zones() {
    let mut instances = registry::Instances::new();
    for zone in ["a", "b", "c"] {
        for i in 0..7 {
            let entry = registry::Entry {
                address: ([127, 0, 0, 1], 7000).into(),
                zone: zone.to_owned(),
            };
            instances.insert(instance(&format!("entry-{zone}-{i}")), entry);
        }
    }
    let holder = instance("entry-a-0");
    let rank = |name: &str| registry::successor_rank(&instances, &instance(name), Some(&holder));
    assert_eq!(rank("entry-a-1"), 0);
    assert_eq!(rank("entry-b-0"), 1);
    assert_eq!(rank("entry-c-0"), 2);
    assert_eq!(rank("entry-a-2"), 3);
    assert_eq!(rank("unregistered"), 20);
}

/// Each instance has a reader in its zone, a reader reads for itself, and there are only as
/// many readers as needed.
#[test]
fn readers_are_few() {
    let mut instances = registry::Instances::new();
    for i in 100..300 {
        let entry = registry::Entry {
            address: ([127, 0, 0, 1], 7000).into(),
            zone: "a".to_owned(),
        };
        instances.insert(instance(&format!("entry-{i}")), entry);
    }
    let mut readers = std::collections::BTreeSet::new();
    for name in instances.keys() {
        let reader = registry::reader(&instances, name, 0);
        assert_eq!(registry::reader(&instances, reader, 0), reader);
        readers.insert(reader);
    }
    assert_eq!(
        readers.len(),
        200_usize.div_ceil(renewal::INSTANCES_PER_READER)
    );
}
