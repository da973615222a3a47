//! Short marks of instances, for identifiers that have no room for a name.

use cardamomhold_core::name;
use xxhash_rust::xxh3;

/// A mark of 15 bits; two instances may share one.
pub fn of(instance: &name::InstanceName) -> u16 {
    (xxh3::xxh3_64(instance.as_str().as_bytes()) & 0x7fff) as u16
}
