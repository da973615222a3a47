//! The gap in writes at a change of primary, in virtual time, by the deciding code itself.
//!
//! Sizes are Kalkvagn's: three zones 1 ms apart, 10 ms to open a connection.

use std::time;

use rand::SeedableRng;

mod act;
mod world;

/// Trials of each fault, with the faults at different moments.
const TRIALS: usize = 200;

/// The fixed timeout that the gap is set beside.
const FIXED_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// What happens to the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Its process dies: connections are refused.
    Killed,
    /// Its zone goes silent: nothing is answered.
    Partitioned,
    /// Operators order another primary.
    SwitchedOver,
}

impl Fault {
    /// The greatest accepted gap.
    pub fn bound(self) -> time::Duration {
        time::Duration::from_millis(match self {
            Self::Killed => 1_000,
            Self::Partitioned => 2_500,
            Self::SwitchedOver => 300,
        })
    }
}

/// The gaps of one fault's trials, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Gap {
    /// The fault.
    pub fault: Fault,
    /// Trials.
    pub trials: usize,
    /// Median gap.
    pub median_ms: u64,
    /// Longest gap.
    pub longest_ms: u64,
    /// Longest time until the change began.
    pub detect_ms: u64,
    /// Longest gap with a fixed timeout in place of the detection.
    pub baseline_ms: u64,
    /// Greatest accepted gap.
    pub bound_ms: u64,
}

impl Gap {
    /// Whether every trial stayed within the bound.
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
        let (gap, begun) = world::trial(fault, rng);
        gaps.push(gap);
        detect = detect.max(begun);
        if fault != Fault::SwitchedOver {
            let fixed = FIXED_TIMEOUT.as_millis() as u64;
            baseline = baseline.max(gap.saturating_sub(begun) + fixed);
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
