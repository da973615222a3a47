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

/// Wait time of one long-polling watch whose silence would be noticed otherwise.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(30_000);

/// Time beyond this wait after which a watch is considered lost.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Wait time of a watch that asks whether there were changes.
const CHECK_WAIT: time::Duration = time::Duration::from_millis(1);

/// Timeout of a listing.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Pause before a retry after a failure; four times as long with each further one, as the store charges for
/// calls that it refuses.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause before a retry. The end of an outage is noticed by the reads of the control
/// objects, which then end the pause.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_millis(3_200);

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
    /// The store has this revision. A watch that doesn't lead there soon may have failed silently.
    Revision(u64),
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

/// Result of a call of the store.
enum Answer {
    Listed(Result<store::Listing, store::StoreError>),
    Watched(Result<(Vec<store::Change>, u64), store::StoreError>),
    TimedOut(&'static str),
}

/// A running call of the store.
struct Call {
    sent: Timestamp,
    is_listing: bool,
    is_long: bool,
    answer: pin::Pin<Box<dyn Future<Output = Answer>>>,
}

struct Follower<S, F> {
    store: S,
    watched: Watched,
    on_progress: F,
    replica: contents::Replica,
    fetch: Option<contents::Fetch>,
    mode: Mode,
    call: Option<Call>,
    /// Whether the store is to be listed, even if another instance vouches for the copy.
    is_listing_due: bool,
    /// When the next call of the store may begin.
    due: Timestamp,
    pause: time::Duration,
    last_problem: String,
    /// When to ask the store for changes, as the running watch may have failed silently.
    check_due: Option<Timestamp>,
    /// Whether the next watch only asks for changes.
    is_check: bool,
}

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
    let mut follower = Follower {
        store,
        watched,
        on_progress,
        replica: contents::Replica::default(),
        fetch: None,
        mode,
        call: None,
        is_listing_due: watched.lists_first,
        due: clock::now(),
        pause: RETRY_PAUSE,
        last_problem: String::new(),
        check_due: None,
        is_check: false,
    };
    task::spawn_local(async move {
        loop {
            let now = clock::now();
            follower.start_call(now);
            let wake = follower.next_wake();
            let wait = wake.map_or(MAX_RETRY_PAUSE, |at| at.since(now));
            tokio::select! {
                answer = answer(&mut follower.call) => follower.finish(answer),
                changed = control.restart.changed() => match changed {
                    Ok(()) => follower.restart(),
                    Err(_) => return,
                },
                Ok(()) = control.mode.changed() => {
                    let mode = *control.mode.borrow_and_update();
                    follower.set_mode(mode);
                }
                Some(command) = control.commands.recv() => follower.handle(command),
                () = tokio::time::sleep(wait) => follower.check(),
            }
        }
    })
}

/// Waits for the answer of the running call, forever without one.
async fn answer(call: &mut Option<Call>) -> Answer {
    match call {
        Some(call) => call.answer.as_mut().await,
        None => std::future::pending().await,
    }
}

