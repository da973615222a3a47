//! Logs on standard output: one line of `key=value` pairs for each event, rate-limited by event,
//! written without blocking.

use std::collections;
use std::io;
use std::time;

use cardamomhold_core::log_line;

/// Maximum number of lines of one event in a window; further ones are counted and dropped.
const MAX_LINES_PER_WINDOW: u32 = 20;

/// Filter when the environment variable `RUST_LOG` isn't set.
const DEFAULT_FILTER: &str = "info";

/// Length of the window in which lines are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Limits the rate of lines of each event.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: collections::HashMap<String, u32>,
    window_start: Option<time::Instant>,
    dropped: u64,
}

impl Limiter {
    /// Counts a line; returns whether it may be written.
    pub fn admit(&mut self, now: time::Instant, line: &str) -> bool {
        let window_start = *self.window_start.get_or_insert(now);
        if now.duration_since(window_start) >= WINDOW {
            self.counts.clear();
            self.window_start = Some(now);
        }
        let event = log_line::event(line).unwrap_or("none");
        let count = match self.counts.get_mut(event) {
            Some(count) => count,
            None => self.counts.entry(event.to_owned()).or_default(),
        };
        *count += 1;
        let is_admitted = *count <= MAX_LINES_PER_WINDOW;
        if !is_admitted {
            self.dropped += 1;
        }
        is_admitted
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Writes to standard output without blocking.
#[derive(Debug, Default)]
struct Output {
    limiter: Limiter,
}

impl Output {
    fn write_line(&mut self, line: &[u8]) {
        // A line is lost when the pipe is full or closed: logging must never delay a request.
        if rustix::io::write(rustix::stdio::stdout(), line).is_err() {
            self.limiter.dropped += 1;
        }
    }
}

impl io::Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        if self.limiter.admit(time::Instant::now(), &text) {
            let dropped = self.limiter.take_dropped();
            if dropped > 0 {
                self.write_line(format!("event=lines_left_out count={dropped}\n").as_bytes());
            }
            self.write_line(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initialises logging to standard output, which is set to non-blocking mode.
pub fn init() {
    let stdout = rustix::stdio::stdout();
    if let Ok(flags) = rustix::fs::fcntl_getfl(stdout) {
        // If this fails, a full pipe blocks the process; there is nowhere to report the error.
        let _ = rustix::fs::fcntl_setfl(stdout, flags | rustix::fs::OFlags::NONBLOCK);
    }
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Output::default())))
        .format(|out, record| {
            let entry = log_line::Entry {
                time: time::SystemTime::now()
                    .duration_since(time::UNIX_EPOCH)
                    .unwrap_or_default(),
                level: record.level().as_str(),
                target: record.target(),
                text: &record.args().to_string(),
            };
            io::Write::write_all(out, (log_line::format(&entry) + "\n").as_bytes())
        })
        .init();
}
