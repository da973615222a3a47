//! Random fault histories around the driver of changes, checked by an oracle of its guarantees.
//!
//! For a longer run, `CHANGE_CASES` sets the number of histories and `CHANGE_SEED` their seed.

mod world;

use proptest::prelude::*;
use proptest::test_runner;

const SEED: u64 = 20_260_731;
const CASES: u32 = 3_000;

fn env_number(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn action() -> impl Strategy<Value = world::Action> {
    let n = 0..5_usize;
    let index = 0..64_usize;
    prop_oneof![
        30 => n.clone().prop_map(world::Action::Write),
        24 => (1..60_usize).prop_map(world::Action::Round),
        14 => n.clone().prop_map(world::Action::Poll),
        24 => index.clone().prop_map(world::Action::Deliver),
        3 => index.prop_map(world::Action::Drop),
        16 => (n.clone(), 0..3_usize).prop_map(|(m, k)| world::Action::Replicate(m, k)),
        6 => n.clone().prop_map(world::Action::Kill),
        4 => n.clone().prop_map(world::Action::Restart),
        6 => n.clone().prop_map(world::Action::Freeze),
        6 => n.clone().prop_map(world::Action::Thaw),
        3 => (n.clone(), n.clone()).prop_map(|(a, b)| world::Action::CutMembers(a, b)),
        2 => (n.clone(), n.clone()).prop_map(|(d, m)| world::Action::CutDriver(d, m)),
        6 => n.clone().prop_map(world::Action::Isolate),
        4 => Just(world::Action::Heal),
        3 => n.clone().prop_map(world::Action::Pause),
        4 => n.clone().prop_map(world::Action::Resume),
        2 => n.clone().prop_map(world::Action::Replace),
        3 => any::<bool>().prop_map(world::Action::StoreDown),
        2 => Just(world::Action::LoseAnswer),
        2 => n.prop_map(world::Action::Switchover),
    ]
}

fn history() -> impl Strategy<Value = (usize, Vec<world::Action>)> {
    let member_count = prop_oneof![4 => Just(3_usize), 1 => Just(5_usize)];
    (member_count, prop::collection::vec(action(), 1..120))
}

fn run_actions(
    member_count: usize,
    actions: &[world::Action],
    broken_rule: world::BrokenRule,
) -> Result<world::World, String> {
    let mut world = world::World::new(member_count, broken_rule);
    for action in actions {
        world.act(*action)?;
    }
    Ok(world)
}

fn run_and_recover(
    member_count: usize,
    actions: &[world::Action],
    broken_rule: world::BrokenRule,
) -> Result<world::World, String> {
    let mut world = run_actions(member_count, actions, broken_rule)?;
    world.recover()?;
    Ok(world)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(env_number("CHANGE_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

#[test]
fn upholds_guarantees() {
    let cases = env_number("CHANGE_CASES", u64::from(CASES)) as u32;
    let mut runner = test_runner::TestRunner::new(config(cases));
    let changes = std::cell::Cell::new(0);
    let writes = std::cell::Cell::new(0);
    let result = runner.run(&history(), |(member_count, actions)| {
        let world = run_and_recover(member_count, &actions, world::BrokenRule::Nothing);
        let world = world.map_err(test_runner::TestCaseError::fail)?;
        changes.set(changes.get() + world.oracle.changes());
        writes.set(writes.get() + world.oracle.acknowledged.len());
        Ok(())
    });
    println!(
        "histories={cases} changes={} acknowledged={}",
        changes.get(),
        writes.get()
    );
    if let Err(error) = result {
        panic!("{error}");
    }
    assert!(
        changes.get() > cases as usize / 3,
        "too few changes of primary"
    );
}

/// The primary is chosen again for the next term while one replica lags far behind. It dies once
/// that replica has joined, and the other replica, which holds every write, comes back.
fn rejoin_history(
    first_rounds: usize,
    second_rounds: usize,
    broken_rule: world::BrokenRule,
) -> Result<world::World, String> {
    let mut actions = vec![world::Action::CutMembers(0, 1)];
    for _ in 0..4 {
        actions.extend([
            world::Action::Write(0),
            world::Action::Replicate(2, 4),
            world::Action::Round(1),
        ]);
    }
    actions.extend([
        world::Action::Freeze(0),
        world::Action::Round(first_rounds),
        world::Action::Freeze(2),
    ]);
    actions.extend([
        world::Action::Thaw(0),
        world::Action::Heal,
        world::Action::Round(second_rounds),
    ]);
    actions.extend([
        world::Action::Kill(0),
        world::Action::Thaw(2),
        world::Action::Round(100),
    ]);
    run_and_recover(3, &actions, broken_rule)
}

#[test]
fn catches_early_term() {
    let mut failures = Vec::new();
    for first in 10..40 {
        for second in 1..40 {
            assert_eq!(
                rejoin_history(first, second, world::BrokenRule::Nothing).err(),
                None
            );
            failures.extend(rejoin_history(first, second, world::BrokenRule::EarlyTerm).err());
        }
    }
    println!(
        "{} of 1170 histories lose a write: {:?}",
        failures.len(),
        failures.first()
    );
    assert!(
        failures.iter().any(|f| f.contains("lost by")),
        "{failures:?}"
    );
}

/// The primary thaws during its replacement and continues to replicate to a replica.
fn thaw_history(rounds: usize, broken_rule: world::BrokenRule) -> Result<world::World, String> {
    let mut actions = vec![world::Action::Round(2)];
    actions.extend([
        world::Action::CutDriver(1, 0),
        world::Action::CutDriver(2, 0),
    ]);
    actions.extend([
        world::Action::Pause(0),
        world::Action::Freeze(0),
        world::Action::Round(rounds),
    ]);
    actions.extend([
        world::Action::Thaw(0),
        world::Action::StoreDown(true),
        world::Action::Resume(0),
    ]);
    actions.extend([
        world::Action::Write(0),
        world::Action::Replicate(2, 4),
        world::Action::Round(2),
    ]);
    actions.extend([world::Action::StoreDown(false), world::Action::Round(100)]);
    run_actions(3, &actions, broken_rule)
}

#[test]
fn catches_missing_fence() {
    let mut failures = Vec::new();
    for rounds in 1..80 {
        assert_eq!(thaw_history(rounds, world::BrokenRule::Nothing).err(), None);
        failures.extend(thaw_history(rounds, world::BrokenRule::Fence).err());
    }
    println!(
        "{} of 79 histories break a guarantee: {:?}",
        failures.len(),
        failures.first()
    );
    assert!(!failures.is_empty());
}

/// An instance that was paused during a change writes to the old primary, and receives reports of
/// members of the new term whose log ends are as high as its own write.
#[test]
fn keeps_stale_term_unconfirmed() {
    let mut actions = vec![world::Action::Round(2), world::Action::Pause(0)];
    actions.extend([world::Action::Isolate(0), world::Action::Round(100)]);
    actions.extend([
        world::Action::Write(1),
        world::Action::Write(2),
        world::Action::Round(4),
    ]);
    actions.extend([
        world::Action::StoreDown(true),
        world::Action::Resume(0),
        world::Action::Write(0),
    ]);
    actions.push(world::Action::Round(20));
    let world = run_and_recover(3, &actions, world::BrokenRule::Nothing).expect("guarantees hold");
    assert_eq!(
        world.oracle.changes(),
        1,
        "one change while the instance was paused"
    );
}
