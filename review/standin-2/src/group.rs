//! Stand-in of a database group of three members, over the line protocol.
//!
//! With `syncReplicas` = 1 a commit is acknowledged once one replica has received it. A member runs as
//! many statements at once as it has slots, and answers `BUSY` to others.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;

pub const GROUP: &str = "grp";

/// Statements that a member runs at once.
const SLOTS: usize = 3;

/// Connections that a member accepts.
pub const MAX_CONNECTIONS: usize = 47;

const OPEN_TIME: Duration = Duration::from_millis(12);
const READ_TIME: Duration = Duration::from_millis(30);
const WRITE_TIME: Duration = Duration::from_millis(6);

/// Time for which a draining member may still be used: `drainMs`.
pub const DRAIN_TIME: Duration = Duration::from_millis(7_000);

/// Time from a promotion call to its effect.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Time from a commit's arrival at a replica until it is applied.
const APPLY_TIME: Duration = Duration::from_millis(20);

/// Time after which the entry of a silent member is removed: three intervals of its pings.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);

#[derive(Clone)]
struct Entry {
    term: u64,
    data: String,
    received: Instant,
}

struct State {
    is_primary: bool,
    term: u64,
    log: Vec<Entry>,
    applied: usize,
    is_down: bool,
    /// Whether it receives nothing.
    is_deaf: bool,
    /// When the store acknowledged that it is draining.
    drained: Option<Instant>,
    connections: Vec<TcpStream>,
}

impl State {
    fn position(&self, len: usize) -> String {
        let last = len.checked_sub(1).and_then(|i| self.log.get(i));
        format!("{}.{len}", last.map_or(1, |e| e.term))
    }

    /// Whether the applied log has a position.
    fn has(&self, term: u64, number: usize) -> bool {
        if number == 0 {
            return true;
        }
        number <= self.applied && self.log[number - 1].term >= term
    }
}

pub struct Member {
    pub id: String,
    zone: String,
    pub address: SocketAddr,
    state: Mutex<State>,
    busy: AtomicUsize,
    open: AtomicUsize,
}

/// What a promotion found.
pub struct Promotion {
    pub id: String,
    pub term: u64,
    /// Data of the commits in the promoted member's log.
    pub log: Vec<String>,
}

pub struct Group {
    pub members: Vec<Arc<Member>>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Replicas that must have received a commit before it is acknowledged: 0 or 1.
    sync_replicas: usize,
    pub promotions: Mutex<Vec<Promotion>>,
    /// Statements that reached a draining member later than it may be used.
    pub late: AtomicUsize,
}

/// A slot that is in use.
struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Member {
    fn slot(&self) -> Option<Slot<'_>> {
        let taken = self
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |busy| {
                (busy < SLOTS).then_some(busy + 1)
            });
        taken.ok().map(|_| Slot(&self.busy))
    }

    fn row(&self, state: &State) -> String {
        let role = if state.is_primary {
            "primary"
        } else {
            "replica"
        };
        format!(
            "ROW {role} {} {} 0 0 {} {}\r\n",
            state.term,
            state.position(state.log.len()),
            self.busy.load(Ordering::SeqCst),
            self.open.load(Ordering::SeqCst)
        )
    }
}

