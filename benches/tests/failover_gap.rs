//! The gap in writes stays within the targets, and the figures are reproducible.

use cardamomhold_bench::failover;

#[test]
fn gaps_within_targets() {
    let gaps = failover::run(1);
    for gap in &gaps {
        println!("{}", serde_json::to_string(gap).expect("figures"));
    }
    for gap in &gaps {
        assert!(gap.is_within(), "{gap:?}");
    }
    assert_eq!(gaps, failover::run(1), "figures repeat");
}
