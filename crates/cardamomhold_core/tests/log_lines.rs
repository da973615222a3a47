//! Format of log lines.

use std::time;

use cardamomhold_core::log_line;

fn line(target: &str, text: &str) -> String {
    log_line::format(&log_line::Entry {
        time: time::Duration::from_millis(1_700_000_000_042),
        level: "WARN",
        target,
        text,
    })
}

#[test]
fn formats_pairs() {
    assert_eq!(
        line("cardamomhold_daemon::config", "event=platform_lost error=x"),
        "time=1700000000.042 level=warn event=platform_lost error=x"
    );
}

#[test]
fn keeps_single_line() {
    let own = line("cardamomhold_daemon", "event=a error=\"x\ny\r\nz\"");
    assert_eq!(own.lines().count(), 1, "{own}");
    let library = line("h2::codec", "a \"quoted\"\nmessage");
    assert!(
        library.ends_with(r#"event=library target=h2::codec text="a \"quoted\"\nmessage""#),
        "{library}"
    );
}
