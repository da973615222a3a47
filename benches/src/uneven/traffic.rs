//! Arrivals of the replay, and the faults at its times.

use std::time;

use cardamomhold_core::time::Timestamp;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::load;
use crate::uneven::Deployment;
use crate::uneven::KINDS;

/// Length of a replay.
pub const RUN_TIME: time::Duration = time::Duration::from_secs(240);

/// Length of a burst.
const BURST_S: f64 = 8.0;

/// Starts of the bursts, in seconds: alone, with moved clients, with a slow replica, and with
/// lagging ones.
pub const BURSTS_S: [f64; 4] = [20.0, 65.0, 120.0, 190.0];

/// Load in a burst as a multiple of the usual one.
const BURST_FACTOR: f64 = 3.0;

/// When half of the clients of the first zone use the second one, in seconds.
const MOVED_S: (f64, f64) = (60.0, 100.0);

/// When the first replica is five times slower, in seconds.
const SLOW_S: (f64, f64) = (110.0, 150.0);

/// Factor of its service times.
pub const SLOW_FACTOR: u32 = 5;

/// When the first replica lags by [`LONG_LAG`], in seconds.
const LAGGING_S: (f64, f64) = (170.0, 220.0);

/// Usual replication delay.
pub const SHORT_LAG: time::Duration = time::Duration::from_millis(50);

/// Long replication delay.
pub const LONG_LAG: time::Duration = time::Duration::from_millis(300);

/// Mean service time of light statements, in milliseconds.
const LIGHT_MS: f64 = 9.0;

/// Mean service time of most heavy statements, in milliseconds.
const HEAVY_MS: f64 = 28.0;

/// Part of the heavy statements that belong to the tail.
const TAIL_PART: f64 = 0.05;

/// Service times of the tail, in milliseconds.
const TAIL_MS: (f64, f64) = (320.0, 500.0);

/// An operation of a client.
#[derive(Debug, Clone, Copy)]
pub struct Operation {
    /// Index of its kind.
    pub kind: usize,
    /// The instance that receives it.
    pub instance: usize,
    /// Index of its workspace.
    pub caller: usize,
    /// When it arrives there.
    pub at: Timestamp,
    /// Its time at an idle, healthy member.
    pub service: time::Duration,
}

/// Index of the burst at this time.
pub fn burst(now: Timestamp) -> Option<usize> {
    let seconds = now.0 as f64 / 1e6;
    let is_within = |b: &f64| (*b..*b + BURST_S).contains(&seconds);
    BURSTS_S.iter().position(is_within)
}

/// Whether the first replica is slow.
pub fn is_slow(now: Timestamp) -> bool {
    is_within(now, SLOW_S)
}

/// Whether the first replica lags.
pub fn is_lagging(now: Timestamp) -> bool {
    is_within(now, LAGGING_S)
}

fn is_within(now: Timestamp, (from, until): (f64, f64)) -> bool {
    (from..until).contains(&(now.0 as f64 / 1e6))
}

/// Generates the operations of a replay, in the order of their arrival.
pub fn generate(deployment: &Deployment, seed: u64) -> Vec<Operation> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut operations = Vec::new();
    let mut seconds = 0.0;
    loop {
        let now = Timestamp((seconds * 1e6) as u64);
        let factor = match deployment.is_uneven && burst(now).is_some() {
            true => BURST_FACTOR,
            false => 1.0,
        };
        seconds += load::exponential(&mut rng) / (deployment.per_second * factor);
        if seconds >= RUN_TIME.as_secs_f64() {
            return operations;
        }
        let at = Timestamp((seconds * 1e6) as u64);
        let mut instance = rng.random_range(0..deployment.instances);
        let is_moved = deployment.is_uneven && is_within(at, MOVED_S) && rng.random_bool(0.5);
        if is_moved && instance % deployment.zones == 0 {
            instance += 1;
        }
        let kind = kind(&mut rng);
        operations.push(Operation {
            kind,
            instance: instance % deployment.instances,
            caller: workspace(&mut rng, deployment.workspaces),
            at,
            service: service(&mut rng, KINDS[kind].is_heavy),
        });
    }
}

/// A workspace: those of low index are much larger than the others.
fn workspace(rng: &mut rand_pcg::Pcg64Mcg, count: usize) -> usize {
    if count == 1 {
        return 0;
    }
    let uniform: f64 = rng.random();
    (uniform.powi(3) * count as f64) as usize
}

fn kind(rng: &mut rand_pcg::Pcg64Mcg) -> usize {
    let mut left = rng.random_range(0..100u32);
    for (index, kind) in KINDS.iter().enumerate() {
        if left < kind.percent {
            return index;
        }
        left -= kind.percent;
    }
    0
}

fn service(rng: &mut rand_pcg::Pcg64Mcg, is_heavy: bool) -> time::Duration {
    let ms = match is_heavy {
        true if rng.random_bool(TAIL_PART) => rng.random_range(TAIL_MS.0..TAIL_MS.1),
        true => HEAVY_MS * load::exponential(rng),
        false => LIGHT_MS * load::exponential(rng),
    };
    time::Duration::from_secs_f64(ms.max(0.5) / 1e3)
}
