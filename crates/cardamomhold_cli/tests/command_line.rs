//! Tests of command-line parsing and its error messages.

use std::ffi;

use cardamomhold_cli::failure;
use cardamomhold_cli::flags;
use cardamomhold_cli::json;
use cardamomhold_proto::operator as schema;
use serde_json::json;

fn parse(line: &str) -> Result<flags::Cardamomhold, xflags::Error> {
    let words = line.split_whitespace().map(ffi::OsString::from).collect();
    flags::Cardamomhold::from_vec(words)
}

#[test]
fn parses_each_command() {
    for line in [
        "status --wait",
        "--json status",
        "get stop-rule",
        "list rank",
        "diff rank bulk --field queue=500",
        "--author ann set read-kind report --file report.json --version 7",
        "set rank bulk --field queue=500 --field share_percent=5",
        "remove caller kalkbok",
        "history group bookings",
        "drain bookings bookings-2",
        "undrain bookings bookings-2 --version 3",
        "--address 127.0.0.1:7102 switchover bookings",
    ] {
        assert!(parse(line).is_ok(), "{line}");
    }
    for line in [
        "",
        "set",
        "drain bookings",
        "status --sooner",
        "set rank bulk --version x",
    ] {
        assert!(parse(line).is_err(), "{line}");
    }
}

#[test]
fn rejects_invalid_targets() {
    let target = json::Target::parse("stop-rule", None).expect("has one name");
    assert_eq!(target.to_string(), "stop-rule default");
    for (kind, name, expected) in [
        ("colour", Some("x"), "use group, rank"),
        ("group", None, "cardamomhold list group"),
        ("rank", Some("later"), "refused: name"),
        ("group", Some("two words"), "refused: name"),
    ] {
        let refused = json::Target::parse(kind, name).expect_err(kind);
        assert!(refused.to_string().contains(expected), "{refused}");
        assert_eq!(refused.exit_code(), failure::EXIT_USAGE);
    }
}

#[test]
fn fields_replace_content() {
    let content = json!({"staleness_ms": 5000});
    let pairs = ["staleness_ms=900".to_owned()];
    let changed = json::with_fields(&content, &pairs).expect("pair");
    assert_eq!(changed, json!({"staleness_ms": 900}));
    let refused = json::with_fields(&content, &["staleness_ms".to_owned()]).expect_err("no pair");
    assert_eq!(refused.exit_code(), failure::EXIT_USAGE);
}

#[test]
fn errors_name_rejected_field() {
    for (kind, content, path) in [
        (schema::Kind::Rank, json!({"queue": "many"}), "queue"),
        (schema::Kind::ReadKind, json!({"colour": 1}), "colour"),
        (
            schema::Kind::Group,
            json!({"members": [{"name": "a b", "zone": "a", "address": "x"}]}),
            "members[0].name",
        ),
        (schema::Kind::Leadership, json!({"term": 1}), "kind"),
    ] {
        let refused = json::parse_content(kind, content).expect_err(path);
        assert!(
            refused.to_string().starts_with(&format!("refused: {path}")),
            "{refused}"
        );
    }
}
