//! Tests of splitting a text into statements and classifying them.

use cardamomhold_wire::statement;

fn classes(text: &str) -> Vec<statement::Class> {
    let statements = statement::classify_all(text);
    statements.into_iter().map(|s| s.class).collect()
}

#[test]
fn classifies_every_statement() {
    let actual = classes("SELECT ';'; /* x; */ COPY t FROM 'file'; -- end; \n COMMIT");
    let expected = [
        statement::Class::Plain,
        statement::Class::Copy,
        statement::Class::End,
    ];
    assert_eq!(actual, expected);
    let after_word = [statement::Class::Plain, statement::Class::End];
    assert_eq!(classes("SELECT 1 AS stdin; COMMIT"), after_word);
    assert_eq!(classes("  ;; "), []);
    assert_eq!(classes("SELECT $$;COMMIT;$$"), [statement::Class::Plain]);
}

#[test]
fn keeps_statement_text() {
    let statements = statement::classify_all("SET a.b = 'x;y'; INSERT INTO t VALUES (1)");
    assert_eq!(statements[0].text.trim(), "SET a.b = 'x;y'");
    assert!(matches!(&statements[0].class, statement::Class::Set(s) if s.name == "a.b"));
    assert_eq!(statements.len(), 2);
}

#[test]
fn classifies_transaction_ends() {
    for text in ["commit", "END", "ROLLBACK WORK", "abort;"] {
        assert_eq!(classes(text), [statement::Class::End], "{text}");
    }
    for text in [
        "ROLLBACK TO SAVEPOINT a",
        "COMMIT PREPARED 'x'",
        "SAVEPOINT a",
    ] {
        assert_eq!(classes(text), [statement::Class::Plain], "{text}");
    }
    let chained = statement::Class::SessionState("AND CHAIN");
    assert_eq!(classes("COMMIT AND CHAIN"), [chained]);
}

#[test]
fn untokenizable_text_is_opaque() {
    let text = "SELECT 'open; COMMIT; INSERT INTO t VALUES (1)";
    assert_eq!(classes(text), [statement::Class::Opaque]);
}

#[test]
fn detects_allowed_writes() {
    for text in [
        "begin isolation level serializable, read write",
        "SET TRANSACTION READ WRITE",
        "set local transaction_read_only = off",
        "SET SESSION default_transaction_read_only TO 'off'",
        "RESET default_transaction_read_only",
    ] {
        assert!(statement::allows_writes(text), "{text}");
    }
    for text in [
        "BEGIN READ ONLY",
        "SELECT 'READ WRITE'",
        "SET work_mem = '8MB'",
    ] {
        assert!(!statement::allows_writes(text), "{text}");
    }
}

#[test]
fn refuses_unsupported_settings() {
    for text in [
        "SET ROLE admin",
        "SET SESSION AUTHORIZATION admin",
        "SET TIME ZONE 'UTC'",
        "SET NAMES 'utf8'",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
    ] {
        let actual = classes(text);
        let is_refused = matches!(actual.as_slice(), [statement::Class::SessionState(_)]);
        assert!(is_refused, "{text}: {actual:?}");
    }
}
