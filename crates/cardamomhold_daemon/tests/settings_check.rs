//! Rejected settings and their error messages.

use cardamomhold_daemon::settings;

fn settings_with(field: &str, value: &str) -> String {
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
fn accepts_valid_settings() {
    let settings = settings::parse(&settings_with("zone", r#""b""#)).expect("accepted");
    assert_eq!(settings.zone.as_str(), "b");
}

#[test]
fn error_names_bad_field() {
    for (field, value) in [
        ("listen", r#""nowhere""#),
        ("instance", r#""two words""#),
        ("zone", "7"),
        ("token_secret", r#""short""#),
        ("metrics", r#""127.0.0.1:7101""#),
    ] {
        let error = settings::parse(&settings_with(field, value)).expect_err(field);
        assert!(error.to_string().starts_with(field), "{field}: {error}");
    }
}

#[test]
fn rejects_unknown_field() {
    let error = settings::parse(&settings_with("colour", "1")).expect_err("refused");
    assert!(error.to_string().contains("expected one of"), "{error}");
}

#[test]
fn error_shows_accepted_value() {
    for (field, value, expected_text) in [
        ("listen", r#""localhost:5401""#, "127.0.0.1:5401"),
        ("platform", "7000", "127.0.0.1:5401"),
        ("token_secret", r#""short""#, "at least 16"),
        ("metrics", r#""127.0.0.1:7101""#, "another port"),
        ("zone", r#""""#, "zone"),
    ] {
        let error = settings::parse(&settings_with(field, value)).expect_err(field);
        assert!(
            error.to_string().contains(expected_text),
            "{field}: {error}"
        );
    }
}

#[test]
fn error_names_missing_field() {
    for field in ["instance", "listen", "platform", "token_secret"] {
        let complete = settings_with("zone", r#""a""#);
        let renamed = complete.replace(&format!("\"{field}\":"), "\"other\":");
        let error = settings::parse(&renamed).expect_err(field);
        assert!(error.to_string().contains("expected one of"), "{error}");
        let mut fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&complete).expect("json");
        fields.remove(field);
        let text = serde_json::Value::from(fields).to_string();
        let error = settings::parse(&text).expect_err(field);
        assert!(error.to_string().contains(field), "{field}: {error}");
    }
}

#[test]
fn rejects_text_after_end() {
    let text = settings_with("zone", r#""a""#) + " {}";
    assert!(settings::parse(&text).is_err());
}
