//! Two daemons as processes with lowered limits, and a crowd of hostile clients at the first one.
//! The second one owns endpoints, so the crowd's messages reach it in streams.

// Clippy allows `unwrap` in tests, but not in their helpers.
#![allow(clippy::unwrap_used)]
#![allow(dead_code)]

use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use cardamomhold_standin::endpoint;
use cardamomhold_standin::member;
use cardamomhold_standin::platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Length of a legal message, in bytes.
pub const MESSAGE_LEN: usize = 1 << 20;

/// Time after which a daemon that doesn't serve counts as hanging.
const HANG_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time that a hostile client spends on one read or write before it goes on.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Receive buffer of a client that doesn't read, in bytes; the system's default would take whole
/// answers from the daemon.
const NARROW_BUFFER: u32 = 4 << 10;

/// Version 3.0 of the protocol, in a startup message.
const PROTOCOL_VERSION: i32 = 196_608;

/// Limits in the settings files of a test's daemons; they are also the bounds that it checks.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// `memory_mb`, bound of `VmHWM`.
    pub memory_mb: usize,
    /// `max_fds`, bound of the open descriptors.
    pub max_fds: usize,
}

/// Limits below what [`CROWD`] clients send at once: 60 messages of 1 MiB don't fit into 48 MB.
pub const LIMITS: Limits = Limits {
    memory_mb: 48,
    max_fds: 256,
};

/// Number of hostile clients.
pub const CROWD: usize = 60;

/// A daemon's process.
struct Daemon {
    listen: net::SocketAddr,
    child: process::Child,
    /// Most descriptors seen open.
    peak_fds: sync::Arc<atomic::AtomicUsize>,
    log: path::PathBuf,
}

/// Two daemons, a group of three members and the platform.
pub struct Site {
    _platform: platform::Platform,
    _members: Vec<endpoint::Endpoint>,
    limits: Limits,
    daemons: Vec<Daemon>,
    dir: path::PathBuf,
}

impl Site {
    /// Starts the site and waits until both daemons serve.
    pub async fn start(limits: Limits) -> Self {
        let platform = platform::Platform::start("127.0.0.1:0").await.unwrap();
        let members = start_members().await;
        let group = group_object(&members);
        platform.store("config/group/bookings", group.as_bytes());
        let name = format!("cardamomhold-daemon-crowd-{}", process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        let mut daemons = Vec::new();
        for (index, zone) in ["a", "b"].into_iter().enumerate() {
            let daemon = Daemon::start(index as u8, zone, limits, &platform, &dir);
            daemons.push(daemon);
        }
        let site = Self {
            _platform: platform,
            _members: members,
            limits,
            daemons,
            dir,
        };
        for daemon in &site.daemons {
            ask(daemon).await;
        }
        site
    }

    /// Runs `attack` for each hostile client at once, checks the daemons when all have returned
    /// their connections, and closes these afterwards.
    pub async fn storm<F>(&mut self, crowd: usize, attack: impl Fn(net::SocketAddr, usize) -> F)
    where
        F: Future<Output = Option<TcpStream>> + Send + 'static,
    {
        let target = self.daemons[0].listen;
        let attacks: Vec<_> = (0..crowd)
            .map(|index| tokio::spawn(attack(target, index)))
            .collect();
        let mut attached = Vec::new();
        for attack in attacks {
            attached.push(attack.await.unwrap());
        }
        self.check().await;
        drop(attached);
    }

    /// Checks that both daemons live, stayed within their limits, and serve an ordinary client.
    async fn check(&mut self) {
        let mut problems = Vec::new();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if let Some(status) = daemon.child.try_wait().unwrap() {
                problems.push(format!("daemon {index} has ended: {status}"));
            }
        }
        if problems.is_empty() {
            for daemon in &self.daemons {
                ask(daemon).await;
            }
        }
        for (index, daemon) in self.daemons.iter().enumerate() {
            let peak_kb = peak_memory_kb(daemon.child.id()).unwrap_or_default();
            let peak_fds = daemon.peak_fds.load(atomic::Ordering::Relaxed);
            println!("daemon {index}: VmHWM {peak_kb} kB, at most {peak_fds} descriptors");
            let Limits { memory_mb, max_fds } = self.limits;
            if peak_kb > memory_mb * 1_000_000 / 1_024 {
                problems.push(format!(
                    "daemon {index}: VmHWM {peak_kb} kB, bound {memory_mb} MB"
                ));
            }
            if peak_fds > max_fds {
                problems.push(format!(
                    "daemon {index}: {peak_fds} descriptors, bound {max_fds}"
                ));
            }
        }
        let dir = self.dir.display();
        assert!(problems.is_empty(), "{problems:?}, logs in {dir}");
        fs::remove_dir_all(&self.dir).unwrap();
    }
}

/// Sends ordinary requests until one is served.
async fn ask(daemon: &Daemon) {
    let asking = async {
        loop {
            if let Some(mut stream) = session(daemon.listen).await
                && send(&mut stream, &query("SELECT 1")).await.is_some()
                && answer(&mut stream)
                    .await
                    .is_some_and(|types| types.contains(&b'D'))
            {
                return;
            }
            sleep(50).await;
        }
    };
    let served = tokio::time::timeout(HANG_TIMEOUT, asking).await;
    assert!(served.is_ok(), "hangs, log in {}", daemon.log.display());
}

