//! Rendezvous hashing of endpoints to instances.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

/// An instance that may own endpoints, with the precomputed hash of its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub name: name::InstanceName,
    seed: u64,
}

impl Candidate {
    /// Creates a candidate and hashes its name.
    pub fn new(name: &name::InstanceName) -> Self {
        Self {
            name: name.clone(),
            seed: xxh3::xxh3_64(name.as_str().as_bytes()),
        }
    }
}

/// The candidate that owns an endpoint.
///
/// All instances with the same view choose the same owner, and the loss of one instance
/// moves only the endpoints that it owned.
pub fn choose<'a>(
    endpoint: &name::MemberName,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<&'a name::InstanceName> {
    let text = endpoint.as_str().as_bytes();
    let weight = |c: &Candidate| xxh3::xxh3_64_with_seed(text, c.seed);
    let weighed = candidates.into_iter().map(|c| (weight(c), &c.name));
    weighed.max().map(|(_, name)| name)
}
