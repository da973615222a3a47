//! Callers of which each prepares one long statement, all at the same time.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Length of a whole message, in bytes; the pages allow 1 MiB.
const MESSAGE_LEN: usize = 1_048_000;

/// Time for which a caller waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two looks at the process's memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Size of a page of memory, in bytes.
fn page_size() -> u64 {
    let text = fs::read_to_string("/proc/self/smaps").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("KernelPageSize:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(4) * 1024
}

/// The peak of a process's memory in bytes, and whether it has passed `limit`. Ends at once when it
/// has, as the platform then kills the process.
pub fn watch(process: u32, limit: u64, span: Duration) -> (u64, bool) {
    let page = page_size();
    let start = Instant::now();
    let mut peak = 0;
    while start.elapsed() < span {
        let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
        let resident = statm
            .split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok());
        peak = peak.max(resident.unwrap_or(0) * page);
        if peak > limit {
            return (peak, true);
        }
        thread::sleep(LOOK_INTERVAL);
    }
    (peak, false)
}

/// Starts the callers; each records how its message was answered.
pub fn start(address: SocketAddr, count: usize, record: &Arc<Record>) {
    let barrier = Arc::new(Barrier::new(count));
    let answers = Arc::new(Mutex::new(()));
    for number in 0..count {
        let (barrier, record, answers) = (barrier.clone(), record.clone(), answers.clone());
        thread::spawn(move || {
            let session = connect(address, number);
            barrier.wait();
            let answer = session.and_then(|s| prepare(s, number));
            let _one_at_a_time = answers.lock();
            record.line(&format!("crowd caller={number} answer={answer:?}"));
        });
    }
}

fn connect(address: SocketAddr, number: usize) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let mut session = BufReader::new(stream);
    let start = format!("START main crowd{number}\r\n");
    session.get_mut().write_all(start.as_bytes()).ok()?;
    let mut line = String::new();
    session.read_line(&mut line).ok()?;
    line.starts_with("READY").then_some(session)
}

/// Prepares a statement that is mostly blanks, like one that a program has indented.
fn prepare(mut session: BufReader<TcpStream>, number: usize) -> Option<String> {
    let mut message = format!("QUERY crowd-{number} PREPARE p WRITE update");
    message.push_str(&" ".repeat(MESSAGE_LEN - message.len() - "item\r\n".len()));
    message.push_str("item\r\n");
    session.get_mut().write_all(message.as_bytes()).ok()?;
    let mut line = String::new();
    session.read_line(&mut line).ok()?;
    let answer = line.trim_end().to_owned();
    // The session stays open, as those of ordinary callers do.
    thread::sleep(Duration::from_secs(2));
    Some(answer)
}
