//! Starts the project's instances as processes, with settings like those of a small deployment.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Memory of a machine: the smallest one of the installations.
const MEMORY_MB: u64 = 112;

/// The same in bytes, with the larger meaning of MB.
pub const MEMORY_LIMIT: u64 = MEMORY_MB * 1024 * 1024;

/// Number in the name of the first instance; all names sort in the order of their numbers.
const FIRST_NUMBER: u8 = 101;

/// Number of instances started so far.
static STARTED: AtomicU8 = AtomicU8::new(0);

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub store: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

/// Starts a process with a settings file; its output goes to a log beside that.
fn spawn(program: &Path, settings: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("the log");
    Command::new(program)
        .arg("run")
        .env("CARDAMOMHOLD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("the instance starts")
}

impl Node {
    /// Starts an instance with a new name and address in a zone.
    pub fn start(program: &Path, zone: u8, store: SocketAddr, dir: &Path) -> Self {
        let index = STARTED.fetch_add(1, Ordering::SeqCst);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 101 + high % 100, low, index + 1);
        let mut ports = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..3 {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            ports.push(listener.local_addr().expect("an address").port());
            listeners.push(listener);
        }
        drop(listeners);
        let name = format!("front-z{zone}-{}", FIRST_NUMBER + index);
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"z{zone}\"\nregion = \"r1\"\ninternalPorts = [{0},{0}]\n\
             bootstrap = true\nheartbeatMs = 1200\n[zones]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r1\"\n\
             [listen]\nfront = \"{ip}:{1}\"\nready = \"{ip}:{2}\"\n\
             [limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 3010\n\
             [bounds]\nstableWindowMs = 4000\ndrainMs = 7000\ngraceS = 6\nslackMs = 200\n\
             configApplyMs = 3000\nmaxSkewMs = 12000\nrecoveryS = 12\nfencing = false\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\n\
             [cloud]\naddress = \"{store}\"\nratePerS = 50.0\nduties = [\"promotion\"]\ndutyPerS = 50.0\n",
            ports[0], ports[1], ports[2]
        );
        let settings: PathBuf = dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings");
        Self {
            name,
            store,
            callers: SocketAddr::from((ip, ports[1])),
            program: program.to_owned(),
            child: spawn(program, &settings),
            settings,
        }
    }
}

impl Node {
    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Node {
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does when it has ended.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.settings);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        // It may have ended already.
        let _ = Command::new("kill")
            .args(["-TERM", &self.id().to_string()])
            .status();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