impl<S: store::Store, F: FnMut(Progress<'_>)> Follower<S, F> {
    /// Starts the next call of the store if one is due.
    fn start_call(&mut self, now: Timestamp) {
        if self.call.is_some() || now < self.due {
            return;
        }
        let revision = self.replica.revision();
        match (self.is_listing_due, self.mode, revision) {
            (true, _, _) | (_, Mode::Long | Mode::Short, None) => self.start_listing(now),
            (_, Mode::Idle, _) => {}
            (_, mode, Some(revision)) => {
                let (wait, grace) = match mode {
                    _ if std::mem::take(&mut self.is_check) => {
                        (CHECK_WAIT, self.watched.silence / 2)
                    }
                    Mode::Long => (WATCH_WAIT, WATCH_GRACE),
                    Mode::Idle | Mode::Short => {
                        (self.watched.silence / 2, self.watched.silence / 2)
                    }
                };
                self.start_watch(now, revision, wait, grace);
            }
        }
    }

    fn start_listing(&mut self, now: Timestamp) {
        let (store, kind) = (self.store.clone(), self.watched.kind);
        let listing = async move {
            let listing = store.list(kind, store::Freshness::Latest);
            let listed = tokio::time::timeout(LIST_TIMEOUT, listing).await;
            listed.map_or(Answer::TimedOut("listing timed out"), Answer::Listed)
        };
        self.call = Some(Call {
            sent: now,
            is_listing: true,
            is_long: false,
            answer: Box::pin(listing),
        });
    }

    fn start_watch(
        &mut self,
        now: Timestamp,
        revision: u64,
        wait: time::Duration,
        grace: time::Duration,
    ) {
        let (store, watched) = (self.store.clone(), self.watched);
        let watching = async move {
            let watching = store.watch(watched.kind, watched.freshness, revision, wait);
            let answer = tokio::time::timeout(wait + grace, watching).await;
            answer.map_or(Answer::TimedOut("watch timed out"), Answer::Watched)
        };
        self.call = Some(Call {
            sent: now,
            is_listing: false,
            is_long: wait == WATCH_WAIT,
            answer: Box::pin(watching),
        });
    }

    /// When [`Follower::check`] has something to do.
    fn next_wake(&self) -> Option<Timestamp> {
        let call = (self.call.is_none() && self.due > clock::now()).then_some(self.due);
        let fetch = self.fetch.as_ref().map(contents::Fetch::due);
        [call, fetch, self.check_due].into_iter().flatten().min()
    }

    fn check(&mut self) {
        let now = clock::now();
        if self.check_due.is_some_and(|at| now >= at) {
            self.check_due = None;
            if self.call.as_ref().is_some_and(|c| c.is_long) {
                self.call = None;
                self.is_check = true;
            }
        }
        if let Some(fetch) = &mut self.fetch {
            let step = fetch.check(now);
            self.handle_step(step);
        }
    }

    fn finish(&mut self, answer: Answer) {
        let Some(Call { sent, .. }) = self.call.take() else {
            return;
        };
        let now = clock::now();
        let problem = match answer {
            Answer::Listed(Ok(listing)) => {
                self.is_listing_due = false;
                self.fetch = None;
                if self.mode == Mode::Idle {
                    self.pause = RETRY_PAUSE;
                }
                self.replica.list(listing);
                self.publish(true, Some(sent));
                return;
            }
            Answer::Watched(Ok((changes, next))) => {
                self.pause = RETRY_PAUSE;
                let is_changed = !changes.is_empty();
                self.replica.apply(changes, next);
                self.publish(is_changed, Some(sent));
                if is_changed {
                    self.due = now.after(self.watched.pause);
                }
                return;
            }
            Answer::Listed(Err(error)) | Answer::Watched(Err(error)) => error.to_string(),
            Answer::TimedOut(problem) => problem.to_owned(),
        };
        if self.last_problem != problem {
            let kind = self.watched.kind;
            log::info!("event=follow_lost kind={kind} problem=\"{problem}\"");
            self.last_problem = problem;
        }
        // A call that failed after a long time followed others that succeeded.
        if now.since(sent) > MAX_RETRY_PAUSE {
            self.pause = RETRY_PAUSE;
        }
        self.is_listing_due = self.is_listing_due || self.mode != Mode::Idle;
        self.due = now.after(self.pause);
        self.pause = (self.pause * 4).min(MAX_RETRY_PAUSE);
    }

    fn publish(&mut self, is_changed: bool, checked: Option<Timestamp>) {
        if is_changed {
            (self.on_progress)(Progress::Changed(self.replica.documents()));
        }
        (self.on_progress)(Progress::Held(currency::Held {
            revision: self.replica.revision(),
            head: self.replica.head(),
            checked,
        }));
    }

    /// Lists the store, whatever other instances say.
    fn restart(&mut self) {
        self.call = None;
        self.fetch = None;
        self.is_listing_due = true;
        self.pause = RETRY_PAUSE;
        self.due = clock::now();
    }

    fn set_mode(&mut self, mode: Mode) {
        let is_dropped = |call: &Call| match mode {
            Mode::Idle => !call.is_listing,
            // A watch with a long wait can't be relied on.
            Mode::Short => call.is_long,
            Mode::Long => false,
        };
        self.call = self.call.take().filter(|call| !is_dropped(call));
        if mode == Mode::Idle && self.replica.revision().is_some() {
            self.is_listing_due = false;
        }
        self.mode = mode;
    }
}
