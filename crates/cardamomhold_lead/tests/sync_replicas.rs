//! No promoted member lacks a commit that was acknowledged by synchronous replicas, in groups of three
//! and five, although members receive nothing, are leaving, silent and back in any order. The check
//! knows only what was acknowledged.
//!
//! `CARDAMOMHOLD_CASES=100000` runs more histories than CI does.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

mod succession;

use std::env;

/// Number of histories for each number of synchronous replicas in CI.
const CASES: u64 = 1_000;

fn cases() -> u64 {
    let cases = env::var("CARDAMOMHOLD_CASES").ok();
    cases.and_then(|c| c.parse().ok()).unwrap_or(CASES)
}

fn play(
    seed: u64,
    sync_replicas: usize,
    disabled: succession::Disabled,
) -> (succession::World, bool) {
    let mut world = succession::World::new(seed, disabled, sync_replicas);
    let has_primary = world.run();
    (world, has_primary)
}

/// Guards against the review's case 7: the member that answered was promoted, although another one
/// alone had the last acknowledged commits.
#[test]
fn acked_commits_stay() {
    let mut stuck = Vec::new();
    for sync_replicas in 1..=2 {
        for seed in 0..cases() {
            let (mut world, has_primary) = play(seed, sync_replicas, succession::Disabled::Nothing);
            assert_eq!(world.lost, 0, "seed {seed}, {sync_replicas} replicas");
            assert_eq!(world.violations, 0, "seed {seed}, {sync_replicas} replicas");
            assert_eq!(
                world.rolled_back, 0,
                "seed {seed}, {sync_replicas} replicas"
            );
            let is_served = has_primary || world.needs_order() && world.run_with_order();
            if !is_served {
                stuck.push((seed, sync_replicas));
            }
        }
    }
    assert!(stuck.is_empty(), "no primary in the end: seeds {stuck:?}");
}

/// The check detects promotions by the answers alone.
#[test]
fn detects_missing_guard() {
    let mut lost = 0;
    for seed in 0..100 {
        let (world, _) = play(seed, 1, succession::Disabled::Durability);
        lost += world.lost;
    }
    assert!(lost > 0);
}

/// Guards against two calls for one member, the first of which takes effect after the member has led
/// and was replaced: it leads again, and what its successor has acknowledged is rolled back.
#[test]
fn late_call_rolls_nothing_back() {
    let (world, _) = play(1_451, 1, succession::Disabled::Nothing);
    assert_eq!(world.rolled_back, 0);
}
