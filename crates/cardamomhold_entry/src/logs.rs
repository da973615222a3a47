//! Logs on standard output: one line of `key=value` pairs an event, at most so many of an
//! event each second, and never a wait for whoever reads them.

use std::collections;
use std::io;
use std::time;

use cardamomhold_core::log_line;

/// Lines of one event in a second; more are counted and left out.
const LINES_PER_SECOND: u32 = 20;

/// Filter when the environment's `RUST_LOG` names none.
const DEFAULT_FILTER: &str = "info";

/// Length of the span in which lines are counted.
const SPAN: time::Duration = time::Duration::from_secs(1);

/// Passes lines on within their rate.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: collections::HashMap<String, u32>,
    since: Option<time::Instant>,
    left_out: u64,
}

impl Limiter {
    /// Whether a line may be written.
    pub fn admit(&mut self, now: time::Instant, line: &str) -> bool {
        let since = *self.since.get_or_insert(now);
        if now.duration_since(since) >= SPAN {
            self.counts.clear();
            self.since = Some(now);
        }
        let event = log_line::event(line).unwrap_or("none");
        let count = match self.counts.get_mut(event) {
            Some(count) => count,
            None => self.counts.entry(event.to_owned()).or_default(),
        };
        *count += 1;
        let is_admitted = *count <= LINES_PER_SECOND;
        if !is_admitted {
            self.left_out += 1;
        }
        is_admitted
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

/// Standard output without waiting.
#[derive(Debug, Default)]
struct Output {
    limiter: Limiter,
}

impl Output {
    fn put(&mut self, line: &[u8]) {
        // A full or closed pipe loses the line: logs never hold up a request.
        if rustix::io::write(rustix::stdio::stdout(), line).is_err() {
            self.limiter.left_out += 1;
        }
    }
}

impl io::Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        if self.limiter.admit(time::Instant::now(), &text) {
            let left_out = self.limiter.take_left_out();
            if left_out > 0 {
                self.put(format!("event=lines_left_out count={left_out}\n").as_bytes());
            }
            self.put(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends logs to standard output, which is set to never block.
pub fn init() {
    let stdout = rustix::stdio::stdout();
    if let Ok(flags) = rustix::fs::fcntl_getfl(stdout) {
        // Where this is refused, a full pipe holds up the process; there is no other output.
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
