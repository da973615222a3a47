//! An answer has only the samples that the requesting instance may lack. Guards against answers
//! that repeat the samples of all groups four times a second, and against samples that are left
//! out although their answer was lost.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::exchange;
use cardamomhold_pool::sample;
use proptest::prelude::*;

fn group(index: usize) -> name::GroupName {
    name::GroupName::parse(&format!("group-{index}")).expect("a valid name")
}

fn sample(sent: u64) -> sample::Sample {
    sample::Sample {
        sent: Timestamp(sent),
        position: position::Position::new(position::Term(1), position::LogPosition(sent)),
    }
}

/// Nothing new: nothing is sent.
#[test]
fn unchanged_samples_stay_out() {
    let (mut reader, mut node) = (exchange::Exchange::new(1), exchange::Exchange::new(2));
    for index in 0..140 {
        reader.insert(&group(index), sample(1_000 + index as u64));
    }
    let now = Timestamp(2_000);
    let first = reader.answer_to(now, node.report().reference);
    assert_eq!(first.samples.len(), 140);
    node.apply_answer(now, now, &first);
    let second = reader.answer_to(now, node.report().reference);
    assert_eq!(second.samples.len(), 0);
    reader.insert(&group(3), sample(1_900));
    let third = reader.answer_to(now, node.report().reference);
    assert_eq!(third.samples.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Answers are lost, and the reader restarts. After each answer that arrives the instance has
    /// every position that the reader has.
    #[test]
    fn lost_answers_are_made_up(steps in prop::collection::vec((0_usize..6, 0_u8..8), 1..80)) {
        let (mut reader, mut node) = (exchange::Exchange::new(1), exchange::Exchange::new(9));
        for (step, (index, kind)) in steps.into_iter().enumerate() {
            let now = Timestamp(1_000_000 + step as u64 * 1_000);
            if kind < 4 {
                reader.insert(&group(index), sample(now.0));
                continue;
            }
            if kind == 7 {
                reader = exchange::Exchange::new(2 + step as u64);
                continue;
            }
            let answer = reader.answer_to(now, node.report().reference);
            if kind == 4 {
                continue;
            }
            node.apply_answer(now, now, &answer);
            for (group, sample) in reader.all() {
                let known = node.newest(group.as_str()).map(|s| s.position);
                prop_assert!(known >= Some(sample.position), "{group}");
            }
        }
    }
}
