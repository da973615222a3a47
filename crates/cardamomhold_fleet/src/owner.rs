//! Rendezvous hashing of endpoints to instances.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

/// An instance that may own endpoints, with the hash of its name kept ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub name: name::InstanceName,
    seed: u64,
}

impl Candidate {
    /// A candidate of that name.
    pub fn new(name: &name::InstanceName) -> Self {
        Self {
            name: name.clone(),
            seed: xxh3::xxh3_64(name.as_str().as_bytes()),
        }
    }
}

/// The instance that owns an endpoint among those given.
///
/// Every instance with the same view chooses the same owner, and the loss of one
/// instance moves only the endpoints it owned.
pub fn choose<'a>(
    endpoint: &name::MemberName,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<&'a name::InstanceName> {
    let text = endpoint.as_str().as_bytes();
    let weight = |c: &Candidate| xxh3::xxh3_64_with_seed(text, c.seed);
    let weighed = candidates.into_iter().map(|c| (weight(c), &c.name));
    weighed.max().map(|(_, name)| name)
}
