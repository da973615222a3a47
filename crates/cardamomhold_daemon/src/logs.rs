//! Log output: one line of `key=value` pairs per event, always in the same order.

use std::io::Write;
use std::time;

use cardamomhold_core::log_line;

/// Log filter if the environment has no `RUST_LOG`.
const DEFAULT_FILTER: &str = "info";

/// Sends logs to the standard error stream.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let entry = log_line::Entry {
                time: time::SystemTime::now()
                    .duration_since(time::UNIX_EPOCH)
                    .unwrap_or_default(),
                level: record.level().as_str(),
                target: record.target(),
                text: &record.args().to_string(),
            };
            writeln!(out, "{}", log_line::format(&entry))
        })
        .init();
}
