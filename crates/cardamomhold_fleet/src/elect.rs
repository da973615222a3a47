//! Election of the few instances that call the platform on behalf of their zone.

use std::time;

use cardamomhold_core::name;
use xxhash_rust::xxh3;

use crate::fleet;

/// Instances of a zone that watch the platform.
const WATCHERS: usize = 2;

/// Most instances of a zone that watch it; bounds the calls during an outage.
const MAX_WATCHERS: usize = 8;

/// Silence of the platform after which twice as many instances try.
const SILENCE: time::Duration = time::Duration::from_secs(15);

/// How many instances of a zone are to watch, by the age of the platform's newest answer.
pub fn watchers(heard: Option<time::Duration>) -> usize {
    let Some(age) = heard else {
        return MAX_WATCHERS;
    };
    let doublings = (age.as_millis() / SILENCE.as_millis()).min(8) as u32;
    (WATCHERS << doublings).min(MAX_WATCHERS)
}

/// Whether an instance is one of the first `count` of its zone.
pub fn is_elected(fleet: &fleet::Fleet, own: &fleet::Instance, count: usize) -> bool {
    let mine = weight(&own.name);
    let others = fleet.serving(&own.zone).iter();
    let others = others.filter(|i| i.name != own.name);
    let better = others.filter(|i| weight(&i.name) > mine);
    better.take(count).count() < count
}

fn weight(instance: &name::InstanceName) -> (u64, &name::InstanceName) {
    (xxh3::xxh3_64(instance.as_str().as_bytes()), instance)
}
