//! Membership: the living stay, the dead go, the paused rejoin, the leaving hand over.

mod world;

use std::env;

use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use proptest::prelude::*;
use proptest::test_runner;

const COUNT: usize = 9;
/// Time for the fleet to form: pings of the seeds, then each other's news.
const FORMED_MS: u64 = 15_000;
/// Time for every view to settle once faults have ended: a comparison and a detection.
const SETTLED_MS: u64 = 90_000;

fn formed(seed: u64) -> world::World {
    let mut world = world::World::new(COUNT, seed);
    world.run(FORMED_MS);
    world
}

fn serves(world: &world::World, viewer: usize, of: usize) -> bool {
    let state = world.state(viewer, of);
    state.is_some_and(|s| s <= fleet::InstanceState::Suspect)
}

#[test]
fn seeds_suffice() {
    let world = formed(1);
    for viewer in 0..COUNT {
        for of in 0..COUNT {
            assert!(serves(&world, viewer, of), "{viewer} misses {of}");
        }
        assert!(world.may_own(viewer));
    }
}

#[test]
fn newcomer_owns_nothing() {
    let mut world = formed(8);
    world.restart(4);
    // It knows of nobody yet, and would own every endpoint.
    assert_eq!(world.owner(4, "e1", 0), None);
    assert!(!world.may_own(4));
    world.run(3_000);
    assert_eq!(world.owner(4, "e1", 0), world.owner(1, "e1", 0));
    assert!(world.may_own(4));
}

#[test]
fn lonely_goes_on() {
    let mut world = formed(9);
    world.restart(4);
    for at in 0..COUNT {
        if at != 4 {
            world.nodes[at].life = world::Life::Killed;
        }
    }
    world.run(10_000);
    assert!(world.may_own(4));
    let own = world::instance(4).name;
    assert_eq!(world.owner(4, "e1", 0), Some(own));
}

#[test]
fn dead_leaves_owners() {
    let mut world = formed(2);
    world.nodes[4].life = world::Life::Killed;
    world.run(10_000);
    for viewer in world.running() {
        assert!(!serves(&world, viewer, 4), "{viewer} keeps 4");
    }
}

#[test]
fn paused_rejoins_first() {
    let mut world = formed(3);
    world.nodes[4].life = world::Life::Frozen;
    world.run(12_000);
    assert!(!serves(&world, 1, 4));
    // Nothing that was sent before the thaw is proof of anything.
    assert!(!world.may_own(4), "stale before its timer runs");
    world.thaw(4);
    assert!(!world.may_own(4), "stale after old messages");
    world.run(2_000);
    assert!(world.may_own(4));
    for viewer in 0..COUNT {
        assert!(serves(&world, viewer, 4), "{viewer} holds 4 dead");
    }
}

/// An ack of an instance that holds the configuration up to a version.
fn ack(sequence: u64, through: u64) -> message::Message {
    message::Message {
        from: world::instance(1).name,
        incarnation: 1_000_000,
        sequence,
        kind: message::Kind::Ack,
        rumors: Vec::new(),
        through,
        heard: None,
        joining: false,
    }
}

#[test]
fn old_ack_proves_nothing() {
    let mut world = formed(3);
    world.nodes[4].life = world::Life::Frozen;
    world.run(5_000);
    let now = world.now;
    let node = &mut world.nodes[4].swim;
    node.receive("1", &ack(1, 0), now, &mut Vec::new());
    assert_eq!(node.valid_until(), None);
}

#[test]
fn rejoin_awaits_config() {
    let mut world = formed(4);
    world.nodes[4].life = world::Life::Frozen;
    world.run(5_000);
    let now = world.now;
    let node = &mut world.nodes[4].swim;
    let mut outputs = Vec::new();
    node.tick(now, &mut outputs);
    let pings = outputs.iter().filter_map(|o| match o {
        message::Output::Send(_, message) => Some(message.sequence),
        _ => None,
    });
    let last = pings.max().expect("it pings");
    // The ack is fresh, but the configuration that it names is not here yet.
    node.receive("1", &ack(last, 7), now, &mut Vec::new());
    assert_eq!(node.valid_until(), None);
    node.set_through(7);
    node.tick(now, &mut Vec::new());
    assert!(node.valid_until().is_some_and(|until| until > now));
}

