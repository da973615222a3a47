//! The task that watches all objects of one kind in the store.

use std::collections;
use std::time;

use cardamomhold_core::time::Timestamp;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::store;

/// Wait time of one long-polling watch while others would tell of newer versions.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(30_000);

/// Time beyond this wait after which a watch is considered lost.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Timeout of a listing.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Pause before a retry after a failure; doubled with each further one, as the store charges for
/// calls that it refuses.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause before a retry. The end of an outage is noticed by the reads of the control
/// objects, which then end the pause.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_millis(3_200);

/// A kind of objects to watch.
#[derive(Debug, Clone, Copy)]
pub struct Watched {
    /// Name of the kind.
    pub kind: &'static str,
    /// Pause after each batch of changes, so that a burst of changes costs one call.
    pub pause: time::Duration,
    /// How recent the watches must be. The listings before them are always the latest: what left
    /// before a restart must not be used after it.
    pub freshness: store::Freshness,
    /// Longest time for which a watch may be silent without being noticed, while no other instance
    /// would tell of newer versions. A connection may stop carrying anything without a sign.
    pub silence: time::Duration,
}

impl Watched {
    /// Wait time of the next watch, and the time beyond it after which the watch is lost.
    fn wait(&self, is_informed: bool) -> (time::Duration, time::Duration) {
        match is_informed {
            true => (WATCH_WAIT, WATCH_GRACE),
            false => (self.silence / 2, self.silence / 2),
        }
    }
}

/// What the coordinator tells the tasks that watch.
#[derive(Debug, Clone)]
pub struct Control {
    /// Changes when the watches must be restarted with a listing.
    pub restart: watch::Receiver<u64>,
    /// Whether another instance would tell this one of newer versions.
    pub informed: watch::Receiver<bool>,
}

/// What a task that watches a kind has found.
#[derive(Debug)]
pub enum Progress<'a> {
    /// All objects, after a listing or a batch of changes.
    Changed(&'a Documents),
    /// The store has answered a call that was sent at this time; all changes before are known.
    Checked(Timestamp),
}

/// The objects of a kind, by name.
pub type Documents = collections::BTreeMap<String, store::Document>;

/// Watches a kind until the senders of `control` are dropped; calls `on_progress` with all its
/// objects after each listing and each batch of changes. A change of `restart` starts again with
/// a listing: watches from before a store outage can't be relied on. Returns the task, which
/// otherwise ends only by a fault.
pub fn start<S: store::Store>(
    store: S,
    watched: Watched,
    control: Control,
    mut on_progress: impl FnMut(Progress<'_>) + 'static,
) -> task::JoinHandle<()> {
    task::spawn_local(async move {
        let Control {
            mut restart,
            mut informed,
        } = control;
        let mut last_problem = String::new();
        let mut pause = RETRY_PAUSE;
        loop {
            let started = clock::now();
            let problem = tokio::select! {
                problem = list_and_watch(&store, watched, &mut informed, &mut on_progress) => problem,
                changed = restart.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
            };
            // A call that failed after a long time followed others that succeeded.
            if clock::now().since(started) > MAX_RETRY_PAUSE {
                pause = RETRY_PAUSE;
            }
            if last_problem != problem {
                log::info!(
                    "event=follow_lost kind={} problem=\"{problem}\"",
                    watched.kind
                );
                last_problem = problem;
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => pause = (pause * 2).min(MAX_RETRY_PAUSE),
                changed = restart.changed() => match changed {
                    Ok(()) => pause = RETRY_PAUSE,
                    Err(_) => return,
                },
            }
        }
    })
}

/// Lists the objects, then watches them until a call fails; returns the problem.
async fn list_and_watch<S: store::Store>(
    store: &S,
    watched: Watched,
    informed: &mut watch::Receiver<bool>,
    on_progress: &mut impl FnMut(Progress<'_>),
) -> String {
    let kind = watched.kind;
    let sent = clock::now();
    let listing = store.list(kind, store::Freshness::Latest);
    let listed = tokio::time::timeout(LIST_TIMEOUT, listing).await;
    let listing = match listed {
        Ok(Ok(listing)) => listing,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return "listing timed out".to_owned(),
    };
    let mut documents = Documents::new();
    for document in listing.documents {
        documents.insert(document.name.clone(), document);
    }
    let mut revision = listing.revision;
    on_progress(Progress::Changed(&documents));
    on_progress(Progress::Checked(sent));
    loop {
        let sent = clock::now();
        let (wait, grace) = watched.wait(*informed.borrow_and_update());
        let watching = store.watch(kind, watched.freshness, revision, wait);
        let watching = tokio::time::timeout(wait + grace, watching);
        let answer = tokio::select! {
            answer = watching => answer,
            () = uninformed(informed) => continue,
        };
        let (changes, next) = match answer {
            Ok(Ok(batch)) => batch,
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "watch timed out".to_owned(),
        };
        // A cached answer may be older than the listing.
        revision = revision.max(next);
        if !changes.is_empty() {
            for change in changes {
                match change {
                    store::Change::Put(document) => put(&mut documents, document),
                    store::Change::Removed(name) => {
                        documents.remove(&name);
                    }
                }
            }
            on_progress(Progress::Changed(&documents));
            on_progress(Progress::Checked(sent));
            tokio::time::sleep(watched.pause).await;
            continue;
        }
        on_progress(Progress::Checked(sent));
    }
}

/// Waits until no other instance would tell of newer versions any more: a watch with a long wait
/// can't be relied on then.
async fn uninformed(informed: &mut watch::Receiver<bool>) {
    loop {
        if informed.changed().await.is_err() {
            // The coordinator has ended; the process ends as well.
            std::future::pending::<()>().await;
        }
        if !*informed.borrow() {
            return;
        }
    }
}

/// Stores a document unless a newer one of its name is known.
fn put(documents: &mut Documents, document: store::Document) {
    let known = documents.get(&document.name);
    if known.is_none_or(|k| k.revision <= document.revision) {
        documents.insert(document.name.clone(), document);
    }
}