impl Daemon {
    fn start(
        index: u8,
        zone: &str,
        limits: Limits,
        platform: &platform::Platform,
        dir: &path::Path,
    ) -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        let ip = net::Ipv4Addr::new(127, 101 + high % 100, low, index + 1);
        // All are open at the same time: a port of a closed socket may be found again.
        let listeners = [(); 3].map(|()| net::TcpListener::bind((ip, 0)).unwrap());
        let addresses = listeners
            .each_ref()
            .map(|listener| listener.local_addr().unwrap().to_string());
        drop(listeners);
        let name = format!("entry-{zone}");
        let text = serde_json::json!({
            "instance": name, "zone": zone, "listen": addresses[0], "peer": addresses[1],
            "metrics": addresses[2], "platform": platform.address().to_string(),
            "token_secret": "a secret for tests only",
            "memory_mb": limits.memory_mb, "max_fds": limits.max_fds,
        });
        let settings = dir.join(format!("{name}.json"));
        fs::write(&settings, text.to_string()).unwrap();
        let log = dir.join(format!("{name}.log"));
        let output = fs::File::create(&log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_cardamomholdd"))
            .arg("run")
            .arg(&settings)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        platform.put_instance(&name, zone, &addresses[1], false);
        let peak_fds = sync::Arc::default();
        tokio::spawn(watch_descriptors(child.id(), sync::Arc::clone(&peak_fds)));
        Self {
            listen: addresses[0].parse().unwrap(),
            child,
            peak_fds,
            log,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn watch_descriptors(id: u32, peak: sync::Arc<atomic::AtomicUsize>) {
    while let Ok(open) = fs::read_dir(format!("/proc/{id}/fd")) {
        peak.fetch_max(open.count(), atomic::Ordering::Relaxed);
        sleep(20).await;
    }
}

/// Peak resident size of a process.
fn peak_memory_kb(id: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

async fn start_members() -> Vec<endpoint::Endpoint> {
    let mut members: Vec<endpoint::Endpoint> = Vec::new();
    for zone in ["a", "b", "c"] {
        let options = member::Options::new(&format!("bookings-{zone}"), "bookings");
        let role = match members.first() {
            None => endpoint::InitialRole::Primary,
            Some(primary) => endpoint::InitialRole::Replica(primary.address().to_string()),
        };
        let started = endpoint::Endpoint::start(options, "127.0.0.1:0", role).await;
        members.push(started.unwrap());
    }
    members
}

fn group_object(members: &[endpoint::Endpoint]) -> String {
    let mut specs = Vec::new();
    for (member, zone) in members.iter().zip(["a", "b", "c"]) {
        specs.push(serde_json::json!({
            "name": format!("bookings-{zone}"), "zone": zone,
            "address": member.address().to_string(), "draining": false,
        }));
    }
    let group = serde_json::json!({
        "members": specs, "slots": 3, "connections": 8, "key_retention_s": 86_400,
    });
    serde_json::json!({"author": "test", "change": "1", "spec": {"group": group}}).to_string()
}

/// Opens a session; none when the daemon refuses it.
pub async fn session(address: net::SocketAddr) -> Option<TcpStream> {
    greet(TcpStream::connect(address).await.ok()?).await
}

/// Opens a session of a client whose system buffers little; none when the daemon refuses it.
pub async fn narrow_session(address: net::SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(NARROW_BUFFER).ok()?;
    greet(socket.connect(address).await.ok()?).await
}

async fn greet(mut stream: TcpStream) -> Option<TcpStream> {
    send(&mut stream, &startup("kalkbok")).await?;
    answer(&mut stream).await?;
    Some(stream)
}

/// A startup message of this user.
pub fn startup(user: &str) -> Vec<u8> {
    let texts = format!("user\0{user}\0database\0bookings\0\0");
    let mut message = (texts.len() as i32 + 8).to_be_bytes().to_vec();
    message.extend_from_slice(&PROTOCOL_VERSION.to_be_bytes());
    message.extend_from_slice(texts.as_bytes());
    message
}

/// A message with its type and length.
pub fn message(kind: u8, content: &[u8]) -> Vec<u8> {
    let mut message = vec![kind];
    message.extend_from_slice(&(content.len() as i32 + 4).to_be_bytes());
    message.extend_from_slice(content);
    message
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A simple query of about `len` bytes with a short answer.
pub fn long_query(len: usize) -> Vec<u8> {
    query(&format!("SELECT length('{}')", "x".repeat(len - 32)))
}

/// Reads an answer up to "ready for query"; returns the types of its messages, or none when the
/// connection ends or nothing arrives in time.
pub async fn answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let reading = async {
        let mut types = Vec::new();
        loop {
            let kind = stream.read_u8().await.ok()?;
            let len = stream.read_i32().await.ok()?;
            let mut content = vec![0; usize::try_from(len).ok()?.checked_sub(4)?];
            stream.read_exact(&mut content).await.ok()?;
            types.push(kind);
            if kind == b'Z' {
                return Some(types);
            }
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, reading).await.ok()?
}

/// Sends bytes until the daemon takes no more; none when it has closed the connection.
pub async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    match tokio::time::timeout(STEP_TIMEOUT, stream.write_all(bytes)).await {
        Ok(written) => written.ok(),
        Err(_) => Some(()),
    }
}

pub async fn sleep(ms: u64) {
    tokio::time::sleep(time::Duration::from_millis(ms)).await;
}
