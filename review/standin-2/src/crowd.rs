//! Callers that prepare a long statement each, all at the same time.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::node::Node;
use crate::record::Record;

/// Length of a whole message, in bytes; the pages allow 1 MiB.
const MESSAGE_LEN: usize = 1_048_000;

/// Time for which a caller waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time from an answer to a caller's next message.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of an open connection in the kernel's table.
const ESTABLISHED: &str = "01";

/// Interval between two looks at the process's memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// The memory of a process in bytes, without the pages of files.
fn resident(process: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("RssAnon:"))?;
    let kib = line.split_whitespace().next()?.parse::<u64>().ok()?;
    Some(kib * 1024)
}

/// Bytes that were received at an address and have not been read.
fn unread(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    // The kernel prints the address as a number of the machine's byte order.
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut sum = 0;
    for line in table.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, at, _, state, queues, ..] = &fields[..] else {
            continue;
        };
        if *at != local || *state != ESTABLISHED {
            continue;
        }
        let received = queues.split_once(':').map(|(_, rx)| rx);
        sum += received
            .and_then(|rx| u64::from_str_radix(rx, 16).ok())
            .unwrap_or(0);
    }
    sum
}

/// Most memory of an instance, in bytes.
#[derive(Debug, Default)]
pub struct Peak {
    pub resident: u64,
    pub unread: u64,
}

impl Peak {
    pub fn sum(&self) -> u64 {
        self.resident + self.unread
    }
}

/// The peak of an instance's memory. Ends at once when it has passed `limit`, as the platform then
/// kills the process.
pub fn watch(node: &Node, limit: u64, span: Duration) -> Peak {
    let start = Instant::now();
    let mut peak = Peak::default();
    while start.elapsed() < span && peak.sum() <= limit {
        let now = Peak {
            resident: resident(node.id()).unwrap_or(0),
            unread: unread(node.callers),
        };
        if now.sum() > peak.sum() {
            peak = now;
        }
        thread::sleep(LOOK_INTERVAL);
    }
    peak
}

/// Waits until an instance opens sessions.
pub fn wait_for(address: SocketAddr, limit: Duration) -> bool {
    let start = Instant::now();
    while connect(address, 0).is_none() {
        if start.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Starts the callers; each sends its message again and again until `is_over` is set, in a new
/// session when the last one has been closed, and records how it was answered.
pub fn start(
    address: SocketAddr,
    count: usize,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    let barrier = Arc::new(Barrier::new(count));
    for number in 0..count {
        let (barrier, record, is_over) = (barrier.clone(), record.clone(), is_over.clone());
        callers.push(thread::spawn(move || {
            let mut session = connect(address, number);
            barrier.wait();
            while !is_over.load(Ordering::SeqCst) {
                let Some(mut open) = session.take().or_else(|| connect(address, number)) else {
                    thread::sleep(RETRY_DELAY);
                    continue;
                };
                let answer = prepare(&mut open, number);
                record.line(&format!("crowd caller={number} answer={answer:?}"));
                if answer.is_some_and(|a| !a.is_empty()) {
                    session = Some(open);
                }
            }
        }));
    }
    callers
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

/// Prepares a statement that is mostly blanks, like one that a program has indented; an empty line
/// if the session has been closed.
fn prepare(session: &mut BufReader<TcpStream>, number: usize) -> Option<String> {
    let mut message = format!("QUERY crowd-{number} PREPARE p WRITE update");
    message.push_str(&" ".repeat(MESSAGE_LEN - message.len() - "item\r\n".len()));
    message.push_str("item\r\n");
    session.get_mut().write_all(message.as_bytes()).ok()?;
    let mut answer = String::new();
    session.read_line(&mut answer).ok()?;
    let mut ready = String::new();
    session.read_line(&mut ready).ok()?;
    // Time in which the session stays as it is, as those of ordinary callers do.
    thread::sleep(RETRY_DELAY);
    Some(answer.trim_end().to_owned())
}
