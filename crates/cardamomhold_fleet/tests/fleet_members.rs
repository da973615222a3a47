//! Membership: running instances stay, dead ones are removed, paused ones rejoin, and leaving ones
//! lose their ownership.

mod world;

use std::env;

use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use proptest::prelude::*;
use proptest::test_runner;

const COUNT: usize = 9;
/// Time for the fleet to form: pings to the seeds, then rumours.
const FORMATION_MS: u64 = 15_000;
/// Time for all views to converge after the last fault: one comparison and one failure detection.
const CONVERGE_MS: u64 = 90_000;

fn formed_world(seed: u64) -> world::World {
    let mut world = world::World::new(COUNT, seed);
    world.run(FORMATION_MS);
    world
}

fn serves(world: &world::World, viewer: usize, target: usize) -> bool {
    let state = world.state(viewer, target);
    state.is_some_and(|s| s <= fleet::InstanceState::Suspect)
}

#[test]
fn forms_from_seeds() {
    let world = formed_world(1);
    for viewer in 0..COUNT {
        for target in 0..COUNT {
            assert!(
                serves(&world, viewer, target),
                "{viewer} doesn't know {target}"
            );
        }
        assert!(world.can_own(viewer));
    }
}

#[test]
fn starting_instance_owns_nothing() {
    let mut world = formed_world(8);
    world.restart(4);
    // It knows no other instance yet; alone in its view, it would own every endpoint.
    assert_eq!(world.owner(4, "e1", 0), None);
    assert!(!world.can_own(4));
    world.run(3_000);
    assert_eq!(world.owner(4, "e1", 0), world.owner(1, "e1", 0));
    assert!(world.can_own(4));
}

#[test]
fn isolated_instance_owns() {
    let mut world = formed_world(9);
    world.restart(4);
    for index in 0..COUNT {
        if index != 4 {
            world.nodes[index].status = world::Status::Killed;
        }
    }
    world.run(10_000);
    assert!(world.can_own(4));
    let own = world::instance(4).name;
    assert_eq!(world.owner(4, "e1", 0), Some(own));
}

#[test]
fn removes_dead_owner() {
    let mut world = formed_world(2);
    world.nodes[4].status = world::Status::Killed;
    world.run(10_000);
    for viewer in world.running() {
        assert!(
            !serves(&world, viewer, 4),
            "{viewer} still counts 4 as serving"
        );
    }
}

#[test]
fn paused_rejoins_before_owning() {
    let mut world = formed_world(3);
    world.nodes[4].status = world::Status::Frozen;
    world.run(12_000);
    assert!(!serves(&world, 1, 4));
    assert!(!world.can_own(4), "owns while paused");
    // Messages sent before the thaw don't end the rejoin.
    world.thaw(4);
    assert!(!world.can_own(4), "owns after old messages");
    world.run(2_000);
    assert!(world.can_own(4));
    for viewer in 0..COUNT {
        assert!(serves(&world, viewer, 4), "{viewer} considers 4 dead");
    }
}

/// An ack of an instance that has the configuration up to a version.
fn ack(sequence: u64, through: u64) -> message::Message {
    message::Message {
        from: world::instance(1).name,
        incarnation: 1_000_000,
        sequence,
        kind: message::Kind::Ack,
        rumors: Vec::new(),
        through,
        answer_age: None,
        joining: false,
    }
}

#[test]
fn ignores_old_ack() {
    let mut world = formed_world(3);
    world.nodes[4].status = world::Status::Frozen;
    world.run(5_000);
    let now = world.now;
    let node = &mut world.nodes[4].swim;
    node.receive("1", &ack(1, 0), now, &mut Vec::new());
    assert_eq!(node.valid_until(), None);
}

#[test]
fn rejoin_awaits_config() {
    let mut world = formed_world(4);
    world.nodes[4].status = world::Status::Frozen;
    world.run(5_000);
    let now = world.now;
    let node = &mut world.nodes[4].swim;
    let mut outputs = Vec::new();
    node.tick(now, &mut outputs);
    let pings = outputs.iter().filter_map(|o| match o {
        message::Output::Send(_, message) => Some(message.sequence),
        _ => None,
    });
    let last = pings.max().expect("a ping");
    // The ack is new, but the configuration up to its version hasn't arrived.
    node.receive("1", &ack(last, 7), now, &mut Vec::new());
    assert_eq!(node.valid_until(), None);
    node.set_through(7);
    node.tick(now, &mut Vec::new());
    assert!(node.valid_until().is_some_and(|until| until > now));
}

#[test]
fn leaving_moves_ownership() {
    let mut world = formed_world(5);
    world.leave(4);
    world.run(1_000);
    for viewer in 0..COUNT {
        assert!(
            !serves(&world, viewer, 4),
            "{viewer} still counts 4 as serving"
        );
        for i in 0..20 {
            let owner = world.owner(viewer, &format!("e{i}"), 4);
            assert_eq!(owner, world.owner(0, &format!("e{i}"), 4));
        }
    }
}

