//! Stand-in of the platform: its object store and its promotion call, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Objects {
    /// Raw content and revision of each object, by kind and name.
    stored: BTreeMap<(String, String), (String, u64)>,
    /// Revision, kind and name of each change.
    changes: Vec<(u64, String, String)>,
    revision: u64,
}

/// Called with a group and a member, holder and token; the status of the answer.
pub type Promote = Box<dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync>;

/// The platform.
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    pub address: SocketAddr,
    pub promote: Mutex<Option<Promote>>,
}

impl Objects {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let (spec, revision) = self.stored.get(&(kind.to_owned(), name.to_owned()))?;
        Some(format!(
            r#"{{"meta":{{"name":"{name}","revision":{revision},"createdRev":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        ))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.stored.get(&key).is_some_and(|(s, _)| s == spec) {
            return;
        }
        self.revision += 1;
        self.stored.insert(key, (spec.to_owned(), self.revision));
        self.changes
            .push((self.revision, kind.to_owned(), name.to_owned()));
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let mut events = Vec::new();
        for (revision, k, name) in &self.changes {
            if *revision <= after || k != kind {
                continue;
            }
            events.push(match self.object(kind, name) {
                Some(object) => format!(r#"{{"deleted":false,"object":{object}}}"#),
                None => format!(
                    r#"{{"deleted":true,"object":{{"meta":{{"name":"{name}","revision":{revision}}},"spec":null}}}}"#
                ),
            });
        }
        events
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            objects: Mutex::new(Objects {
                revision: 1,
                ..Objects::default()
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("an address"),
            promote: Mutex::new(None),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || {
                    // The client may close the connection at any time.
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.objects.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if objects.stored.remove(&key).is_some() {
            objects.revision += 1;
            let change = (objects.revision, key.0, key.1);
            objects.changes.push(change);
        }
        drop(objects);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_owned();
            let path = words.next().unwrap_or_default().to_owned();
            let mut headers = BTreeMap::new();
            loop {
                let mut header = String::new();
                input.read_line(&mut header)?;
                let Some((name, value)) = header.trim().split_once(':') else {
                    break;
                };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let len = headers.get("content-length");
            let len = len.and_then(|l| l.parse().ok()).unwrap_or(0);
            let mut body = vec![0; len];
            input.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&method, &path, &headers, &body);
            let reply = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            output.write_all(reply.as_bytes())?;
        }
    }

    fn answer(
        &self,
        method: &str,
        path: &str,
        headers: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        if path == "/promote" {
            let holder = headers.get("cardamomhold-duty-holder");
            let token = headers.get("cardamomhold-fence-token");
            let token = token.and_then(|t| t.parse().ok()).unwrap_or(0);
            let promote = self.promote.lock().unwrap();
            let status = promote.as_ref().map_or(503, |promote| {
                promote(
                    json::text(body, "service").unwrap_or(""),
                    json::text(body, "id").unwrap_or(""),
                    holder.map_or("", String::as_str),
                    token,
                )
            });
            return (status, "{}".to_owned());
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let rest = path.strip_prefix("/-/objects/").unwrap_or("");
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        match (method, name) {
            ("GET", None) => {
                let number = |n: &str| parameter(n).and_then(|v| v.parse::<u64>().ok());
                match number("watch") {
                    Some(after) => self.watch(kind, after, number("waitMs").unwrap_or(0)),
                    None => self.list(kind),
                }
            }
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                match objects.object(kind, name) {
                    Some(object) => (200, object),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => self.write(kind, None, body),
            ("PUT", Some(name)) => self.write(kind, Some(name), body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let objects = self.objects.lock().unwrap();
        let names = objects.stored.keys().filter(|(k, _)| k == kind);
        let items: Vec<String> = names.filter_map(|(k, n)| objects.object(k, n)).collect();
        let text = format!(
            r#"{{"items":[{}],"hasMore":false,"atRev":{}}}"#,
            items.join(","),
            objects.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.lock().unwrap();
        loop {
            let events = objects.events(kind, after);
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(
                    r#"{{"events":[{}],"atRev":{}}}"#,
                    events.join(","),
                    objects.revision
                );
                return (200, text);
            }
            objects = self.changed.wait_timeout(objects, until - now).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let meta = json::field(body, "meta").unwrap_or("{}");
        let spec = json::field(body, "spec").unwrap_or("null");
        let is_new = name.is_none();
        let Some(name) = name.or_else(|| json::text(meta, "name")) else {
            return (400, "{}".to_owned());
        };
        let mut objects = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let stored = objects.stored.get(&key).map(|(_, revision)| *revision);
        let expected = json::number(meta, "revision");
        match stored {
            None if !is_new => return (404, "{}".to_owned()),
            Some(revision) if is_new || expected.is_some_and(|e| e != revision) => {
                return (409, objects.object(kind, name).unwrap_or_default());
            }
            _ => {}
        }
        objects.put(kind, name, spec);
        let object = objects.object(kind, name).unwrap_or_default();
        drop(objects);
        self.changed.notify_all();
        (200, object)
    }
}
