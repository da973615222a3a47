//! The task that keeps the copy of all objects of one kind: by listing and watching the store, or
//! from another instance.

use std::net;
use std::pin;
use std::time;

use cardamomhold_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::contents;
use crate::currency;
use crate::currency::Mode;
use crate::store;

pub use crate::contents::Documents;

mod command;
mod follower;

pub use follower::Answer;
pub use follower::Call;
pub use follower::Follower;
pub use follower::STORE_PAUSES;

/// Longest time without a look at what is due.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(3_200);

/// A kind of objects to follow.
#[derive(Debug, Clone, Copy)]
pub struct Watched {
    /// The kind.
    pub id: contents::Kind,
    /// Name of the kind in the store.
    pub kind: &'static str,
    /// Pause after each batch of changes, so that a burst of changes costs one call.
    pub pause: time::Duration,
    /// How recent the watches must be. The listings before them are always the latest: what left
    /// before a restart must not be used after it.
    pub freshness: store::Freshness,
    /// Longest time for which a watch may be silent without being noticed. A connection may stop
    /// carrying anything without a sign.
    pub silence: time::Duration,
    /// Whether it is listed at the start, before any other instance is known.
    pub lists_first: bool,
    /// Whether an object may be passed on to other instances.
    pub is_passed: fn(&store::Document) -> bool,
}

/// What the coordinator tells the task.
#[derive(Debug)]
pub enum Command {
    /// The instance at this address has changes up to this revision.
    Newer(net::SocketAddr, u64),
    /// The store has answered a call that was sent at this time, and had this revision. A watch that
    /// doesn't lead there soon may have failed silently.
    Revision(Timestamp, u64),
    /// A datagram of another instance.
    Received(net::SocketAddr, contents::Message),
}

/// The coordinator's channels to the task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Whether the kind is watched in the store.
    pub mode: watch::Sender<Mode>,
    /// Commands.
    pub commands: mpsc::UnboundedSender<Command>,
}

/// The receiving ends of [`Handle`], and the signal to start again.
#[derive(Debug)]
pub struct Control {
    /// Changes when the store must be listed again.
    pub restart: watch::Receiver<u64>,
    /// Whether the kind is watched in the store.
    pub mode: watch::Receiver<Mode>,
    /// Commands.
    pub commands: mpsc::UnboundedReceiver<Command>,
}

/// Creates the channels to a task.
pub fn channels(restart: watch::Receiver<u64>) -> (Handle, Control) {
    let (mode, modes) = watch::channel(Mode::default());
    let (commands, received) = mpsc::unbounded_channel();
    let control = Control {
        restart,
        mode: modes,
        commands: received,
    };
    (Handle { mode, commands }, control)
}

/// What a task that follows a kind has found.
#[derive(Debug)]
pub enum Progress<'a> {
    /// All objects, after a listing, a batch of changes or an update of another instance.
    Changed(&'a Documents),
    /// How recent the copy is.
    Held(currency::Held),
    /// A datagram is to be sent.
    Send(net::SocketAddr, contents::Message),
}

/// A running call of the store.
type Running = pin::Pin<Box<dyn Future<Output = Answer>>>;

/// Follows a kind until the sender of `control.restart` is dropped; calls `on_progress` with all its
/// objects after each change. A change of `restart` lists the store again: watches from before a
/// store outage can't be relied on. Returns the task, which otherwise ends only by a fault.
pub fn start<S: store::Store>(
    store: S,
    watched: Watched,
    mut control: Control,
    on_progress: impl FnMut(Progress<'_>) + 'static,
) -> task::JoinHandle<()> {
    let mode = *control.mode.borrow_and_update();
    let mut follower = Follower::new(watched, mode, on_progress);
    task::spawn_local(async move {
        let mut running: Option<Running> = None;
        loop {
            let now = clock::now();
            if let Some(call) = follower.next_call(now) {
                running = Some(Box::pin(perform(store.clone(), watched.kind, call)));
            }
            running = running.filter(|_| follower.is_calling());
            let wake = follower.next_wake(now);
            let wait = wake.map_or(MAX_SLEEP, |at| at.since(now));
            tokio::select! {
                answer = answer(&mut running) => follower.finish(clock::now(), answer),
                changed = control.restart.changed() => match changed {
                    Ok(()) => follower.restart(clock::now()),
                    Err(_) => return,
                },
                Ok(()) = control.mode.changed() => {
                    let mode = *control.mode.borrow_and_update();
                    follower.set_mode(mode);
                }
                Some(command) = control.commands.recv() => follower.handle(clock::now(), command),
                () = tokio::time::sleep(wait) => follower.check(clock::now()),
            }
        }
    })
}

/// Performs a call of the store.
async fn perform<S: store::Store>(store: S, kind: &'static str, call: Call) -> Answer {
    match call {
        Call::List { timeout } => {
            let listing = store.list(kind, store::Freshness::Latest);
            let listed = tokio::time::timeout(timeout, listing).await;
            listed.map_or(Answer::TimedOut, Answer::Listed)
        }
        Call::Watch {
            freshness,
            revision,
            wait,
            timeout,
        } => {
            let watching = store.watch(kind, freshness, revision, wait);
            let watched = tokio::time::timeout(timeout, watching).await;
            watched.map_or(Answer::TimedOut, Answer::Watched)
        }
    }
}

/// Waits for the answer of the running call, forever without one.
async fn answer(running: &mut Option<Running>) -> Answer {
    match running {
        Some(running) => running.as_mut().await,
        None => std::future::pending().await,
    }
}