#[test]
fn isolated_zone_keeps_owners() {
    let mut world = formed_world(6);
    let before: Vec<_> = (0..20)
        .map(|i| world.owner(0, &format!("e{i}"), 0))
        .collect();
    world.cut_zones.insert(0);
    world.run(60_000);
    for viewer in [0, 3, 6] {
        for (i, owner) in before.iter().enumerate() {
            assert_eq!(&world.owner(viewer, &format!("e{i}"), 0), owner);
        }
        assert!(world.can_own(viewer), "{viewer} can't own");
    }
    for viewer in [1, 2, 4] {
        let unreachable = is_zone_unreachable(&world, viewer, 0);
        assert!(unreachable, "{viewer} considers the zone reachable");
        // Only instances of the same zone declare an instance dead; no other zone has done so.
        assert!(serves(&world, viewer, 0), "{viewer} considers 0 dead");
    }
    world.cut_zones.clear();
    world.run(5_000);
    for viewer in 0..COUNT {
        assert!(
            !is_zone_unreachable(&world, viewer, 0),
            "{viewer} considers the zone unreachable after the partition"
        );
    }
}

fn is_zone_unreachable(world: &world::World, viewer: usize, index: usize) -> bool {
    let fleet = world.nodes[viewer].swim.fleet();
    fleet.is_unreachable(&world::zone(index))
}

#[test]
fn rumors_override_list() {
    let mut world = formed_world(7);
    // The list is stale: it has instances that have ended, and a running one marked as leaving.
    let mut listed: Vec<_> = (0..COUNT + 2).map(world::instance).collect();
    listed[3].state = fleet::InstanceState::Leaving;
    world.nodes[10 % COUNT].status = world::Status::Running;
    let now = world.now;
    for index in 0..COUNT {
        world.nodes[index].swim.add_listed(&listed, now);
    }
    for viewer in 0..COUNT {
        assert!(
            serves(&world, viewer, 3),
            "{viewer} took the state from the list"
        );
    }
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize),
    Heal,
    Lose(usize),
    Leave(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => (0..COUNT).prop_map(Fault::Kill),
        2 => (0..COUNT).prop_map(Fault::Restart),
        2 => (0..COUNT).prop_map(Fault::Freeze),
        2 => (0..COUNT).prop_map(Fault::Thaw),
        1 => (0..world::ZONES).prop_map(Fault::Cut),
        1 => Just(Fault::Heal),
        1 => (0..40_usize).prop_map(Fault::Lose),
        1 => (0..COUNT).prop_map(Fault::Leave),
    ]
}

fn apply_fault(world: &mut world::World, leaving: &mut [bool], fault: &Fault) {
    match *fault {
        Fault::Kill(index) => world.nodes[index].status = world::Status::Killed,
        Fault::Restart(index) => {
            leaving[index] = false;
            world.restart(index);
        }
        Fault::Freeze(index) if world.nodes[index].status == world::Status::Running => {
            world.nodes[index].status = world::Status::Frozen;
        }
        Fault::Thaw(index) if world.nodes[index].status == world::Status::Frozen => {
            world.thaw(index)
        }
        Fault::Cut(zone) => {
            world.cut_zones.insert(zone);
        }
        Fault::Heal => world.cut_zones.clear(),
        Fault::Lose(percent) => world.loss_percent = percent,
        Fault::Leave(index) if world.nodes[index].status == world::Status::Running => {
            leaving[index] = true;
            world.leave(index);
        }
        Fault::Freeze(_) | Fault::Thaw(_) | Fault::Leave(_) => {}
    }
}

fn run(faults: &[(Fault, u64)], seed: u64) -> Result<(), TestCaseError> {
    let mut world = formed_world(seed);
    let mut leaving = vec![false; COUNT];
    for (fault, pause) in faults {
        apply_fault(&mut world, &mut leaving, fault);
        world.run(*pause);
    }
    world.cut_zones.clear();
    world.loss_percent = 0;
    for index in 0..COUNT {
        if world.nodes[index].status == world::Status::Frozen {
            world.thaw(index);
        }
    }
    world.run(CONVERGE_MS);
    let running = world.running();
    for &viewer in &running {
        prop_assert!(world.can_own(viewer), "{viewer} does not rejoin");
        for (target, is_leaving) in leaving.iter().enumerate() {
            let is_live = running.contains(&target) && !is_leaving;
            // In a zone without a running instance, none is declared dead, but the zone is
            // unreachable.
            let is_detected = running
                .iter()
                .any(|r| world::zone(*r) == world::zone(target))
                || !is_zone_unreachable(&world, viewer, target);
            if is_detected {
                let serves = serves(&world, viewer, target);
                prop_assert_eq!(serves, is_live, "{}'s view of {} is wrong", viewer, target);
            }
        }
        for endpoint in ["e1", "e2"] {
            for zone in 0..world::ZONES {
                let owner = world.owner(viewer, endpoint, zone);
                prop_assert_eq!(&owner, &world.owner(running[0], endpoint, zone));
            }
        }
    }
    Ok(())
}

fn cases() -> u32 {
    let configured = env::var("CARDAMOMHOLD_CASES").ok();
    configured.and_then(|n| n.parse().ok()).unwrap_or(48)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn views_converge(
        faults in prop::collection::vec((fault(), 100..8_000_u64), 1..16),
        seed in 0..1_000_u64,
    ) {
        run(&faults, seed)?;
    }
}
