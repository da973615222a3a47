//! The task that watches the platform while the instance is elected to.
//!
//! A waiting watch is a counted call, so that only a few instances of each zone have one; the
//! others hear of changes from peers. More try the longer the platform has answered nobody.

use std::time;

use cardamomhold_config::object;
use cardamomhold_fleet::elect;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_platform::client::Watch;

use crate::clock;
use crate::config;
use crate::fleet as fleet_task;

/// Pause before a broken watch is started again; doubles each time.
const MIN_RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest pause before a broken watch is started again.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Time between two checks of who is elected.
const ELECT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two reads that show a watch which has gone silent.
const CATCH_UP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time that peers get to bring the configuration at the start, before the platform is read.
const PEER_CONFIG_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Silence after which the platform counts as unreachable.
const MAX_PLATFORM_SILENCE: time::Duration = time::Duration::from_secs(15);

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
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Whether there are peers that may bring the configuration at the start.
    pub has_seeds: bool,
}

impl<P: Platform> Follower<P> {
    /// Runs until it is aborted.
    pub async fn run(self) {
        self.load_initial().await;
        let mut retry = MIN_RETRY_PAUSE;
        loop {
            if !self.is_elected() {
                self.report_reachable(self.is_platform_reachable()).await;
                tokio::time::sleep(ELECT_INTERVAL).await;
                continue;
            }
            match self.watch_platform().await {
                Ok(()) => retry = MIN_RETRY_PAUSE,
                Err(error) => {
                    log::warn!("event=platform_lost error={error}");
                    self.report_reachable(false).await;
                    tokio::time::sleep(retry).await;
                    retry = (retry * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Gets a first configuration: from peers if there are any, or else from the platform.
    async fn load_initial(&self) {
        let mut config = self.config.config.clone();
        if self.has_seeds {
            let loaded = config.wait_for(|c| c.through() > 0);
            // Without an answer the platform is asked.
            let _ = tokio::time::timeout(PEER_CONFIG_TIMEOUT, loaded).await;
        }
        let mut retry = MIN_RETRY_PAUSE;
        while self.config.config.borrow().through() == 0 {
            if self.catch_up().await.is_ok() {
                return;
            }
            let loaded = config.wait_for(|c| c.through() > 0);
            // Whichever comes first, the peers or the next try.
            let _ = tokio::time::timeout(retry, loaded).await;
            retry = (retry * 2).min(MAX_RETRY_PAUSE);
        }
    }

    fn is_elected(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.membership.borrow().platform_silence(now);
        let fleet = self.fleet.fleet.borrow().clone();
        elect::is_elected(&fleet, &self.own, elect::watchers(silence))
    }

    fn is_platform_reachable(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.membership.borrow().platform_silence(now);
        silence.is_some_and(|s| s < MAX_PLATFORM_SILENCE)
    }

    async fn report_reachable(&self, is_reachable: bool) {
        // The configuration's task outlives this one.
        let _ = self
            .config
            .updates
            .send(config::Update::Reachable(is_reachable))
            .await;
    }

    /// Reads everything after what is held; returns the version reached.
    async fn catch_up(&self) -> Result<u64, client::PlatformError> {
        let since = self.config.config.borrow().through();
        let (objects, through) = self.platform.list(object::PREFIX, since).await?;
        let changes = objects.into_iter().map(config::change_of).collect();
        self.send_update(config::Update::Batch { changes, through })
            .await?;
        self.report_reachable(true).await;
        self.fleet.platform_answered().await;
        Ok(through)
    }

    async fn send_update(&self, update: config::Update) -> Result<(), client::PlatformError> {
        let sent = self.config.updates.send(update).await;
        sent.map_err(|_| client::PlatformError::Broken)
    }

    /// Watches for as long as the instance is elected.
    async fn watch_platform(&self) -> Result<(), client::PlatformError> {
        let through = self.catch_up().await?;
        let mut watch = self.platform.watch(object::PREFIX, through).await?;
        let mut checks = tokio::time::interval(CATCH_UP_INTERVAL);
        let mut elections = tokio::time::interval(ELECT_INTERVAL);
        checks.reset();
        elections.reset();
        loop {
            tokio::select! {
                object = watch.next() => {
                    let change = config::change_of(object?);
                    let through = change.version;
                    let changes = vec![change];
                    self.send_update(config::Update::Batch { changes, through }).await?;
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
