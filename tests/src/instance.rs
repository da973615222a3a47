//! One real instance that can be killed, frozen and stopped.

use std::net::SocketAddr;
use std::sync::mpsc as blocking;
use std::thread;
use std::time;

use cardamomhold_daemon::daemon;
use cardamomhold_daemon::settings;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Where an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For other instances and operators.
    pub peer: SocketAddr,
    /// For metrics and the readiness probe.
    pub metrics: SocketAddr,
}

enum Command {
    Freeze(blocking::Receiver<()>),
    Stop(time::Duration, oneshot::Sender<usize>),
}

/// A running instance; dropping it kills it.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub addresses: Addresses,
    commands: Option<mpsc::Sender<Command>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Ends a freeze when it is dropped.
pub struct FreezeGuard {
    _resume: blocking::Sender<()>,
}

impl Instance {
    /// Starts an instance and waits until it listens.
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

    /// What is left of an instance that has ended.
    pub fn ended(name: &str, zone: &str, addresses: Addresses) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            addresses,
            commands: None,
            thread: None,
        }
    }

    /// Whether it was neither killed nor stopped.
    pub fn is_running(&self) -> bool {
        self.thread.is_some()
    }

    /// Kills the instance: every connection breaks.
    pub fn kill(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            thread.join().expect("instance thread");
        }
    }

    /// Stops every task of the instance until the result is dropped.
    pub async fn freeze(&self) -> FreezeGuard {
        let (resume, frozen) = blocking::channel();
        self.send(Command::Freeze(frozen)).await;
        FreezeGuard { _resume: resume }
    }

    /// Stops the instance gracefully; returns how many connections were cut.
    pub async fn stop(&mut self, grace: time::Duration) -> usize {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Stop(grace, reply)).await;
        let cut = answer.await.expect("instance stops");
        self.kill();
        cut
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
            // Blocks the only thread of this runtime, and with it every task.
            Command::Freeze(resume) => drop(resume.recv()),
            Command::Stop(grace, reply) => {
                let cut = daemon.stop(grace).await;
                // The test may have ended.
                let _ = reply.send(cut);
                return;
            }
        }
    }
}
