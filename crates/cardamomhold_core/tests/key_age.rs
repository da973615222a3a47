//! Age limits of request keys: when they are rejected, and when they may be deleted.

use std::time;

use cardamomhold_core::key;
use proptest::prelude::*;
use proptest::test_runner;

const SEED: u64 = 0x5eed_0003;

fn key_at(millis: u64, bits: u128) -> key::RequestKey {
    let version = 7 << 76;
    let random = bits & ((1 << 76) - 1);
    let id = uuid::Uuid::from_u128(u128::from(millis) << 80 | version | random);
    key::RequestKey::new(id).expect("version 7")
}

proptest! {
    #![proptest_config(test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 5_000,
        ..test_runner::Config::default()
    })]

    /// Keys that an instance may still accept are kept, even when its clock is an hour behind
    /// and the request takes an hour to arrive; older keys are deleted.
    #[test]
    fn keeps_acceptable_keys(now in 1u64 << 40..1 << 41, age in 0u64..400_000_000, bits: u128) {
        let retention = time::Duration::from_secs(86_400);
        let hour = time::Duration::from_secs(3_600);
        let key = key_at(now - age, bits);
        let now = time::Duration::from_millis(now);
        let is_deleted = key.to_string() < key::oldest_kept(now, retention);
        if !key.is_expired(now - hour - hour, retention) {
            prop_assert!(!is_deleted, "deleted a key that may still be accepted");
        }
        let is_old = key.is_expired(now, retention + key::SWEEP_MARGIN);
        prop_assert_eq!(is_deleted, is_old);
    }
}
