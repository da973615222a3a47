//! The task that owns the configuration and publishes its changes.

use std::sync;

use cardamomhold_config::config;
use cardamomhold_platform::client;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Updates of the configuration and of the platform's reachability.
#[derive(Debug)]
pub enum Update {
    /// One change; changes before it may be missing.
    Change(config::Change),
    /// All changes up to a version.
    Batch {
        /// The changes.
        changes: Vec<config::Change>,
        /// Version up to which no change is missing.
        through: config::Version,
    },
    /// Whether the platform is reachable.
    Reachable(bool),
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Sends updates to the task.
    pub updates: mpsc::Sender<Update>,
    /// The latest configuration.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// Whether the platform is reachable.
    pub reachable: watch::Receiver<bool>,
}

/// Starts the task.
pub fn start() -> Handle {
    let (updates, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let publisher = watch::Sender::new(sync::Arc::new(config::Config::default()));
    let reachable = watch::Sender::new(false);
    let handle = Handle {
        updates,
        config: publisher.subscribe(),
        reachable: reachable.subscribe(),
    };
    let task = Task {
        config: config::Config::default(),
        publisher,
        reachable,
    };
    tokio::spawn(task.run(mailbox));
    handle
}

struct Task {
    config: config::Config,
    publisher: watch::Sender<sync::Arc<config::Config>>,
    reachable: watch::Sender<bool>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Update>) {
        while let Some(update) = mailbox.recv().await {
            match update {
                Update::Change(change) => self.merge(&change),
                Update::Batch { changes, through } => {
                    for change in &changes {
                        self.merge(change);
                    }
                    self.config.set_complete(through);
                }
                Update::Reachable(is_reachable) => {
                    self.reachable
                        .send_if_modified(|r| std::mem::replace(r, is_reachable) != is_reachable);
                    continue;
                }
            }
            self.publisher
                .send_replace(sync::Arc::new(self.config.clone()));
        }
    }

    fn merge(&mut self, change: &config::Change) {
        match self.config.merge(change) {
            config::Merged::Applied => {
                log::info!(
                    "event=config_changed name={} version={}",
                    change.name,
                    change.version
                );
            }
            config::Merged::AlreadyPresent => {}
            config::Merged::Unparsable => {
                log::warn!(
                    "event=config_not_understood name={} version={}",
                    change.name,
                    change.version
                );
            }
        }
    }
}

/// Converts an object of the platform to a change.
pub fn change_of(object: client::Object) -> config::Change {
    config::Change {
        name: object.name,
        value: object.value.into(),
        version: object.version,
        removed: object.removed,
    }
}
