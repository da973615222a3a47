//! Tests of the difference between two contents.

use cardamomhold_cli::diff;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;

fn diff_lines(before: &serde_json::Value, after: &serde_json::Value) -> Vec<String> {
    let lines = diff::diff(before, after);
    lines.iter().map(|line| line.to_string()).collect()
}

#[test]
fn lists_each_changed_field() {
    let before = json!({"slots": 3, "members": [{"name": "a"}, {"name": "b"}]});
    let after = json!({"slots": 4, "members": [{"name": "a", "draining": true}]});
    assert_eq!(
        diff_lines(&before, &after),
        [
            "+ members[0].draining: true",
            "- members[1].name: \"b\"",
            "~ slots: 3 -> 4",
        ]
    );
}

#[test]
fn lists_new_content_as_added() {
    let after = json!({"staleness_ms": 5000});
    assert_eq!(
        diff_lines(&serde_json::Value::Null, &after),
        ["+ staleness_ms: 5000"]
    );
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn counts_changed_fields(
        before in prop::collection::btree_map("[a-d]", 0..3u8, 0..4),
        after in prop::collection::btree_map("[a-d]", 0..3u8, 0..4),
    ) {
        let mut expected = 0;
        for name in ["a", "b", "c", "d"] {
            expected += usize::from(before.get(name) != after.get(name));
        }
        let lines = diff::diff(&json!(before), &json!(after));
        prop_assert_eq!(lines.len(), expected);
    }
}
