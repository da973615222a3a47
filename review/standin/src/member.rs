//! Stand-in of one service: a primary and its replicas, each with a log of commits.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// How long a commit is on its way to the replicas.
const REPLICATION_DELAY: Duration = Duration::from_millis(20);

/// Time from a promotion call to the new term.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Time that a read, write or commit takes.
const WORK_TIME: Duration = Duration::from_millis(6);

#[derive(Debug, Clone, PartialEq)]
struct Commit {
    term: u64,
    at: Instant,
    writes: Vec<(String, String)>,
}

struct State {
    id: String,
    address: SocketAddr,
    is_running: bool,
    is_primary: bool,
    term: u64,
    log: Vec<Commit>,
}

impl State {
    fn position(&self) -> (u64, u64) {
        (self.log.last().map_or(1, |c| c.term), self.log.len() as u64)
    }

    fn value(&self, item: &str) -> Option<String> {
        let mut writes = self.log.iter().rev().flat_map(|c| c.writes.iter().rev());
        writes
            .find(|(name, _)| name == item)
            .map(|(_, data)| data.clone())
    }
}

/// A statement that a member ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub service: String,
    pub member: String,
    pub id: String,
    pub text: String,
}

/// One service with its members.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    members: Arc<Vec<Mutex<State>>>,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Service {
    /// Starts the members; the first one is the primary.
    pub fn start(name: &str, ids: &[&str], record: &Record) -> std::io::Result<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            members.push(Mutex::new(State {
                id: (*id).to_owned(),
                address: listener.local_addr()?,
                is_running: true,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
            }));
            listeners.push(listener);
        }
        let service = Self {
            name: name.to_owned(),
            members: Arc::new(members),
            record: record.clone(),
            runs: Arc::new(Mutex::new(Vec::new())),
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let service = service.clone();
            std::thread::spawn(move || service.listen(index, listener));
        }
        let replicated = service.clone();
        std::thread::spawn(move || {
            loop {
                replicated.replicate();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Ok(service)
    }

    /// The running members with their numbers.
    pub fn entries(&self) -> Vec<(usize, (String, SocketAddr, bool))> {
        let mut entries = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            let member = member.lock().unwrap();
            if member.is_running {
                entries.push((
                    index,
                    (member.id.clone(), member.address, member.is_primary),
                ));
            }
        }
        entries
    }

    /// Identities of the members that don't run.
    pub fn stopped(&self) -> Vec<String> {
        let mut ids = Vec::new();
        for member in self.members.iter() {
            let member = member.lock().unwrap();
            if !member.is_running {
                ids.push(member.id.clone());
            }
        }
        ids
    }

    /// The member that leads the newest term.
    pub fn leader(&self) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for (index, member) in self.members.iter().enumerate() {
            let member = member.lock().unwrap();
            if member.is_running && member.is_primary && best.is_none_or(|(t, _)| member.term > t) {
                best = Some((member.term, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Crashes a member for a while: its address refuses connections, and open ones are closed.
    /// It comes back with its log.
    pub fn crash(&self, index: usize, span: Duration) {
        let mut member = self.members[index].lock().unwrap();
        member.is_running = false;
        self.record
            .line(&format!("member {}/{} crashes", self.name, member.id));
        let address = member.address;
        drop(member);
        let service = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(span);
            let listener = TcpListener::bind(address);
            let newest = service.newest_term();
            let mut member = service.members[index].lock().unwrap();
            match listener {
                Ok(listener) => {
                    member.is_running = true;
                    member.is_primary &= member.term == newest;
                    service
                        .record
                        .line(&format!("member {}/{} is back", service.name, member.id));
                    drop(member);
                    service.listen(index, listener);
                }
                Err(error) => service.record.line(&format!("{address}: {error}")),
            }
        });
    }

    /// Promotes a member after a while; false when it isn't running.
    pub fn promote(&self, id: &str) -> bool {
        let index = self.members.iter().position(|m| m.lock().unwrap().id == id);
        let Some(index) = index else {
            return false;
        };
        {
            let member = self.members[index].lock().unwrap();
            if !member.is_running {
                return false;
            }
            if member.is_primary && self.is_newest(member.term) {
                return true;
            }
        }
        let service = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE_TIME);
            let newest = service.newest_term();
            let mut member = service.members[index].lock().unwrap();
            if member.is_running {
                member.is_primary = true;
                member.term = newest + 1;
                let (term, number) = member.position();
                service.record.line(&format!(
                    "member {}/{} leads term {} from {term}.{number}",
                    service.name, member.id, member.term
                ));
            }
        });
        true
    }

    fn newest_term(&self) -> u64 {
        self.members
            .iter()
            .map(|m| m.lock().unwrap().term)
            .max()
            .unwrap_or(1)
    }

    /// Whether no other member has a newer term. The caller may hold one member's lock.
    fn is_newest(&self, term: u64) -> bool {
        let mut newest = term;
        for member in self.members.iter() {
            if let Ok(member) = member.try_lock() {
                newest = newest.max(member.term);
            }
        }
        newest == term
    }

    /// Copies the leader's commits to the replicas, and makes older primaries replicas.
    fn replicate(&self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let (log, term) = {
            let member = self.members[leader].lock().unwrap();
            (member.log.clone(), member.term)
        };
        for (index, member) in self.members.iter().enumerate() {
            let mut member = member.lock().unwrap();
            if index == leader || !member.is_running || member.term > term {
                continue;
            }
            member.is_primary = false;
            member.term = term;
            let common = member
                .log
                .iter()
                .zip(&log)
                .take_while(|(a, b)| a == b)
                .count();
            member.log.truncate(common);
            for commit in &log[common..] {
                if commit.at.elapsed() < REPLICATION_DELAY {
                    break;
                }
                member.log.push(commit.clone());
            }
        }
    }

    fn listen(&self, index: usize, listener: TcpListener) {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        loop {
            if !self.members[index].lock().unwrap().is_running {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let service = self.clone();
                    std::thread::spawn(move || {
                        // A client may close its connection at any time.
                        let _ = service.session(index, stream);
                    });
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn session(&self, index: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut session = Session::default();
        let mut line = String::new();
        loop {
            let read = input.read_line(&mut line);
            if !self.members[index].lock().unwrap().is_running {
                return Ok(());
            }
            match read {
                Ok(0) => return Ok(()),
                Ok(_) if line.ends_with('\n') => {}
                Ok(_) => continue,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            line.clear();
            if let Some(rest) = text.strip_prefix("START ") {
                let fields: Vec<&str> = rest.split(' ').collect();
                let member = self.members[index].lock().unwrap();
                let is_named = fields.first() == Some(&self.name.as_str());
                let is_expected = fields.get(2).is_none_or(|id| *id == member.id);
                let (term, number) = member.position();
                drop(member);
                if !is_named || !is_expected {
                    output.write_all(b"ERR MISROUTED x\r\n")?;
                    return Ok(());
                }
                output.write_all(format!("READY I {term}.{number}\r\n").as_bytes())?;
                continue;
            }
            let Some(rest) = text.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let answer = self.query(index, &mut session, id, text);
            output.write_all(answer.as_bytes())?;
        }
    }

    fn query(&self, index: usize, session: &mut Session, id: &str, text: &str) -> String {
        let mut text = text;
        let mut after = None;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            after = parse_position(position);
            text = rest;
        }
        let words: Vec<&str> = text.split(' ').collect();
        if matches!(words[0], "READ" | "WRITE" | "COMMIT" | "EXEC") {
            std::thread::sleep(WORK_TIME);
        }
        let mut member = self.members[index].lock().unwrap();
        let mut rows = String::new();
        let signature = format!("sig.{}.{}.{id}", self.name, member.id);
        let is_behind = after.is_some_and(|p| member.position() < p);
        let end = match words[..] {
            _ if is_behind => "ERR LAGGING x".to_owned(),
            ["STATUS"] | ["DEMOTE", _] => {
                if let ["DEMOTE", term] = words[..] {
                    let term: u64 = term.parse().unwrap_or(0);
                    if member.is_primary && member.term < term {
                        member.is_primary = false;
                    }
                }
                let role = if member.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let (term, number) = member.position();
                rows = format!(
                    "ROW {role} {} {term}.{number} {} 0 1 1\r\n",
                    member.term, member.term
                );
                "DONE -".to_owned()
            }
            ["BEGIN"] if !member.is_primary => "ERR READONLY x".to_owned(),
            ["BEGIN"] => {
                session.begin(false);
                "DONE -".to_owned()
            }
            ["BEGIN", "READ"] => {
                session.begin(true);
                "DONE -".to_owned()
            }
            ["ROLLBACK"] => {
                session.end();
                "DONE -".to_owned()
            }
            ["COMMIT"] => {
                let writes = session.end();
                if !writes.is_empty() && !member.is_primary {
                    "ERR READONLY x".to_owned()
                } else {
                    commit(&mut member, writes);
                    format!("DONE {signature}")
                }
            }
            ["SET", name, value] => {
                session.values.insert(name.to_owned(), value.to_owned());
                "DONE -".to_owned()
            }
            ["RESET"] => {
                session.values.clear();
                session.prepared.clear();
                "DONE -".to_owned()
            }
            ["READ", item] => {
                let own = session.writes.iter().rev().find(|(name, _)| name == item);
                let value = own
                    .map(|(_, data)| data.clone())
                    .or_else(|| member.value(item));
                if let Some(value) = value {
                    rows = format!("ROW {} {value}\r\n", self.name);
                }
                format!("DONE {signature}")
            }
            ["WRITE", ..] if !member.is_primary || session.is_reading => {
                "ERR READONLY x".to_owned()
            }
            ["WRITE", item, data] => {
                let write = (item.to_owned(), data.to_owned());
                if session.is_open {
                    session.writes.push(write);
                } else {
                    commit(&mut member, vec![write]);
                }
                format!("DONE {signature}")
            }
            _ => "ERR MALFORMED x".to_owned(),
        };
        if id != "-" && !end.starts_with("ERR") {
            let run = Run {
                at: self.record.now(),
                service: self.name.clone(),
                member: member.id.clone(),
                id: id.to_owned(),
                text: text.to_owned(),
            };
            self.runs.lock().unwrap().push(run);
        }
        let state = if session.is_open { "T" } else { "I" };
        let (term, number) = member.position();
        format!("{rows}{end}\r\nREADY {state} {term}.{number}\r\n")
    }
}

fn commit(member: &mut State, writes: Vec<(String, String)>) {
    if !writes.is_empty() {
        let term = member.term;
        member.log.push(Commit {
            term,
            at: Instant::now(),
            writes,
        });
    }
}

fn parse_position(text: &str) -> Option<(u64, u64)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}

#[derive(Default)]
struct Session {
    is_open: bool,
    is_reading: bool,
    writes: Vec<(String, String)>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

impl Session {
    fn begin(&mut self, is_reading: bool) {
        self.is_open = true;
        self.is_reading = is_reading;
    }

    fn end(&mut self) -> Vec<(String, String)> {
        self.is_open = false;
        self.is_reading = false;
        std::mem::take(&mut self.writes)
    }
}
