//! Rendezvous hashing of endpoints to instances.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

/// The instance that owns an endpoint among those given.
///
/// Every instance with the same view chooses the same owner, and the loss of one
/// instance moves only the endpoints it owned.
pub fn choose<'a>(
    endpoint: &name::MemberName,
    instances: impl IntoIterator<Item = &'a name::InstanceName>,
) -> Option<&'a name::InstanceName> {
    instances
        .into_iter()
        .max_by_key(|instance| (weight(endpoint, instance), *instance))
}

fn weight(endpoint: &name::MemberName, instance: &name::InstanceName) -> u64 {
    let seed = xxh3::xxh3_64(instance.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}
