//! The task that owns the configuration: it watches the platform and publishes every change.

use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_platform::client::Watch;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Pause before a broken watch is started again.
const RETRY: time::Duration = time::Duration::from_millis(250);

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

/// Starts the task and the watch that feeds it.
pub fn start<P: Platform>(platform: P) -> Handle {
    let (heard, mailbox) = mpsc::channel(MAILBOX);
    let publisher = watch::Sender::new(sync::Arc::new(config::Config::default()));
    let reachable = watch::Sender::new(false);
    let handle = Handle {
        heard: heard.clone(),
        config: publisher.subscribe(),
        reachable: reachable.subscribe(),
    };
    let task = Task {
        config: config::Config::default(),
        publisher,
        reachable,
    };
    tokio::spawn(task.run(mailbox));
    tokio::spawn(follow(platform, handle.clone()));
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
                    self.config.complete(through);
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
            config::Merged::Known => {}
            config::Merged::NotUnderstood => {
                log::warn!(
                    "event=config_not_understood name={} version={}",
                    change.name,
                    change.version
                );
            }
        }
    }
}

/// Follows the platform for as long as the task lives.
async fn follow<P: Platform>(platform: P, handle: Handle) {
    loop {
        if let Err(error) = follow_once(&platform, &handle).await {
            log::warn!("event=platform_lost error={error}");
        }
        if handle.heard.send(Heard::Reachable(false)).await.is_err() {
            return;
        }
        tokio::time::sleep(RETRY).await;
    }
}

async fn follow_once<P: Platform>(
    platform: &P,
    handle: &Handle,
) -> Result<(), client::PlatformError> {
    let since = handle.config.borrow().through();
    let (objects, through) = platform.list(object::PREFIX, since).await?;
    let changes = objects.into_iter().map(change_of).collect();
    let ended = |_| client::PlatformError::Broken;
    handle
        .heard
        .send(Heard::Batch { changes, through })
        .await
        .map_err(ended)?;
    handle
        .heard
        .send(Heard::Reachable(true))
        .await
        .map_err(ended)?;
    let mut watch = platform.watch(object::PREFIX, through).await?;
    loop {
        let change = change_of(watch.next().await?);
        let through = change.version;
        let heard = Heard::Batch {
            changes: vec![change],
            through,
        };
        handle.heard.send(heard).await.map_err(ended)?;
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
