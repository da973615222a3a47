//! Selects the instances of a zone that own the connections to a member which accepts too few
//! for all instances.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

use crate::registry;

/// Number of owners of each member in a zone; each can replace the other when it is
/// unreachable.
const OWNERS_PER_ZONE: usize = 2;

/// The owners of a member in a zone, by rendezvous hashing.
pub fn of_member<'a>(
    instances: &'a registry::Instances,
    zone: &str,
    member: &name::MemberName,
) -> Vec<&'a name::InstanceName> {
    let seed = xxh3::xxh3_64(member.as_str().as_bytes());
    let mut ranked = Vec::new();
    for (name, entry) in instances {
        if entry.zone != zone {
            continue;
        }
        let weight = xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        ranked.push((weight, name));
    }
    ranked.sort_unstable();
    ranked.truncate(OWNERS_PER_ZONE);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Number of owners of each member in all zones together.
pub fn count(instances: &registry::Instances) -> usize {
    let mut zones = std::collections::BTreeMap::new();
    for entry in instances.values() {
        *zones.entry(entry.zone.as_str()).or_insert(0) += 1;
    }
    zones
        .values()
        .map(|n: &usize| (*n).min(OWNERS_PER_ZONE))
        .sum()
}

/// Index of the owner that `own` tries first, so that the load is spread over the owners.
pub fn start_index(own: &name::InstanceName, owners: usize) -> usize {
    xxh3::xxh3_64(own.as_str().as_bytes()) as usize % owners.max(1)
}
