//! How long the daemon waits before it restarts a broken watch of the platform.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_daemon::clock;
use cardamomhold_daemon::config;
use cardamomhold_daemon::fleet as fleet_task;
use cardamomhold_daemon::follow;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::PlatformError;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// How long the watches last, one after the other; further ones last forever.
const LIVES: [time::Duration; 7] = [
    time::Duration::ZERO,
    time::Duration::ZERO,
    time::Duration::ZERO,
    time::Duration::ZERO,
    time::Duration::ZERO,
    time::Duration::from_secs(60),
    time::Duration::ZERO,
];

/// A platform that answers each read and breaks the watches.
#[derive(Debug, Clone)]
struct BreakingPlatform {
    /// Receives the time at which each watch is begun.
    begun: mpsc::UnboundedSender<tokio::time::Instant>,
    count: sync::Arc<sync::atomic::AtomicUsize>,
}

struct BreakingWatch {
    /// None if it lasts forever.
    end: Option<tokio::time::Instant>,
}

impl client::Watch for BreakingWatch {
    async fn next(&mut self) -> Result<client::Object, PlatformError> {
        match self.end {
            Some(end) => tokio::time::sleep_until(end).await,
            None => std::future::pending().await,
        }
        Err(PlatformError::Broken)
    }
}

impl client::Platform for BreakingPlatform {
    type Watch = BreakingWatch;

    async fn list(&self, _: &str, _: u64) -> Result<(Vec<client::Object>, u64), PlatformError> {
        Ok((Vec::new(), 1))
    }

    async fn get(&self, _: &str) -> Result<client::Object, PlatformError> {
        Err(PlatformError::Refused)
    }

    async fn put(
        &self,
        _: &str,
        _: Option<&[u8]>,
        _: u64,
    ) -> Result<client::PutOutcome, PlatformError> {
        Err(PlatformError::Refused)
    }

    async fn watch(&self, _: &str, _: u64) -> Result<BreakingWatch, PlatformError> {
        let now = tokio::time::Instant::now();
        self.begun.send(now).unwrap();
        let number = self.count.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let end = LIVES.get(number).map(|life| now + *life);
        Ok(BreakingWatch { end })
    }

    async fn instances(&self) -> Result<Vec<client::Instance>, PlatformError> {
        Ok(Vec::new())
    }
}

fn own() -> fleet::Instance {
    fleet::Instance {
        name: name::InstanceName::parse("entry-a").unwrap(),
        zone: name::ZoneName::parse("a").unwrap(),
        address: "127.0.0.1:1".to_owned(),
        state: fleet::InstanceState::Alive,
    }
}

/// When each watch of a platform that breaks those of [`LIVES`] is begun.
async fn watch_starts() -> Vec<tokio::time::Instant> {
    let (begun, mut starts) = mpsc::unbounded_channel();
    let (_fleet, fleet) = watch::channel(sync::Arc::new(fleet::Fleet::default()));
    let (_membership, membership) = watch::channel(fleet_task::Membership::default());
    let (requests, mut answered) = mpsc::channel(1);
    tokio::spawn(async move { while answered.recv().await.is_some() {} });
    let follower = follow::Follower {
        platform: BreakingPlatform {
            begun,
            count: sync::Arc::default(),
        },
        config: config::start(),
        fleet: fleet_task::Handle {
            fleet,
            membership,
            requests,
        },
        own: own(),
        clock: clock::Clock::start(),
        has_seeds: false,
    };
    let task = tokio::spawn(follower.run());
    let mut times = Vec::new();
    while times.len() <= LIVES.len() {
        times.extend(starts.recv().await);
    }
    task.abort();
    times
}

/// Watches that broke long ago delay no later one. Guards against a configuration that is late by the
/// longest pause because the platform had broken some watches much earlier.
#[tokio::test(start_paused = true)]
async fn earlier_breaks_are_forgotten() {
    let times = watch_starts().await;
    let pauses: Vec<_> = times.windows(2).map(|w| w[1] - w[0]).collect();
    // The pauses grow while the watches break at once.
    assert!(pauses[4] >= time::Duration::from_secs(2), "{pauses:?}");
    let after_life = pauses[5] - LIVES[5];
    assert!(after_life <= time::Duration::from_millis(250), "{pauses:?}");
    assert!(pauses[6] <= time::Duration::from_millis(300), "{pauses:?}");
}
