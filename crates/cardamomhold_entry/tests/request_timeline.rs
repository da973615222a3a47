//! A request's timeline is built from recorded log lines.

use cardamomhold_entry::explain;

/// Log of an instance whose group's primary was replaced while a request waited.
const LOG: &str = "\
time=90.000 level=info event=lease_lost answered_ms_ago=1541
time=98.500 level=info event=probe group=hupu is_reached=false member=i-31 took_ms=300
time=98.900 level=info event=leadership group=hupu change=4 primary=none term=2 source=entry-1
time=98.950 level=info event=leadership group=other change=9 primary=i-7 term=2 source=store
time=99.100 level=info event=attempt id=4f77 attempt=1 member=i-31 code=aborted left_ms=400
time=99.200 level=info event=failed id=aaaa caller=u2 database=d group=hupu code=busy took_ms=9
time=99.900 level=info event=failed id=4f77 caller=u1 database=d group=hupu code=busy took_ms=791
time=99.950 level=info event=leadership group=hupu change=5 primary=i-5a term=3 source=entry-1
not a line of ours
";

#[test]
fn selects_state_events() {
    let other = "time=99.000 level=info event=leadership group=hupu change=4 primary=none";
    let lines = explain::timeline("4f77", &[("entry-2", LOG), ("entry-3", other)]);
    let events: Vec<&str> = lines
        .iter()
        .map(|l| l.text.split_whitespace().nth(2).unwrap())
        .collect();
    assert_eq!(
        events,
        [
            "event=probe",
            "event=leadership",
            "event=attempt",
            "event=failed"
        ]
    );
    assert!(lines.iter().all(|l| l.source == "entry-2"));
}

#[test]
fn unknown_request_empty() {
    assert!(explain::timeline("nobody", &[("entry-2", LOG)]).is_empty());
}
