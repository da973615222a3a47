//! Builds the timeline of one request from the logs of several instances.
//!
//! ```
//! use cardamomhold_entry::explain;
//!
//! let log = "time=2.000 level=info event=failed id=q1 group=g code=busy";
//! let timeline = explain::timeline("q1", &[("entry-1", log)]);
//! assert_eq!(timeline.len(), 1);
//! ```

use cardamomhold_core::log_line;

/// Events that show the state an instance acted on, besides the events of requests.
const STATE_EVENTS: [&str; 14] = [
    "leadership",
    "leadership_written",
    "lease_gained",
    "lease_lost",
    "handover_begun",
    "handover_done",
    "handover_failed",
    "promotion",
    "probe",
    "member",
    "member_gone",
    "config",
    "store_lost",
    "store_regained",
];

/// How long before the request's first line state events are included, in seconds.
const LEAD_TIME_S: f64 = 3.0;

/// A line of the timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct Line<'a> {
    /// Seconds since 1970.
    pub time: f64,
    /// Name of the log that contains it.
    pub source: &'a str,
    /// The line's text.
    pub text: &'a str,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    for pair in line.split_whitespace() {
        if let Some((key, value)) = pair.split_once('=')
            && key == name
        {
            return Some(value);
        }
    }
    None
}

/// Returns the lines of a request in order of time, with the state events of its group that
/// the same instances logged shortly before and during it. `logs` are pairs of source name and
/// log text.
pub fn timeline<'a>(id: &str, logs: &[(&'a str, &'a str)]) -> Vec<Line<'a>> {
    let mut timeline = Vec::new();
    for (source, text) in logs {
        let mut selected = Vec::new();
        for line in text.lines() {
            if field(line, "id") == Some(id) {
                selected.extend(parse(source, line));
            }
        }
        let times: Vec<f64> = selected.iter().map(|l: &Line<'_>| l.time).collect();
        let first = times.iter().copied().fold(f64::INFINITY, f64::min);
        let last = times.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let group = selected.iter().find_map(|l| field(l.text, "group"));
        for line in text.lines() {
            let Some(line) = parse(source, line) else {
                continue;
            };
            let is_near = line.time >= first - LEAD_TIME_S && line.time <= last;
            if is_near && is_state_event(line.text, group) {
                selected.push(line);
            }
        }
        timeline.extend(selected);
    }
    timeline.sort_by(|a, b| a.time.total_cmp(&b.time));
    timeline
}

fn parse<'a>(source: &'a str, text: &'a str) -> Option<Line<'a>> {
    let time = field(text, "time")?.parse().ok()?;
    Some(Line { time, source, text })
}

/// Whether a line is a state event of the group or of the instance as a whole.
fn is_state_event(line: &str, group: Option<&str>) -> bool {
    let is_known = log_line::event(line).is_some_and(|e| STATE_EVENTS.contains(&e));
    let line_group = field(line, "group");
    is_known && (line_group.is_none() || group.is_none() || line_group == group)
}
