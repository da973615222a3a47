//! The time without a holder of the tenure stays within its bound, for each kind of loss.

use cardamomhold_workspace::directory;
use rand::RngExt;
use rand::SeedableRng;

use crate::world::Disabled;
use crate::world::Plan;
use crate::world::World;

mod world;

/// Duration of a lease, in milliseconds.
const LEASE_MS: u64 = 750;

/// Time beyond a lease within which there is another holder.
const ELECTION_MS: u64 = 300;

/// Time after a planned stop of the holder within which there is another one.
const HANDOVER_MS: u64 = 50;

const SEEDS: u64 = 200;

/// A fleet of 7 instances, 5 of which are voters, at a random time of its holder's renewals.
fn calm(seed: u64) -> World {
    let plan = Plan {
        instances: 7,
        zones: 3,
        loss: 0.0,
        duplicates: 0.0,
        max_delay_ms: 5,
        has_faults: false,
        has_changes: false,
        is_steady: true,
        load: 0.6,
        max_queue_ms: 5,
        first: directory::Limit {
            rate: 100.0,
            burst: 20.0,
        },
    };
    let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(rng, plan, Disabled::Nothing);
    assert_eq!(world.run(6_000), None);
    let at = world.rng.random_range(6_000..7_000);
    assert_eq!(world.run(at), None);
    world
}

/// Guards against candidates that wait for the lost holder's place in the order, or that collide.
#[test]
fn holder_killed() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        let holder = world.holder().expect("a holder");
        world.kill(&[holder]);
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= LEASE_MS + ELECTION_MS, "{longest} ms");
}

/// Guards against candidates that wait for each of the voters that are gone with the holder.
#[test]
fn voters_killed() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        let holder = world.holder().expect("a holder");
        // Of the five voters, the holder and the one that follows it in the order.
        world.kill(&[holder, (holder + 1) % 5]);
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= LEASE_MS + ELECTION_MS, "{longest} ms");
}

/// Guards against an abstention after the start that begins late or more than once.
#[test]
fn all_restarted() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        world.restart_all();
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= LEASE_MS + ELECTION_MS, "{longest} ms");
}

/// Guards against a planned stop after which the confirmations have to end by themselves.
#[test]
fn holder_stopped() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        let holder = world.holder().expect("a holder");
        world.stop(holder);
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= HANDOVER_MS, "{longest} ms");
}

/// Guards against a successor that is gone when the tenure is handed over to it: it costs no more
/// than the loss of a holder.
#[test]
fn successor_killed() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        let holder = world.holder().expect("a holder");
        let successor = if holder == 0 { 1 } else { 0 };
        world.kill(&[successor]);
        world.stop(holder);
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= LEASE_MS + ELECTION_MS, "{longest} ms");
}

/// Guards against an abstention that the voters begin anew while the holder stops.
#[test]
fn voters_changed() {
    let gaps = (0..SEEDS).map(|seed| {
        let mut world = calm(seed);
        let holder = world.holder().expect("a holder");
        world.replace_voters();
        let delay = world.rng.random_range(0..100);
        assert_eq!(world.run(world.now / 1_000 + delay), None);
        world.stop(holder);
        world.time_to_holder()
    });
    let longest = gaps.max().unwrap_or_default();
    println!("longest time without a holder: {longest} ms");
    assert!(longest <= LEASE_MS + ELECTION_MS, "{longest} ms");
}
