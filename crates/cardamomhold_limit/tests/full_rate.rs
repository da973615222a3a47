//! Operations within the limit are served: tokens reach the instances whose clients need them.

use cardamomhold_workspace::directory;
use rand::SeedableRng;

use crate::world::Disabled;
use crate::world::Plan;
use crate::world::World;

mod world;

const RATE: f64 = 100.0;

fn calm(load: f64, instances: usize) -> World {
    let plan = Plan {
        instances,
        zones: 3,
        loss: 0.0,
        duplicates: 0.0,
        max_delay_ms: 5,
        has_faults: false,
        has_changes: false,
        is_steady: true,
        load,
        max_queue_ms: 5,
        first: directory::Limit {
            rate: RATE,
            burst: 20.0,
        },
    };
    World::new(
        rand_pcg::Pcg64Mcg::seed_from_u64(1),
        plan,
        Disabled::Nothing,
    )
}

/// Guards against tokens that stay where nobody uses them, or that expire unused.
#[test]
fn one_instance() {
    let mut world = calm(2.0, 7);
    world.targets = vec![vec![3], vec![4]];
    assert_eq!(world.run(10_000), None);
    assert!(world.served(0, 1_000) as f64 >= 0.95 * RATE);
    // The clients move; within a second, their new instance has the whole rate.
    world.targets = vec![vec![6], vec![5]];
    assert_eq!(world.run(12_000), None);
    for workspace in 0..2 {
        let served = world.served(workspace, 1_000);
        assert!(served as f64 >= 0.95 * RATE, "{served}");
    }
}

/// Guards against a limit that is not reached when many instances share it.
#[test]
fn many_instances() {
    let mut world = calm(3.0, 24);
    assert_eq!(world.run(15_000), None);
    let served = world.served(0, 5_000);
    assert!(served as f64 >= 0.95 * 5.0 * RATE, "{served}");
}

/// Guards against refusals of a workspace that uses 1 / 1.6 of its rate, as most do.
#[test]
fn usual_load() {
    let mut world = calm(0.625, 24);
    assert_eq!(world.run(6_000), None);
    let refused = world.refused;
    assert_eq!(world.run(20_000), None);
    assert_eq!(world.refused, refused);
}
