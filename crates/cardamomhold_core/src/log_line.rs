//! Formatting and parsing of log lines.

use std::time;

/// Prefix of the proxy's own targets, whose texts are already `key=value` pairs.
const OWN_TARGET_PREFIX: &str = "cardamomhold";

/// Fields of a log line.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Time since the Unix epoch.
    pub time: time::Duration,
    /// Severity, such as `INFO`.
    pub level: &'a str,
    /// Module that logged the text.
    pub target: &'a str,
    /// Logged text.
    pub text: &'a str,
}

/// Formats an entry as one line: `time=<s.ms> level=<level> event=<event> …`.
///
/// Texts from libraries are quoted as a whole, and line breaks are escaped or replaced.
pub fn format(entry: &Entry<'_>) -> String {
    let Entry {
        time,
        level,
        target,
        text,
    } = entry;
    let level = level.to_lowercase();
    let head = format!(
        "time={}.{:03} level={level}",
        time.as_secs(),
        time.subsec_millis()
    );
    if !target.starts_with(OWN_TARGET_PREFIX) {
        return format!("{head} event=library target={target} text={text:?}");
    }
    let text = text.replace(['\n', '\r'], " ");
    format!("{head} {text}")
}

/// Returns the value of `event=` in a line.
pub fn event(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once("event=")?;
    rest.split_whitespace().next()
}
