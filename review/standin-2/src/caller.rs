//! Callers: each has a session at one instance and sends one statement after the other.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time after which a caller gives up an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(8_000);

/// What the callers have been told.
#[derive(Default)]
pub struct Told {
    /// Data of the writes that were answered with success and a member's signature.
    pub acknowledged: Mutex<Vec<String>>,
    pub reads: AtomicUsize,
    pub refused: AtomicUsize,
    pub is_over: AtomicBool,
}

/// Requests that were sent in a span of time.
#[derive(Debug)]
pub struct Served {
    pub served: usize,
    pub refused: usize,
}

impl Served {
    pub fn share(&self) -> f64 {
        self.served as f64 / (self.served + self.refused).max(1) as f64
    }
}

impl Told {
    fn counts(&self) -> (usize, usize) {
        let writes = self.acknowledged.lock().unwrap().len();
        let served = writes + self.reads.load(Ordering::SeqCst);
        (served, self.refused.load(Ordering::SeqCst))
    }

    /// What is served while this call lasts.
    pub fn served_during(&self, span: Duration) -> Served {
        let before = self.counts();
        thread::sleep(span);
        let after = self.counts();
        Served {
            served: after.0 - before.0,
            refused: after.1 - before.1,
        }
    }
}

struct Session {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

impl Session {
    fn start(address: SocketAddr, database: &str, caller: &str) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        let mut session = Self {
            output: stream.try_clone().ok()?,
            input: BufReader::new(stream),
        };
        let start = format!("START {database} {caller}\r\n");
        session.output.write_all(start.as_bytes()).ok()?;
        session.line()?.starts_with("READY I").then_some(session)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.input.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Runs a statement; returns the line before `READY`, none when the connection ends.
    fn query(&mut self, id: &str, text: &str) -> Option<String> {
        let query = format!("QUERY {id} {text}\r\n");
        self.output.write_all(query.as_bytes()).ok()?;
        let mut last = String::new();
        loop {
            let line = self.line()?;
            if line.starts_with("READY") {
                return Some(last);
            }
            last = line;
        }
    }
}

/// Starts a caller that writes, each time other data, with a pause after each statement.
pub fn write(
    address: SocketAddr,
    name: String,
    pause: Duration,
    told: &Arc<Told>,
    record: &Arc<Record>,
) {
    let (told, record) = (told.clone(), record.clone());
    thread::spawn(move || {
        let mut number = 0;
        let mut session = None;
        while !told.is_over.load(Ordering::SeqCst) {
            thread::sleep(pause);
            session = session.or_else(|| Session::start(address, "main", &name));
            let Some(open) = &mut session else {
                continue;
            };
            number += 1;
            let data = format!("{name}-{number}");
            record.line(&format!("sent write={data}"));
            let answer = open.query(
                &format!("q-{data}"),
                &format!("WRITE item{} {data}", number % 50),
            );
            let text = answer.as_deref().unwrap_or("none, the connection ended");
            record.line(&format!("answered write={data} answer=\"{text}\""));
            let signature = answer.as_deref().and_then(|a| a.strip_prefix("DONE "));
            match signature.filter(|s| *s != "-") {
                Some(_) => told.acknowledged.lock().unwrap().push(data),
                None => {
                    told.refused.fetch_add(1, Ordering::SeqCst);
                }
            }
            if answer.is_none() {
                session = None;
            }
        }
    });
}

/// Starts a caller that reads without a pause.
pub fn read(address: SocketAddr, name: String, told: &Arc<Told>) {
    let told = told.clone();
    thread::spawn(move || {
        let mut number = 0;
        let mut session = None;
        while !told.is_over.load(Ordering::SeqCst) {
            session = session.or_else(|| Session::start(address, "history", &name));
            let Some(open) = &mut session else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            number += 1;
            let answer = open.query(
                &format!("q-{name}-{number}"),
                &format!("READ item{}", number % 50),
            );
            match answer {
                Some(end) if end.starts_with("DONE") => {
                    told.reads.fetch_add(1, Ordering::SeqCst);
                }
                Some(_) => {
                    told.refused.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(50));
                }
                None => session = None,
            }
        }
    });
}
