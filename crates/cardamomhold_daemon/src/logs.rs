//! Logs: one line of `key=value` pairs for each event, always in the same order.

use std::io::Write;
use std::time;

/// Prefix of the targets whose texts are `key=value` pairs already.
const OWN: &str = "cardamomhold";

/// Filter when the environment's `RUST_LOG` names none.
const DEFAULT_FILTER: &str = "info";

/// Sends logs to the standard error stream.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let entry = Entry {
                time: time::SystemTime::now()
                    .duration_since(time::UNIX_EPOCH)
                    .unwrap_or_default(),
                level: record.level(),
                target: record.target(),
                text: &record.args().to_string(),
            };
            writeln!(out, "{}", line(&entry))
        })
        .init();
}

/// What a line is made of.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Time since 1970.
    pub time: time::Duration,
    /// How grave it is.
    pub level: log::Level,
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
    let level = level.as_str().to_lowercase();
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
