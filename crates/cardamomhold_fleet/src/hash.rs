//! Short hash of an instance's name, for identifiers without room for the name.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

/// A hash of 15 bits; two instances may have the same one.
pub fn of(instance: &name::InstanceName) -> u16 {
    (xxh3::xxh3_64(instance.as_str().as_bytes()) & 0x7fff) as u16
}
