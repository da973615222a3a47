//! The task that watches the platform while the instance is elected to.
//!
//! A waiting watch is a counted call, so that only a few instances of each zone have one; the
//! others hear of changes from peers. More try the longer the platform has answered nobody.

use std::time;

use cardamomhold_config::object;
use cardamomhold_fleet::election;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_platform::client::Watch;

use crate::clock;
use crate::config;
use crate::fleet as fleet_task;

/// Pause before a broken watch is started again; doubles each time.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// Longest pause before a broken watch is started again.
const MAX_RETRY: time::Duration = time::Duration::from_secs(2);

/// Time between two checks of who is elected.
const ELECT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two reads that show a watch which has gone silent.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time that peers get to bring the configuration at the start, before the platform is read.
const PEER_WAIT: time::Duration = time::Duration::from_secs(1);

/// Silence after which the platform counts as unreachable.
const REACHABLE: time::Duration = time::Duration::from_secs(15);

/// What the task needs.
#[derive(Debug)]
pub struct Follower<P> {
    /// The platform.
    pub platform: P,
    /// Takes the changes.
    pub config: config::Handle,
    /// Tells who is elected.
    pub fleet: fleet_task::Handle,
    /// This instance.
    pub own: fleet::Instance,
    /// The clock.
    pub clock: clock::Clock,
    /// Whether there are peers that may bring the configuration at the start.
    pub has_seeds: bool,
}

impl<P: Platform> Follower<P> {
    /// Runs until it is aborted.
    pub async fn run(self) {
        self.begin().await;
        let mut retry = RETRY;
        loop {
            if !self.is_elected() {
                self.tell(self.is_heard()).await;
                tokio::time::sleep(ELECT_INTERVAL).await;
                continue;
            }
            match self.watch().await {
                Ok(()) => retry = RETRY,
                Err(error) => {
                    log::warn!("event=platform_lost error={error}");
                    self.tell(false).await;
                    tokio::time::sleep(retry).await;
                    retry = (retry * 2).min(MAX_RETRY);
                }
            }
        }
    }

    /// Gets a first configuration: from peers if there are any, or else from the platform.
    async fn begin(&self) {
        let mut config = self.config.config.clone();
        if self.has_seeds {
            let held = config.wait_for(|c| c.through() > 0);
            // Without an answer the platform is asked.
            let _ = tokio::time::timeout(PEER_WAIT, held).await;
        }
        let mut retry = RETRY;
        while self.config.config.borrow().through() == 0 {
            if self.catch_up().await.is_ok() {
                return;
            }
            let held = config.wait_for(|c| c.through() > 0);
            // Whichever comes first, the peers or the next try.
            let _ = tokio::time::timeout(retry, held).await;
            retry = (retry * 2).min(MAX_RETRY);
        }
    }

    fn is_elected(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.standing.borrow().silence(now);
        let fleet = self.fleet.fleet.borrow().clone();
        election::is_elected(&fleet, &self.own, election::watcher_count(silence))
    }

    fn is_heard(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.standing.borrow().silence(now);
        silence.is_some_and(|s| s < REACHABLE)
    }

    async fn tell(&self, is_reachable: bool) {
        // The configuration's task outlives this one.
        let _ = self
            .config
            .heard
            .send(config::Heard::Reachable(is_reachable))
            .await;
    }

    /// Reads everything after what is held; returns the version reached.
    async fn catch_up(&self) -> Result<u64, client::PlatformError> {
        let since = self.config.config.borrow().through();
        let (objects, through) = self.platform.list(object::PREFIX, since).await?;
        let changes = objects.into_iter().map(config::change_of).collect();
        self.send(config::Heard::Batch { changes, through }).await?;
        self.tell(true).await;
        self.fleet.heard().await;
        Ok(through)
    }

    async fn send(&self, heard: config::Heard) -> Result<(), client::PlatformError> {
        let sent = self.config.heard.send(heard).await;
        sent.map_err(|_| client::PlatformError::Broken)
    }

    /// Watches for as long as the instance is elected.
    async fn watch(&self) -> Result<(), client::PlatformError> {
        let through = self.catch_up().await?;
        let mut watch = self.platform.watch(object::PREFIX, through).await?;
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        let mut elections = tokio::time::interval(ELECT_INTERVAL);
        checks.reset();
        elections.reset();
        loop {
            tokio::select! {
                object = watch.next() => {
                    let change = config::change_of(object?);
                    let through = change.version;
                    let changes = vec![change];
                    self.send(config::Heard::Batch { changes, through }).await?;
                }
                _ = elections.tick() => {
                    if !self.is_elected() {
                        return Ok(());
                    }
                }
                _ = checks.tick() => {
                    self.catch_up().await?;
                }
            }
        }
    }
}
