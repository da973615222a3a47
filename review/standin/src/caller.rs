//! A caller's session with an instance.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Caller {
    input: BufReader<TcpStream>,
    output: TcpStream,
    record: Record,
    name: String,
}

/// An answer: its lines, the last one `READY`.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Time at which the request was sent.
    pub sent: f64,
    pub id: String,
    pub lines: Vec<String>,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.lines.iter().any(|l| l.starts_with("DONE"))
    }
}

impl Caller {
    /// Connects and sends `START`; the error holds the refusal.
    pub fn start(
        record: &Record,
        name: &str,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, String> {
        let connect = || -> std::io::Result<(Self, String)> {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            let mut caller = Self {
                output: stream.try_clone()?,
                input: BufReader::new(stream),
                record: record.clone(),
                name: name.to_owned(),
            };
            caller
                .output
                .write_all(format!("START {database} {name}\r\n").as_bytes())?;
            let line = caller.line()?;
            Ok((caller, line))
        };
        match connect() {
            Ok((caller, line)) if line.starts_with("READY") => Ok(caller),
            Ok((_, line)) => Err(line),
            Err(error) => Err(error.to_string()),
        }
    }

    fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a statement and reads its whole answer.
    pub fn query(&mut self, text: &str) -> Result<Answer, String> {
        let id = format!("{:08x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let sent = self.record.now();
        self.record
            .line(&format!("{} sends {id} {text}", self.name));
        let mut ask = || -> std::io::Result<Vec<String>> {
            self.output
                .write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
            let mut lines = Vec::new();
            loop {
                let line = self.line()?;
                let is_last = line.starts_with("READY");
                lines.push(line);
                if is_last {
                    return Ok(lines);
                }
            }
        };
        match ask() {
            Ok(lines) => {
                self.record
                    .line(&format!("{} gets {id} {}", self.name, lines.join(" | ")));
                Ok(Answer { sent, id, lines })
            }
            Err(error) => {
                self.record
                    .line(&format!("{} gets no answer to {id}: {error}", self.name));
                Err(error.to_string())
            }
        }
    }
}
