//! A change of the configuration or of the members is in force at each instance in touch within its
//! time, whatever the store does before and whichever instances are lost meanwhile. Real decisions in
//! virtual time; the check knows only when the store acknowledged a change.
//!
//! `PROPTEST_CASES=10000` plays more histories than CI does.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod fleet;

use cardamomhold_entry::contents::Kind;
use fleet::Disabled;
use fleet::Fault;
use fleet::How;
use fleet::Script;
use fleet::Who;
use fleet::World;
use fleet::store::Failure;
use fleet::store::Outage;
use proptest::prelude::*;

/// End of a history, in ms.
const END_MS: u64 = 48_000;

/// Histories of a run in CI, if `PROPTEST_CASES` isn't set.
const CASES: u32 = 100;

fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|c| c.parse().ok()).unwrap_or(CASES)
}

fn outage() -> impl Strategy<Value = Outage> {
    let failure = prop_oneof![
        Just(Failure::Busy),
        Just(Failure::Reset),
        Just(Failure::Silent),
        (2..4_u64).prop_map(Failure::Lost),
    ];
    let one_of = prop_oneof![3 => Just(1_usize), 1 => 2..4_usize];
    let times = (1_000..32_000_u64, 300..5_500_u64);
    (times, failure, one_of).prop_map(|((from, ms), failure, one_of)| Outage {
        from,
        until: from + ms,
        failure,
        one_of,
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    let who = prop_oneof![
        3 => Just(Who::Reader),
        2 => (0..4_usize).prop_map(Who::Rank),
        1 => (0..15_usize).prop_map(Who::Index),
    ];
    let how = prop_oneof![
        (500..5_000_u64).prop_map(How::Killed),
        Just(How::Killed(60_000)),
        (500..5_000_u64).prop_map(How::Frozen),
        (500..5_000_u64).prop_map(How::Cut),
    ];
    (8_000..42_000_u64, who, how).prop_map(|(at, who, how)| Fault { at, who, how })
}

/// Faults that come together, as when a zone is lost.
fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let group = (
        8_000..42_000_u64,
        prop::collection::vec((0..2_500_u64, fault()), 1..4),
    );
    let group = group.prop_map(|(start, faults)| {
        let faults = faults.into_iter().map(|(offset, fault)| Fault {
            at: start + offset,
            ..fault
        });
        faults.collect::<Vec<_>>()
    });
    prop::collection::vec(group, 0..3).prop_map(|groups| groups.concat())
}

fn script() -> impl Strategy<Value = Script> {
    let change = (
        8_000..44_000_u64,
        prop_oneof![Just(Kind::Config), Just(Kind::Members)],
    );
    // Changes that follow a fault at once.
    let offsets = prop::collection::vec(0..400_u64, 2);
    let parts = (
        prop_oneof![Just(3_usize), Just(9), Just(15)],
        prop::collection::vec(outage(), 0..3),
        prop::collection::vec(8_000..44_000_u64, 0..3),
        faults(),
        prop::collection::vec(change, 0..4),
        offsets,
        prop::bool::weighted(0.75),
    );
    parts.prop_map(
        |(instances, outages, forgets, faults, mut changes, offsets, is_passed)| {
            for (fault, offset) in faults.iter().zip(offsets) {
                changes.push((fault.at + offset, Kind::Config));
                changes.push((fault.at + offset / 2, Kind::Members));
            }
            Script {
                instances,
                outages,
                forgets,
                faults,
                changes,
                is_passed,
            }
        },
    )
}

fn play(script: &Script, disabled: Disabled) -> World {
    let mut world = World::new(script.clone(), disabled);
    world.run(END_MS);
    world
}

/// The day of the review's case 10: an outage, and much later a lost reader and a change.
fn review_case() -> Script {
    Script {
        instances: 15,
        outages: vec![Outage {
            from: 3_000,
            until: 6_600,
            failure: Failure::Busy,
            one_of: 1,
        }],
        forgets: Vec::new(),
        faults: vec![Fault {
            at: 31_000,
            who: Who::Reader,
            how: How::Killed(3_500),
        }],
        changes: vec![(31_100, Kind::Config)],
        is_passed: true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against copies that are renewed too late after their reader is lost.
    #[test]
    fn changes_are_in_force(script in script()) {
        let world = play(&script, Disabled::Nothing);
        prop_assert!(world.late.is_empty(), "{:?}", world.late.first());
    }
}

/// The check reports the review's case 10 when the pauses are kept as before.
#[test]
fn detects_kept_pauses() {
    assert!(!play(&review_case(), Disabled::Backoff).late.is_empty());
    let world = play(&review_case(), Disabled::Nothing);
    assert!(world.late.is_empty(), "{:?}", world.late.first());
    println!("longest {:?}", world.longest);
}

/// The check reports members that nobody compares in time when a vouch has one age for all kinds.
#[test]
fn detects_shared_ages() {
    let losses = [(31_000, 0), (32_400, 1), (33_900, 2)];
    let script = Script {
        instances: 15,
        outages: Vec::new(),
        forgets: Vec::new(),
        faults: losses
            .map(|(at, rank)| Fault {
                at,
                who: Who::Rank(rank),
                how: How::Killed(60_000),
            })
            .to_vec(),
        changes: vec![(31_050, Kind::Members)],
        is_passed: true,
    };
    assert!(!play(&script, Disabled::Ages).late.is_empty());
    let world = play(&script, Disabled::Nothing);
    assert!(world.late.is_empty(), "{:?}", world.late.first());
}

/// An instance whose copy nobody passes on lists the store soon after a silent outage. Guards against a
/// pause that begins when the last lost call has timed out.
#[test]
fn silent_outage_ends() {
    let restart = |at| Fault {
        at,
        who: Who::Reader,
        how: How::Killed(500),
    };
    let script = Script {
        instances: 9,
        outages: vec![Outage {
            from: 26_239,
            until: 31_306,
            failure: Failure::Silent,
            one_of: 1,
        }],
        forgets: Vec::new(),
        faults: vec![restart(30_401), restart(31_153)],
        changes: vec![(31_306, Kind::Config)],
        is_passed: false,
    };
    let world = play(&script, Disabled::Nothing);
    assert!(world.late.is_empty(), "{:?}", world.late.first());
}

/// The time until a change is in force, and the store's calls, after the first readers by rank are lost
/// in a fleet of `instances`.
fn lose_readers(instances: usize, lost: usize) -> World {
    let faults = (0..lost).map(|rank| Fault {
        at: 26_000,
        who: Who::Rank(rank),
        how: How::Killed(60_000),
    });
    let script = Script {
        instances,
        outages: Vec::new(),
        forgets: Vec::new(),
        faults: faults.collect(),
        changes: vec![(26_050, Kind::Config), (26_050, Kind::Members)],
        is_passed: true,
    };
    let mut world = World::new(script, Disabled::Nothing);
    world.run(26_000);
    let before = (world.store.reads, world.store.by_kind);
    world.run(35_000);
    println!(
        "{instances} instances, {lost} readers lost: configuration after {} ms, members after {} ms, \
         {} reads of the control objects, {:?} other calls, {} of them in a second",
        world.longest[Kind::Config as usize],
        world.longest[Kind::Members as usize],
        world.store.reads - before.0,
        Kind::ALL.map(|kind| world.store.by_kind[kind as usize] - before.1[kind as usize]),
        world.store.busiest
    );
    world
}

/// A larger fleet is no later, and doesn't call the store as one. Guards against a crowd of listings
/// after a lost reader. By hand with 295 instances: `FLEET=295 cargo test --release --test reader_losses`.
#[test]
fn large_fleets_follow() {
    let largest = std::env::var("FLEET").map_or(146, |n| n.parse().unwrap());
    for instances in [15, largest] {
        let world = lose_readers(instances, 1);
        assert!(world.late.is_empty(), "{:?}", world.late.first());
        assert!(world.longest[Kind::Config as usize] < 2_000);
        assert!(world.store.busiest < 60, "{}", world.store.busiest);
        let world = lose_readers(instances, 3);
        assert!(world.late.is_empty(), "{:?}", world.late.first());
    }
}

/// In calm only the reader of the fleet calls the store. Guards against copies whose age makes others
/// watch them too, although their reader is there.
#[test]
fn calm_is_cheap() {
    let script = Script {
        instances: 30,
        outages: Vec::new(),
        forgets: Vec::new(),
        faults: Vec::new(),
        changes: Vec::new(),
        is_passed: true,
    };
    let mut world = World::new(script, Disabled::Nothing);
    world.run(8_000);
    let before = world.store.callers.clone();
    world.run(28_000);
    let callers = world.store.callers.iter().zip(before);
    let calling = callers.filter(|(after, before)| **after > *before);
    assert_eq!(calling.count(), 1, "{:?}", world.store.callers);
}
