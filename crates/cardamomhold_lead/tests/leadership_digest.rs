//! Digests with which instances compare their copies of the leaderships.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::record;
use proptest::prelude::*;

fn record(group: usize, change: u64) -> record::Leadership {
    let group = name::GroupName::parse(&format!("group-{group}")).unwrap();
    let primary = name::MemberName::parse("db-1").unwrap();
    let first = record::Leadership::first(&group, &primary, position::Term(1));
    record::Leadership { change, ..first }
}

fn changes(records: &record::Leaderships) -> Vec<(name::GroupName, u64)> {
    records
        .iter()
        .map(|r| (r.group.clone(), r.change))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn equal_iff_same(
        one in prop::collection::vec((0_usize..4, 1_u64..5), 0..20),
        other in prop::collection::vec((0_usize..4, 1_u64..5), 0..20),
    ) {
        let mut left = record::Leaderships::default();
        for (group, change) in &one {
            left.update(&record(*group, *change));
        }
        let mut right = record::Leaderships::default();
        for (group, change) in &other {
            right.update(&record(*group, *change));
        }
        let is_same = changes(&left) == changes(&right);
        prop_assert_eq!(left.digest() == right.digest(), is_same);
    }
}
