//! Election of the instances that call the platform on behalf of their zone.

use std::time;

use cardamomhold_core::name;
use xxhash_rust::xxh3;

use crate::fleet;

/// Number of instances of a zone that watch the platform while it answers.
const MIN_WATCHERS: usize = 2;

/// Greatest number of instances of a zone that watch the platform; bounds the calls during an
/// outage.
const MAX_WATCHERS: usize = 8;

/// Time without an answer of the platform after which the number of watchers doubles.
const SILENCE_PER_DOUBLING: time::Duration = time::Duration::from_secs(15);

/// Number of instances of a zone that watch the platform, by the age of its newest answer; the
/// maximum if it hasn't answered.
pub fn watcher_count(answer_age: Option<time::Duration>) -> usize {
    let Some(age) = answer_age else {
        return MAX_WATCHERS;
    };
    let doublings = (age.as_millis() / SILENCE_PER_DOUBLING.as_millis()).min(8) as u32;
    (MIN_WATCHERS << doublings).min(MAX_WATCHERS)
}

/// Whether an instance is among the `count` instances of its zone with the highest weights.
pub fn is_elected(fleet: &fleet::Fleet, own: &fleet::Instance, count: usize) -> bool {
    let own_weight = weight(&own.name);
    let others = fleet.candidates(&own.zone).iter();
    let others = others.filter(|i| i.name != own.name);
    let higher = others.filter(|i| weight(&i.name) > own_weight);
    higher.take(count).count() < count
}

fn weight(instance: &name::InstanceName) -> (u64, &name::InstanceName) {
    (xxh3::xxh3_64(instance.as_str().as_bytes()), instance)
}
