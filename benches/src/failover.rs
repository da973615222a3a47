//! Measures the gap in writes at a change of primary in virtual time, with the product's own
//! failover code.
//!
//! Sizes are Kalkvagn's: three zones 1 ms apart, 10 ms to open a connection.

use std::time;

use rand::SeedableRng;

mod schedule;
mod simulation;

/// Number of trials of each fault; each trial injects the fault at another time.
const TRIALS: usize = 200;

/// Failure detection timeout of the baseline.
const FIXED_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Fault of the primary, or an operator's order to change it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The process ends: connections are refused.
    Killed,
    /// The zone is partitioned: requests are not answered.
    Partitioned,
    /// An operator requests a switchover to another primary.
    SwitchedOver,
}

impl Fault {
    /// Returns the maximum accepted gap.
    pub fn bound(self) -> time::Duration {
        time::Duration::from_millis(match self {
            Self::Killed => 1_000,
            Self::Partitioned => 2_500,
            Self::SwitchedOver => 300,
        })
    }
}

/// Gaps of the trials of one fault, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Gap {
    /// The fault.
    pub fault: Fault,
    /// Number of trials.
    pub trials: usize,
    /// Median gap.
    pub median_ms: u64,
    /// Maximum gap.
    pub longest_ms: u64,
    /// Maximum time until the change of primary started.
    pub detect_ms: u64,
    /// Maximum gap with a fixed timeout instead of failure detection.
    pub baseline_ms: u64,
    /// Maximum accepted gap.
    pub bound_ms: u64,
}

impl Gap {
    /// Returns whether the gaps of all trials are within the bound.
    pub fn is_within(&self) -> bool {
        self.longest_ms <= self.bound_ms
    }
}

/// Measures the gap of each fault.
pub fn run(seed: u64) -> Vec<Gap> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let faults = [Fault::Killed, Fault::Partitioned, Fault::SwitchedOver];
    faults.map(|fault| measure(fault, &mut rng)).to_vec()
}

fn measure(fault: Fault, rng: &mut rand_pcg::Pcg64Mcg) -> Gap {
    let mut gaps = Vec::new();
    let mut detect = 0;
    let mut baseline = 0;
    for _ in 0..TRIALS {
        let (gap, detection) = simulation::run(fault, rng);
        gaps.push(gap);
        detect = detect.max(detection);
        if fault != Fault::SwitchedOver {
            let timeout = FIXED_TIMEOUT.as_millis() as u64;
            baseline = baseline.max(gap.saturating_sub(detection) + timeout);
        }
    }
    gaps.sort_unstable();
    Gap {
        fault,
        trials: TRIALS,
        median_ms: gaps[TRIALS / 2],
        longest_ms: gaps[TRIALS - 1],
        detect_ms: detect,
        baseline_ms: baseline,
        bound_ms: fault.bound().as_millis() as u64,
    }
}
