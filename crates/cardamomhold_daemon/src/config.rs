//! The task that owns the configuration and publishes every change.

use std::sync;

use cardamomhold_config::config;
use cardamomhold_platform::client;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Messages that wait for the task.
const MAILBOX: usize = 1024;

/// Changes that were heard of elsewhere than on the watch.
#[derive(Debug)]
pub enum Heard {
    /// One change, which may leave a gap before it.
    Change(config::Change),
    /// Every change up to a version.
    Batch {
        /// The changes.
        changes: Vec<config::Change>,
        /// The version up to which nothing is missing.
        through: config::Version,
    },
    /// Whether the platform answers.
    Reachable(bool),
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Tells the task of changes.
    pub heard: mpsc::Sender<Heard>,
    /// The configuration as it changes.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// Whether the platform answered last.
    pub reachable: watch::Receiver<bool>,
}

/// Starts the task.
pub fn start() -> Handle {
    let (heard, mailbox) = mpsc::channel(MAILBOX);
    let publisher = watch::Sender::new(sync::Arc::new(config::Config::default()));
    let reachable = watch::Sender::new(false);
    let handle = Handle {
        heard,
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
    async fn run(mut self, mut mailbox: mpsc::Receiver<Heard>) {
        while let Some(heard) = mailbox.recv().await {
            match heard {
                Heard::Change(change) => self.merge(&change),
                Heard::Batch { changes, through } => {
                    for change in &changes {
                        self.merge(change);
                    }
                    self.config.set_complete(through);
                }
                Heard::Reachable(is_reachable) => {
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

/// A change from an object of the platform.
pub fn change_of(object: client::Object) -> config::Change {
    config::Change {
        name: object.name,
        value: object.value.into(),
        version: object.version,
        removed: object.removed,
    }
}
