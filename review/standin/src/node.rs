//! The project's own processes, started with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Program and argument of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/cardamomhold_node";

/// One instance.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// What all instances have in common.
pub struct Site {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub record: Record,
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Node {
    /// Writes the settings of an instance and starts it. Each has a loopback address of its own,
    /// as a machine has.
    pub fn start(site: &Site, name: &str, zone: &str, number: u8) -> std::io::Result<Self> {
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            64 + (process % 150) as u8,
            (process >> 8) as u8,
            number,
        );
        let (front, ready, peers) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\ninternalPorts = [{peers}, {peers}]\n\
             seeds = []\nbootstrap = true\nheartbeatMs = 1200\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpuShare = 0.17\ncores = 1\nmemoryMb = 182\nmaxFds = 3010\n\
             [bounds]\nstableWindowMs = 4000\nackMs = 5000\ndrainMs = 7000\ngraceS = 6\n\
             slackMs = 200\nconfigApplyMs = 3000\nrecoveryS = 12\nfencing = false\nthawSlackMs = 300\n\
             [platform]\naddress = \"{}\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             [cloud]\naddress = \"{}\"\nratePerS = 50.0\ndutyPerS = 50.0\n",
            site.store, site.cloud
        );
        let settings = site.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            front: SocketAddr::new(IpAddr::V4(ip), front),
            ready: SocketAddr::new(IpAddr::V4(ip), ready),
            settings,
            log: site.folder.join(format!("{name}.log")),
            child: None,
            record: site.record.clone(),
        };
        node.run()?;
        Ok(node)
    }

    /// Starts the process.
    pub fn run(&mut self) -> std::io::Result<()> {
        let output = File::options().create(true).append(true).open(&self.log)?;
        let errors = output.try_clone()?;
        let child = Command::new(Path::new(PROGRAM))
            .arg("run")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CARDAMOMHOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        self.record
            .line(&format!("{} starts as process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} gets SIG{signal}", self.name));
            let _ = Command::new("kill")
                .args([format!("-{signal}"), child.id().to_string()])
                .status();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let wait = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&self.ready, wait)?;
            stream.set_read_timeout(Some(wait))?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Copies the log lines that hold one of the words into the record.
    pub fn copy_log(&self, words: &[&str]) {
        let text = std::fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        for line in text.lines() {
            if words.iter().any(|w| line.contains(w)) {
                self.record.line(&format!("log of {}: {line}", self.name));
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all instances are ready; false if they aren't in time.
pub fn wait_ready(nodes: &mut [Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        if !nodes.iter_mut().all(Node::is_running) {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
