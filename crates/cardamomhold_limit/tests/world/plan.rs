//! How a history goes.

use cardamomhold_workspace::directory;
use rand::RngExt;

use crate::world::Disabled;

/// How a history goes.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: usize,
    pub zones: usize,
    pub loss: f64,
    pub duplicates: f64,
    pub max_delay_ms: u64,
    pub has_faults: bool,
    pub has_changes: bool,
    /// Whether the load keeps coming to the same instances.
    pub is_steady: bool,
    /// Operations of a workspace, as a multiple of its rate.
    pub load: f64,
    /// Longest time in a member's queue.
    pub max_queue_ms: u64,
    pub first: directory::Limit,
}

impl Plan {
    pub fn random(rng: &mut rand_pcg::Pcg64Mcg, disabled: Disabled) -> Self {
        Self {
            instances: rng.random_range(3..=7),
            zones: rng.random_range(2..=3),
            loss: [0.0, 0.02, 0.2][rng.random_range(0..3)],
            duplicates: [0.0, 0.05][rng.random_range(0..2)],
            max_delay_ms: [3, 40, 400, 1_200][rng.random_range(0..4)],
            has_faults: rng.random_bool(0.8),
            has_changes: rng.random_bool(0.5) && disabled != Disabled::StartAbstention,
            is_steady: false,
            load: [0.6, 1.5, 3.0][rng.random_range(0..3)],
            max_queue_ms: [5, 100, 1_500][rng.random_range(0..3)],
            first: random_limit(rng),
        }
    }
}

pub fn random_limit(rng: &mut rand_pcg::Pcg64Mcg) -> directory::Limit {
    directory::Limit {
        rate: [2.0, 20.0, 60.0, 150.0][rng.random_range(0..4)],
        burst: [0.0, 10.0, 60.0, 200.0][rng.random_range(0..4)],
    }
}
