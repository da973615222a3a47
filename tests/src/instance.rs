//! An instance that a test can kill, freeze and stop.

use std::net::SocketAddr;
use std::sync::mpsc as blocking;
use std::thread;
use std::time;

use cardamomhold_daemon::daemon;
use cardamomhold_daemon::settings;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Addresses at which an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Accepts callers.
    pub listen: SocketAddr,
    /// Accepts other instances and operators.
    pub peer: SocketAddr,
    /// Serves metrics and the readiness probe.
    pub metrics: SocketAddr,
}

enum Command {
    Freeze(blocking::Receiver<()>),
    Stop(time::Duration, oneshot::Sender<usize>),
}

/// A running instance; dropping it kills it.
pub struct Instance {
    /// Name in the settings.
    pub name: String,
    /// Zone in the settings.
    pub zone: String,
    /// Bound addresses.
    pub addresses: Addresses,
    commands: Option<mpsc::Sender<Command>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Keeps an instance frozen until it is dropped.
pub struct FreezeGuard {
    _resume: blocking::Sender<()>,
}

impl Instance {
    /// Starts an instance on its own thread and waits until it listens.
    pub async fn start(settings: settings::Settings) -> Self {
        let (commands, mailbox) = mpsc::channel(8);
        let (started, addresses) = oneshot::channel();
        let name = settings.instance.to_string();
        let zone = settings.zone.to_string();
        let thread = thread::Builder::new()
            .name(name.clone())
            .spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .expect("runtime");
                runtime.block_on(serve(settings, started, mailbox));
            })
            .expect("thread");
        let addresses = addresses.await.expect("instance starts");
        Self {
            name,
            zone,
            addresses,
            commands: Some(commands),
            thread: Some(thread),
        }
    }

    /// Creates a placeholder for an instance that no longer runs.
    pub fn ended(name: &str, zone: &str, addresses: Addresses) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            addresses,
            commands: None,
            thread: None,
        }
    }

    /// Whether the instance was neither killed nor stopped.
    pub fn is_running(&self) -> bool {
        self.thread.is_some()
    }

    /// Kills the instance, which breaks its connections.
    pub fn kill(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            thread.join().expect("instance thread");
        }
    }

    /// Suspends every task of the instance until the returned guard is dropped.
    pub async fn freeze(&self) -> FreezeGuard {
        let (resume, frozen) = blocking::channel();
        self.send(Command::Freeze(frozen)).await;
        FreezeGuard { _resume: resume }
    }

    /// Stops the instance gracefully; returns the number of connections or streams, whichever
    /// is greater, that were still open after `grace`.
    pub async fn stop(&mut self, grace: time::Duration) -> usize {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Stop(grace, reply)).await;
        let remaining = answer.await.expect("instance stops");
        self.kill();
        remaining
    }

    async fn send(&self, command: Command) {
        let commands = self.commands.as_ref().expect("instance runs");
        assert!(commands.send(command).await.is_ok(), "instance runs");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn serve(
    settings: settings::Settings,
    started: oneshot::Sender<Addresses>,
    mut mailbox: mpsc::Receiver<Command>,
) {
    let daemon = daemon::Daemon::start(&settings)
        .await
        .expect("daemon starts");
    let addresses = Addresses {
        listen: daemon.listen(),
        peer: daemon.peer(),
        metrics: daemon.metrics(),
    };
    started.send(addresses).expect("test waits");
    while let Some(command) = mailbox.recv().await {
        match command {
            // Blocks the only thread of this runtime, which suspends every task.
            Command::Freeze(resume) => drop(resume.recv()),
            Command::Stop(grace, reply) => {
                let remaining = daemon.stop(grace).await;
                // The receiver is gone if the test has ended.
                let _ = reply.send(remaining);
                return;
            }
        }
    }
}