#[test]
fn leaving_moves_ownership() {
    let mut world = formed(5);
    world.leave(4);
    world.run(1_000);
    for viewer in 0..COUNT {
        assert!(!serves(&world, viewer, 4), "{viewer} keeps 4");
        for i in 0..20 {
            let owner = world.owner(viewer, &format!("e{i}"), 4);
            assert_eq!(owner, world.owner(0, &format!("e{i}"), 4));
        }
    }
}

#[test]
fn cut_zone_keeps_owners() {
    let mut world = formed(6);
    let before: Vec<_> = (0..20)
        .map(|i| world.owner(0, &format!("e{i}"), 0))
        .collect();
    world.cut.insert(0);
    world.run(60_000);
    for viewer in [0, 3, 6] {
        for (i, owner) in before.iter().enumerate() {
            assert_eq!(&world.owner(viewer, &format!("e{i}"), 0), owner);
        }
        assert!(world.may_own(viewer), "{viewer} goes on");
    }
    for viewer in [1, 2, 4] {
        let name = fleet_zone(&world, viewer, 0);
        assert!(name, "{viewer} sees the zone cut off");
        // The neighbours' own judgement stands: nobody out here holds them dead.
        assert!(serves(&world, viewer, 0), "{viewer} holds 0 dead");
    }
    world.cut.clear();
    world.run(5_000);
    for viewer in 0..COUNT {
        assert!(!fleet_zone(&world, viewer, 0), "{viewer} after the heal");
    }
}

fn fleet_zone(world: &world::World, viewer: usize, at: usize) -> bool {
    let fleet = world.nodes[viewer].swim.fleet();
    fleet.is_unreachable(&world::zone(at))
}

#[test]
fn list_is_hint() {
    let mut world = formed(7);
    // The list lags: it has instances that are gone, and calls living ones leaving.
    let mut listed: Vec<_> = (0..COUNT + 2).map(world::instance).collect();
    listed[3].state = fleet::InstanceState::Leaving;
    world.nodes[10 % COUNT].life = world::Life::Running;
    let now = world.now;
    for at in 0..COUNT {
        world.nodes[at].swim.hint(&listed, now);
    }
    for viewer in 0..COUNT {
        assert!(serves(&world, viewer, 3), "{viewer} believes the list");
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

fn strike(world: &mut world::World, leaving: &mut [bool], fault: &Fault) {
    match *fault {
        Fault::Kill(at) => world.nodes[at].life = world::Life::Killed,
        Fault::Restart(at) => {
            leaving[at] = false;
            world.restart(at);
        }
        Fault::Freeze(at) if world.nodes[at].life == world::Life::Running => {
            world.nodes[at].life = world::Life::Frozen;
        }
        Fault::Thaw(at) if world.nodes[at].life == world::Life::Frozen => world.thaw(at),
        Fault::Cut(zone) => {
            world.cut.insert(zone);
        }
        Fault::Heal => world.cut.clear(),
        Fault::Lose(percent) => world.loss = percent,
        Fault::Leave(at) if world.nodes[at].life == world::Life::Running => {
            leaving[at] = true;
            world.leave(at);
        }
        Fault::Freeze(_) | Fault::Thaw(_) | Fault::Leave(_) => {}
    }
}

fn run(faults: &[(Fault, u64)], seed: u64) -> Result<(), TestCaseError> {
    let mut world = formed(seed);
    let mut leaving = vec![false; COUNT];
    for (fault, pause) in faults {
        strike(&mut world, &mut leaving, fault);
        world.run(*pause);
    }
    world.cut.clear();
    world.loss = 0;
    for at in 0..COUNT {
        if world.nodes[at].life == world::Life::Frozen {
            world.thaw(at);
        }
    }
    world.run(SETTLED_MS);
    let running = world.running();
    for &viewer in &running {
        prop_assert!(world.may_own(viewer), "{viewer} does not rejoin");
        for (of, is_leaving) in leaving.iter().enumerate() {
            let is_live = running.contains(&of) && !is_leaving;
            // A zone without a living instance has nobody to judge it, but counts as cut off.
            let is_judged = running.iter().any(|r| world::zone(*r) == world::zone(of))
                || !fleet_zone(&world, viewer, of);
            if is_judged {
                let serves = serves(&world, viewer, of);
                prop_assert_eq!(serves, is_live, "{} on {}", viewer, of);
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
    let asked = env::var("CARDAMOMHOLD_CASES").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(48)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn views_settle(
        faults in prop::collection::vec((fault(), 100..8_000_u64), 1..16),
        seed in 0..1_000_u64,
    ) {
        run(&faults, seed)?;
    }
}
