//! Settings: what is refused, and how the refusal reads.

use cardamomhold_daemon::settings;

fn with(field: &str, value: &str) -> String {
    let mut fields = vec![
        ("instance", r#""entry-a""#),
        ("zone", r#""a""#),
        ("listen", r#""127.0.0.1:5401""#),
        ("peer", r#""127.0.0.1:7101""#),
        ("metrics", r#""127.0.0.1:7301""#),
        ("platform", r#""127.0.0.1:7000""#),
        ("token_secret", r#""sixteen bytes and more""#),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let parts: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\": {value}"))
        .collect();
    format!("{{{}}}", parts.join(", "))
}

#[test]
fn accepts_good_settings() {
    let settings = settings::parse(&with("zone", r#""b""#)).expect("accepted");
    assert_eq!(settings.zone.as_str(), "b");
}

#[test]
fn names_bad_field() {
    for (field, value) in [
        ("listen", r#""nowhere""#),
        ("instance", r#""two words""#),
        ("zone", "7"),
        ("token_secret", r#""short""#),
        ("metrics", r#""127.0.0.1:7101""#),
    ] {
        let error = settings::parse(&with(field, value)).expect_err(field);
        assert!(error.to_string().starts_with(field), "{field}: {error}");
    }
}

#[test]
fn refuses_unknown_field() {
    let error = settings::parse(&with("colour", "1")).expect_err("refused");
    assert!(error.to_string().contains("expected one of"), "{error}");
}