impl Group {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, sync_replicas: usize) -> Arc<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in ["z1", "z2", "z3"].into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let state = State {
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                applied: 0,
                is_down: false,
                is_deaf: false,
                drained: None,
                connections: Vec::new(),
            };
            members.push(Arc::new(Member {
                id: format!("m-{}", index + 1),
                zone: zone.to_owned(),
                address: listener.local_addr().expect("an address"),
                state: Mutex::new(state),
                busy: AtomicUsize::new(0),
                open: AtomicUsize::new(0),
            }));
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            members,
            store: store.clone(),
            record: record.clone(),
            sync_replicas,
            promotions: Mutex::new(Vec::new()),
            late: AtomicUsize::new(0),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            group.register(index);
            group.clone().listen(index, listener);
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(1));
            }
        });
        let promoting = group.clone();
        *store.promote.lock().unwrap() = Some(Box::new(move |service, id, holder, token| {
            promoting.clone().promote(service, id, holder, token)
        }));
        group
    }

    fn register(&self, index: usize) {
        let member = &self.members[index];
        let state = member.state.lock().unwrap();
        let role = if state.is_primary {
            "primary"
        } else {
            "replica"
        };
        let entry = format!(
            r#"{{"service":"{GROUP}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"{}","coldLeftMs":0,"dbRole":"{role}","seqNo":1,"born":1700000000000}}"#,
            member.address,
            member.zone,
            if state.drained.is_some() {
                "draining"
            } else {
                "ready"
            }
        );
        drop(state);
        self.store.put("servers", &member.id, &entry);
    }

    fn listen(self: Arc<Self>, index: usize, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !self.members[index].state.lock().unwrap().is_down {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let group = self.clone();
                thread::spawn(move || {
                    let member = group.members[index].clone();
                    member.open.fetch_add(1, Ordering::SeqCst);
                    // The client may close the connection at any time.
                    let _ = group.converse(&member, stream);
                    member.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }

    /// Passes the primary's log on to the replicas.
    fn replicate(&self) {
        let mut newest: Option<(u64, Vec<Entry>)> = None;
        for member in &self.members {
            let state = member.state.lock().unwrap();
            let is_newer = newest.as_ref().is_none_or(|(term, _)| state.term > *term);
            if state.is_primary && !state.is_down && is_newer {
                newest = Some((state.term, state.log.clone()));
            }
        }
        for member in &self.members {
            let mut state = member.state.lock().unwrap();
            if state.is_down {
                continue;
            }
            if state.is_primary {
                state.applied = state.log.len();
                continue;
            }
            if let Some((term, log)) = newest.as_ref().filter(|_| !state.is_deaf) {
                if state.term < *term {
                    let same = state.log.iter().zip(log);
                    let same = same.take_while(|(a, b)| a.data == b.data).count();
                    state.log.truncate(same);
                    state.applied = state.applied.min(same);
                    state.term = *term;
                }
                let now = Instant::now();
                for entry in log.iter().skip(state.log.len()) {
                    state.log.push(Entry {
                        received: now,
                        ..entry.clone()
                    });
                }
            }
            while let Some(next) = state.log.get(state.applied)
                && next.received.elapsed() >= APPLY_TIME
            {
                state.applied += 1;
            }
        }
    }

    fn promote(self: Arc<Self>, service: &str, id: &str, holder: &str, token: u64) -> u16 {
        let member = self.members.iter().position(|m| m.id == id);
        let Some(index) = member.filter(|_| service == GROUP) else {
            return 404;
        };
        self.record
            .line(&format!("promote id={id} holder={holder} token={token}"));
        {
            let state = self.members[index].state.lock().unwrap();
            if state.is_down {
                return 409;
            }
            if state.is_primary {
                return 200;
            }
        }
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            let terms = self.members.iter().map(|m| m.state.lock().unwrap().term);
            let term = terms.max().unwrap_or(1) + 1;
            let member = &self.members[index];
            let mut state = member.state.lock().unwrap();
            if state.is_down {
                return;
            }
            state.is_primary = true;
            state.term = term;
            state.applied = state.log.len();
            let promotion = Promotion {
                id: member.id.clone(),
                term,
                log: state.log.iter().map(|e| e.data.clone()).collect(),
            };
            drop(state);
            self.record.line(&format!(
                "leads id={} term={term} commits={}",
                promotion.id,
                promotion.log.len()
            ));
            self.promotions.lock().unwrap().push(promotion);
            self.register(index);
        });
        200
    }

    /// From now on a replica receives nothing, until [`Group::hear`].
    pub fn deafen(&self, index: usize) {
        self.members[index].state.lock().unwrap().is_deaf = true;
        self.record
            .line(&format!("receives nothing id={}", self.members[index].id));
    }

    pub fn hear(&self, index: usize) {
        self.members[index].state.lock().unwrap().is_deaf = false;
        self.record
            .line(&format!("receives again id={}", self.members[index].id));
    }

    /// A member reports that it is draining; it goes on to serve and to receive.
    pub fn drain(&self, index: usize) {
        let member = &self.members[index];
        member.state.lock().unwrap().drained = Some(Instant::now());
        self.register(index);
        // The store has acknowledged it by now.
        member.state.lock().unwrap().drained = Some(Instant::now());
        self.record
            .line(&format!("draining id={}", self.members[index].id));
    }

    /// Ends a member's process; its entry is removed some seconds later.
    pub fn crash(self: &Arc<Self>, index: usize) {
        let member = &self.members[index];
        let mut state = member.state.lock().unwrap();
        state.is_down = true;
        let commits = state.log.len();
        for connection in state.connections.drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record
            .line(&format!("crashed id={} commits={commits}", member.id));
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_TIME);
            group.store.remove("servers", &group.members[index].id);
        });
    }

    /// Data of the commits of the first primary, which has all that was run before it crashed.
    pub fn before_crash(&self) -> Vec<String> {
        let state = self.members[0].state.lock().unwrap();
        state.log.iter().map(|e| e.data.clone()).collect()
    }

    /// Commits that each member has received, by its id.
    pub fn received(&self) -> String {
        let mut texts = Vec::new();
        for member in &self.members {
            let state = member.state.lock().unwrap();
            texts.push(format!("{}={}", member.id, state.log.len()));
        }
        texts.join(" ")
    }

    fn converse(&self, member: &Arc<Member>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        {
            let mut state = member.state.lock().unwrap();
            if state.is_down {
                return Ok(());
            }
            state.connections.push(stream.try_clone()?);
        }
        let mut lines = BufReader::new(stream).lines();
        let Some(start) = lines.next().transpose()? else {
            return Ok(());
        };
        let words: Vec<&str> = start.split(' ').collect();
        let is_expected = words.first() == Some(&"START")
            && words.get(1) == Some(&GROUP)
            && words.get(3).is_none_or(|id| *id == member.id);
        if !is_expected {
            return output.write_all(b"ERR MISROUTED x\r\n");
        }
        if member.open.load(Ordering::SeqCst) > MAX_CONNECTIONS {
            return output.write_all(b"ERR TOOMANY x\r\n");
        }
        let Some(slot) = member.slot() else {
            self.record.line(&format!("busy id={} to=START", member.id));
            return output.write_all(format!("ERR BUSY {}\r\n", member.id).as_bytes());
        };
        thread::sleep(OPEN_TIME);
        drop(slot);
        let ready = {
            let state = member.state.lock().unwrap();
            format!("READY I {}\r\n", state.position(state.applied))
        };
        output.write_all(ready.as_bytes())?;
        for line in lines {
            let line = line?;
            let mut words = line.splitn(3, ' ');
            let (verb, id, text) = (words.next(), words.next(), words.next());
            if verb != Some("QUERY") {
                return Ok(());
            }
            let Some(answer) = self.run(member, id.unwrap_or(""), text.unwrap_or("")) else {
                return Ok(());
            };
            output.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Counts a caller's statement that reaches a member too long after it began to drain.
    fn check_drained(&self, member: &Arc<Member>, id: &str, text: &str) {
        let drained = member.state.lock().unwrap().drained;
        let Some(since) = drained.map(|at| at.elapsed()).filter(|_| id != "-") else {
            return;
        };
        let ms = since.as_millis();
        self.record.line(&format!(
            "reached draining={} after_ms={ms} id={id} text=\"{text}\"",
            member.id
        ));
        if since > DRAIN_TIME {
            self.late.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Runs a statement; none if the member crashes meanwhile.
    fn run(&self, member: &Arc<Member>, id: &str, text: &str) -> Option<String> {
        self.check_drained(member, id, text);
        let words: Vec<&str> = text.split(' ').collect();
        let (rows, end) = match words[..] {
            ["AFTER", position, "READ", _] => {
                let (term, number) = position.split_once('.')?;
                let (term, number) = (term.parse().ok()?, number.parse().ok()?);
                match member.state.lock().unwrap().has(term, number) {
                    true => self.read(member),
                    false => (String::new(), format!("ERR LAGGING {}", member.id)),
                }
            }
            ["READ", _] => self.read(member),
            ["WRITE", _, data] => self.write(member, data)?,
            ["STATUS"] => match member.slot() {
                Some(_slot) => {
                    thread::sleep(Duration::from_millis(1));
                    (
                        member.row(&member.state.lock().unwrap()),
                        "DONE -".to_owned(),
                    )
                }
                None => {
                    self.record
                        .line(&format!("busy id={} to=STATUS", member.id));
                    (String::new(), format!("ERR BUSY {}", member.id))
                }
            },
            ["DEMOTE", term] => {
                let term: u64 = term.parse().ok()?;
                let mut state = member.state.lock().unwrap();
                if state.is_primary && state.term < term {
                    state.is_primary = false;
                }
                (member.row(&state), "DONE -".to_owned())
            }
            ["RESET"] | ["SET", ..] | ["PREPARE", ..] | ["ROLLBACK"] => {
                (String::new(), "DONE -".to_owned())
            }
            _ => (String::new(), "ERR FAILED not played here".to_owned()),
        };
        let state = member.state.lock().unwrap();
        if state.is_down {
            return None;
        }
        let position = state.position(state.applied);
        Some(format!("{rows}{end}\r\nREADY I {position}\r\n"))
    }

    fn read(&self, member: &Arc<Member>) -> (String, String) {
        let Some(_slot) = member.slot() else {
            return (String::new(), format!("ERR BUSY {}", member.id));
        };
        thread::sleep(READ_TIME);
        ("ROW x\r\n".to_owned(), format!("DONE sig-{}", member.id))
    }

    fn write(&self, member: &Arc<Member>, data: &str) -> Option<(String, String)> {
        let Some(_slot) = member.slot() else {
            return Some((String::new(), format!("ERR BUSY {}", member.id)));
        };
        thread::sleep(WRITE_TIME);
        let number = {
            let mut state = member.state.lock().unwrap();
            if state.is_down {
                return None;
            }
            if !state.is_primary {
                return Some((String::new(), format!("ERR READONLY {}", member.id)));
            }
            let term = state.term;
            state.log.push(Entry {
                term,
                data: data.to_owned(),
                received: Instant::now(),
            });
            state.applied = state.log.len();
            state.log.len()
        };
        // The replicas that have to have received it.
        loop {
            let has_received = |other: &Arc<Member>| {
                let state = other.state.lock().unwrap();
                let entry = state.log.get(number - 1);
                other.id != member.id && !state.is_down && entry.is_some_and(|e| e.data == data)
            };
            let received = self.members.iter().filter(|m| has_received(m)).count();
            if received >= self.sync_replicas {
                self.record
                    .line(&format!("run id={} write={data}", member.id));
                return Some((String::new(), format!("DONE sig-{}", member.id)));
            }
            if member.state.lock().unwrap().is_down {
                return None;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}
