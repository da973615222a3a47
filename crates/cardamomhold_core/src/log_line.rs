//! The form of a log line.

use std::time;

/// Prefix of the targets whose texts are `key=value` pairs already.
const OWN: &str = "cardamomhold";

/// What a line is made of.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Time since 1970.
    pub time: time::Duration,
    /// How grave it is, such as `INFO`.
    pub level: &'a str,
    /// The module that it comes from.
    pub target: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// The line of an event: `time=<s.ms> level=<level> event=<event> …`.
///
/// Texts of libraries are quoted as a whole, and no text breaks the line.
pub fn line(entry: &Entry<'_>) -> String {
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
    if !target.starts_with(OWN) {
        return format!("{head} event=library target={target} text={text:?}");
    }
    let text = text.replace(['\n', '\r'], " ");
    format!("{head} {text}")
}

/// The event of a line.
pub fn event(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once("event=")?;
    rest.split_whitespace().next()
}
