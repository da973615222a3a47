//! Stand-in of the platform: the store of objects, and the promotion call.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};
use crate::record::Record;

/// Time for one answer, as the sheets of the sites give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    spec: Json,
    revision: u64,
    created: u64,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, and the object; none when it was removed.
    changes: Vec<(u64, String, String, Option<Object>)>,
}

/// One promotion call that the platform received.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: f64,
    pub service: String,
    pub member: String,
    pub holder: String,
    pub token: u64,
}

/// What a promotion does: service and member; false when the member is not running.
pub type Promote = Box<dyn Fn(&str, &str) -> bool + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    next_connection: AtomicU64,
    /// When each open connection last carried a request or an answer.
    active: Mutex<BTreeMap<u64, Instant>>,
    /// Connections that stay open but carry nothing any more.
    silent: Mutex<BTreeSet<u64>>,
    /// Whether promotion calls get no answer.
    pub calls_silent: AtomicBool,
    /// Whether promotion calls are refused with 503.
    pub calls_refused: AtomicBool,
    pub calls: Mutex<Vec<Call>>,
    promote: Promote,
}

impl Store {
    /// Starts the store and the promotion service on two addresses.
    pub fn start(
        record: Record,
        promote: Promote,
    ) -> std::io::Result<(Arc<Self>, SocketAddr, SocketAddr)> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 1,
                objects: BTreeMap::new(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            record,
            next_connection: AtomicU64::new(1),
            active: Mutex::new(BTreeMap::new()),
            silent: Mutex::new(BTreeSet::new()),
            calls_silent: AtomicBool::new(false),
            calls_refused: AtomicBool::new(false),
            calls: Mutex::new(Vec::new()),
            promote,
        });
        let mut addresses = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let store = store.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    let number = store.next_connection.fetch_add(1, Ordering::SeqCst);
                    std::thread::spawn(move || {
                        // A client may close its connection at any time.
                        let _ = store.serve(stream, number);
                        store.active.lock().unwrap().remove(&number);
                    });
                }
            });
        }
        Ok((store, addresses[0], addresses[1]))
    }

    /// From now on the connections that have carried nothing for `idle` stay open but carry nothing;
    /// the others and new ones work. Returns how many.
    pub fn silence_idle(&self, idle: Duration) -> usize {
        let active = self.active.lock().unwrap();
        let mut silent = self.silent.lock().unwrap();
        for (number, at) in active.iter() {
            if at.elapsed() >= idle {
                silent.insert(*number);
            }
        }
        silent.len()
    }

    fn is_silent(&self, number: u64) -> bool {
        self.silent.lock().unwrap().contains(&number)
    }

    fn touch(&self, number: u64) {
        self.active.lock().unwrap().insert(number, Instant::now());
    }

    /// Writes an object as the operator or a member does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.put(kind, name, spec);
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        state
            .changes
            .push((revision, kind.to_owned(), name.to_owned(), None));
        drop(state);
        self.changed.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .map(|o| o.spec.clone())
    }

    fn serve(&self, stream: TcpStream, number: u64) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let Some(request) = read_request(&mut input)? else {
                return Ok(());
            };
            self.stay_silent(number);
            self.touch(number);
            let answer = self.answer(&request, number);
            std::thread::sleep(ANSWER_TIME);
            self.stay_silent(number);
            self.touch(number);
            let (status, body) = answer;
            let body = body.dump();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            output.write_all(head.as_bytes())?;
            output.write_all(body.as_bytes())?;
        }
    }

    /// Blocks for good on a silent connection.
    fn stay_silent(&self, number: u64) {
        while self.is_silent(number) {
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    fn answer(&self, request: &Request, number: u64) -> (u16, Json) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path == "/promote" {
            return self.answer_promote(request);
        }
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, Json::Null);
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        match (request.method.as_str(), &parts[..]) {
            ("GET", [kind]) => match parameter("watch").and_then(|r| r.parse().ok()) {
                Some(revision) => {
                    let wait = parameter("waitMs")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    self.watch(kind, revision, Duration::from_millis(wait), number)
                }
                None => (
                    200,
                    self.list(kind, &parameter("after").unwrap_or_default()),
                ),
            },
            ("GET", [kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, encode(name, object)),
                    None => (404, Json::Null),
                }
            }
            ("POST", [kind]) => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let name = body.get("meta").get("name").text().unwrap_or("").to_owned();
                self.write(kind, &name, &body, true)
            }
            ("PUT", [kind, name]) => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                self.write(kind, name, &body, false)
            }
            _ => (404, Json::Null),
        }
    }

    fn answer_promote(&self, request: &Request) -> (u16, Json) {
        if self.calls_silent.load(Ordering::SeqCst) {
            // The call is lost: nothing is done, and no answer comes on this connection.
            loop {
                std::thread::sleep(Duration::from_secs(1));
            }
        }
        if self.calls_refused.load(Ordering::SeqCst) {
            self.record
                .line("platform: POST /promote answered 503, nothing is done");
            return (503, Json::Null);
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let call = Call {
            at: self.record.now(),
            service: body.get("service").text().unwrap_or("").to_owned(),
            member: body.get("id").text().unwrap_or("").to_owned(),
            holder: request.header("cardamomhold-duty-holder"),
            token: request
                .header("cardamomhold-fence-token")
                .parse()
                .unwrap_or(0),
        };
        let is_running = (self.promote)(&call.service, &call.member);
        let status = if is_running { 200 } else { 409 };
        self.record.line(&format!(
            "platform: POST /promote service={} id={} holder={} token={} answered {status}",
            call.service, call.member, call.holder, call.token
        ));
        self.calls.lock().unwrap().push(call);
        (status, Json::Null)
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        for ((k, name), object) in &state.objects {
            if k == kind && name.as_str() > after {
                items.push(encode(name, object));
            }
        }
        json::object(&[
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(false)),
            ("atRev", json::number(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, number: u64) -> (u16, Json) {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut events = Vec::new();
            for (revision, k, name, object) in &state.changes {
                if *revision <= after || k != kind {
                    continue;
                }
                let (deleted, encoded) = match object {
                    Some(object) => (false, encode(name, object)),
                    None => {
                        let meta = json::object(&[
                            ("name", json::text(name)),
                            ("revision", json::number(*revision)),
                        ]);
                        (true, json::object(&[("meta", meta), ("spec", Json::Null)]))
                    }
                };
                events.push(json::object(&[
                    ("deleted", Json::Bool(deleted)),
                    ("object", encoded),
                ]));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_silent(number) {
                let answer = json::object(&[
                    ("events", Json::List(events)),
                    ("atRev", json::number(state.revision)),
                ]);
                return (200, answer);
            }
            let step = left.min(Duration::from_millis(500));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Json, is_new: bool) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let stored = state.objects.get(&key).cloned();
        let expected = body.get("meta").get("revision").number();
        let is_accepted = match &stored {
            Some(object) => !is_new && expected.is_none_or(|r| r == object.revision),
            None => is_new,
        };
        let spec = body.get("spec").clone();
        let shown = if kind.ends_with("-control") {
            spec.dump()
        } else {
            "..".to_owned()
        };
        if !is_accepted {
            drop(state);
            self.record
                .line(&format!("store: write {kind}/{name} {shown} answered 409"));
            let object = stored.map_or(Json::Null, |o| encode(name, &o));
            return (409, object);
        }
        state.put(kind, name, spec);
        let answer = state
            .objects
            .get(&key)
            .map_or(Json::Null, |o| encode(name, o));
        drop(state);
        self.changed.notify_all();
        self.record
            .line(&format!("store: write {kind}/{name} {shown} answered 200"));
        (200, answer)
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(known) = known.filter(|k| k.spec == spec) {
            return known.revision;
        }
        let created = known.map(|k| k.created);
        self.revision += 1;
        let revision = self.revision;
        let object = Object {
            spec,
            revision,
            created: created.unwrap_or(revision),
        };
        self.objects.insert(key, object.clone());
        self.changes
            .push((revision, kind.to_owned(), name.to_owned(), Some(object)));
        revision
    }
}

fn encode(name: &str, object: &Object) -> Json {
    let meta = json::object(&[
        ("name", json::text(name)),
        ("revision", json::number(object.revision)),
        ("createdRev", json::number(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    json::object(&[
        ("meta", meta),
        ("spec", object.spec.clone()),
        ("status", Json::Null),
    ])
}

struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.clone()).unwrap_or_default()
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let path = words.next().unwrap_or("").to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}
