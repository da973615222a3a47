//! Selects the instances that own the connections to a member.
//!
//! One owner at a time serves a member: it knows all work for the member, so that the most
//! urgent goes first whichever instance it comes from. The others are its successors.

use std::collections;

use cardamomhold_core::name;
use xxhash_rust::xxh3;

use crate::registry;

/// Owners in the member's own zone, which reach it by the shortest way.
const LOCAL_OWNERS: usize = 3;

/// Owners in other zones, one in each, for when no instance of the member's zone can be reached.
const REMOTE_OWNERS: usize = 2;

/// Multiple of the owners that serve a member for others, as successors of owners that leave.
const SUCCESSION: usize = 2;

/// The owners of a member in `zone`, in the order in which they are tried, by rendezvous
/// hashing: when an instance leaves, only the members that it owned move.
pub fn of_member<'a>(
    instances: &'a registry::Instances,
    zone: &str,
    member: &name::MemberName,
) -> Vec<&'a name::InstanceName> {
    first(instances.iter(), zone, member)
}

/// The owners of a member while some instances leave: each of these is replaced by the next one of
/// its zone. If all leave, they go on as owners.
pub fn that_serve<'a>(
    instances: &'a registry::Instances,
    leaving: &collections::BTreeSet<name::InstanceName>,
    zone: &str,
    member: &name::MemberName,
) -> Vec<&'a name::InstanceName> {
    let serving = instances
        .iter()
        .filter(|(name, _)| !leaving.contains(*name));
    let owners = first(serving, zone, member);
    match owners.is_empty() {
        true => of_member(instances, zone, member),
        false => owners,
    }
}

/// Whether an instance serves a member for others: it is one of the member's owners, or one of
/// those that replace them.
pub fn may_serve(
    instances: &registry::Instances,
    own: &name::InstanceName,
    zone: &str,
    member: &name::MemberName,
) -> bool {
    let Some(entry) = instances.get(own.as_str()) else {
        return false;
    };
    let owners = match entry.zone == zone {
        true => LOCAL_OWNERS,
        false => 1,
    };
    let own = weight(own, member);
    let same_zone = instances.iter().filter(|(_, e)| e.zone == entry.zone);
    let before = same_zone.filter(|(name, _)| weight(name, member) < own);
    before.count() < owners * SUCCESSION
}

fn weight(instance: &name::InstanceName, member: &name::MemberName) -> u64 {
    let seed = xxh3::xxh3_64(member.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}

fn first<'a>(
    instances: impl Iterator<Item = (&'a name::InstanceName, &'a registry::Entry)>,
    zone: &str,
    member: &name::MemberName,
) -> Vec<&'a name::InstanceName> {
    let mut local = Vec::new();
    let mut remote: collections::BTreeMap<&str, (u64, &name::InstanceName)> =
        collections::BTreeMap::new();
    for (name, entry) in instances {
        let weight = weight(name, member);
        if entry.zone == zone {
            local.push((weight, name));
            continue;
        }
        let first = remote.entry(&entry.zone).or_insert((weight, name));
        *first = (*first).min((weight, name));
    }
    let mut remote: Vec<_> = remote.into_values().collect();
    local.sort_unstable();
    local.truncate(LOCAL_OWNERS);
    remote.sort_unstable();
    remote.truncate(REMOTE_OWNERS);
    let ranked = local.into_iter().chain(remote);
    ranked.map(|(_, name)| name).collect()
}
