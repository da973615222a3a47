//! The task that watches the platform for configuration changes while the instance is elected.
//!
//! An open watch counts as a call to the platform, so only a few instances of each zone have one;
//! the others get changes from peers. The more time has passed since the platform last
//! answered any instance, the more instances are elected.

use std::time;

use cardamomhold_config::object;
use cardamomhold_core::backoff;
use cardamomhold_fleet::election;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_platform::client::Watch;

use crate::clock;
use crate::config;
use crate::fleet as fleet_task;

/// Pauses between attempts to read or watch a platform that fails them.
const RETRY_PAUSES: backoff::Schedule = backoff::Schedule {
    first: time::Duration::from_millis(250),
    max: time::Duration::from_secs(2),
    factor: 2,
    gap: time::Duration::from_secs(5),
};

/// Interval of election checks.
const ELECT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval of reads that detect a watch which silently delivers nothing.
const CATCH_UP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time to wait for a configuration from peers at the start, before reading the platform.
const PEER_CONFIG_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time without an answer to any instance after which the platform counts as unreachable.
const MAX_PLATFORM_SILENCE: time::Duration = time::Duration::from_secs(15);

/// The task's state.
#[derive(Debug)]
pub struct Follower<P> {
    /// The platform.
    pub platform: P,
    /// Handle of the configuration's task, which receives the changes.
    pub config: config::Handle,
    /// Handle of the fleet's task, whose view decides the election.
    pub fleet: fleet_task::Handle,
    /// This instance.
    pub own: fleet::Instance,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Whether there are peers that may provide the configuration at the start.
    pub has_seeds: bool,
}

impl<P: Platform> Follower<P> {
    /// Runs until it is aborted.
    pub async fn run(self) {
        self.load_initial().await;
        let mut backoff = backoff::Backoff::new(RETRY_PAUSES);
        loop {
            if !self.is_elected() {
                self.report_reachable(self.is_platform_reachable()).await;
                tokio::time::sleep(ELECT_INTERVAL).await;
                continue;
            }
            let begun = self.clock.now();
            match self.watch_platform().await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::warn!("event=platform_lost error={error}");
                    self.report_reachable(false).await;
                    let pause = backoff.record_failure(begun);
                    let due = self.clock.instant(begun.after(pause));
                    tokio::time::sleep_until(due).await;
                }
            }
        }
    }

    /// Waits for an initial configuration: from peers if there are any, or else from the platform.
    async fn load_initial(&self) {
        let mut config = self.config.config.clone();
        if self.has_seeds {
            let loaded = config.wait_for(|c| c.through() > 0);
            // After the timeout the platform is read.
            let _ = tokio::time::timeout(PEER_CONFIG_TIMEOUT, loaded).await;
        }
        let mut backoff = backoff::Backoff::new(RETRY_PAUSES);
        while self.config.config.borrow().through() == 0 {
            let begun = self.clock.now();
            if self.catch_up().await.is_ok() {
                return;
            }
            let loaded = config.wait_for(|c| c.through() > 0);
            let pause = backoff.record_failure(begun);
            let due = self.clock.instant(begun.after(pause));
            // Ends early if peers provide a configuration.
            let _ = tokio::time::timeout_at(due, loaded).await;
        }
    }

    fn is_elected(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.membership.borrow().platform_silence(now);
        let fleet = self.fleet.fleet.borrow().clone();
        election::is_elected(&fleet, &self.own, election::watcher_count(silence))
    }

    fn is_platform_reachable(&self) -> bool {
        let now = self.clock.now();
        let silence = self.fleet.membership.borrow().platform_silence(now);
        silence.is_some_and(|s| s < MAX_PLATFORM_SILENCE)
    }

    async fn report_reachable(&self, is_reachable: bool) {
        // The send can't fail: the configuration's task outlives this one.
        let _ = self
            .config
            .updates
            .send(config::Update::Reachable(is_reachable))
            .await;
    }

    /// Reads all changes after the current version; returns the new version.
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

    /// Watches the platform as long as the instance is elected.
    async fn watch_platform(&self) -> Result<(), client::PlatformError> {
        let through = self.catch_up().await?;
        let mut watch = self.platform.watch(object::PREFIX, through).await?;
        let mut catch_ups = tokio::time::interval(CATCH_UP_INTERVAL);
        let mut elections = tokio::time::interval(ELECT_INTERVAL);
        catch_ups.reset();
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
                _ = catch_ups.tick() => {
                    self.catch_up().await?;
                }
            }
        }
    }
}
