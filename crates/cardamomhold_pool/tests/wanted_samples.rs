//! An answer has the samples of the groups that the requesting instance uses. Guards against answers
//! with the samples of all groups, and against a group that is left out after its first use, after a
//! lost answer or when the instance begins to pass samples on.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::exchange;
use cardamomhold_pool::interest;
use cardamomhold_pool::sample;
use proptest::prelude::*;

const GROUPS: usize = 6;

fn group(index: usize) -> name::GroupName {
    name::GroupName::parse(&format!("group-{index}")).expect("a valid name")
}

fn sample(sent: u64) -> sample::Sample {
    sample::Sample {
        sent: Timestamp(sent),
        position: position::Position::new(position::Term(1), position::LogPosition(sent)),
    }
}

/// Groups that nobody reads from cost nothing.
#[test]
fn unused_groups_stay_out() {
    let (mut reader, node) = (exchange::Exchange::new(1), exchange::Exchange::new(2));
    for index in 0..140 {
        reader.insert(&group(index), sample(1_000 + index as u64));
    }
    let now = Timestamp(2_000);
    let mut interest = interest::Interest::default();
    interest.record_use(now, &group(3));
    interest.record_use(now, &group(8));
    let wanted = interest.wanted(now, false);
    let answer = reader.answer_wanted(now, node.report().reference, &wanted);
    assert_eq!(answer.samples.len(), 2);
    let later = now.after(interest::USE_TIME);
    let wanted = interest.wanted(later, false);
    assert!(!wanted.includes("group-3"));
}

/// Steps of the simulation.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The reader gets a new sample of a group.
    Sample(usize),
    /// The instance's clients read from a group.
    Use(usize),
    /// The instance sends a request; the answer is lost if `is_lost`.
    Request { is_relaying: bool, is_lost: bool },
    /// The reader restarts.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let request = (prop::bool::weighted(0.2), prop::bool::weighted(0.3));
    let step = prop_oneof![
        4 => (0..GROUPS).prop_map(Step::Sample),
        2 => (0..GROUPS).prop_map(Step::Use),
        4 => request.prop_map(|(is_relaying, is_lost)| Step::Request { is_relaying, is_lost }),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After each answer that arrives, the instance has every position of a wanted group that the
    /// reader has, and the answer has no other group.
    #[test]
    fn wanted_groups_are_complete(steps in steps()) {
        let (mut reader, mut node) = (exchange::Exchange::new(1), exchange::Exchange::new(9));
        let mut interest = interest::Interest::default();
        for (step, kind) in steps.into_iter().enumerate() {
            let now = Timestamp(1_000_000 + step as u64 * 1_000);
            let (is_relaying, is_lost) = match kind {
                Step::Sample(index) => {
                    reader.insert(&group(index), sample(now.0));
                    continue;
                }
                Step::Use(index) => {
                    interest.record_use(now, &group(index));
                    continue;
                }
                Step::Restart => {
                    reader = exchange::Exchange::new(2 + step as u64);
                    continue;
                }
                Step::Request { is_relaying, is_lost } => (is_relaying, is_lost),
            };
            let wanted = interest.wanted(now, is_relaying);
            let answer = reader.answer_wanted(now, node.report().reference, &wanted);
            if is_lost {
                continue;
            }
            interest.record_answer(now);
            node.apply_answer(now, now, &answer);
            for sample in &answer.samples {
                prop_assert!(wanted.includes(sample.group.as_str()), "{}", sample.group);
            }
            for (group, sample) in reader.all() {
                let known = node.newest(group.as_str()).map(|s| s.position);
                let is_wanted = wanted.includes(group.as_str());
                prop_assert!(!is_wanted || known >= Some(sample.position), "{group}");
            }
        }
    }
}
