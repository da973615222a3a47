//! The number of jobs that an endpoint works on at once, found by trial.
//!
//! Twice the jobs in flight do twice the work only while the endpoint has free slots.
//! So the limit tries a neighbouring value for a while now and then, and keeps it when
//! the endpoint's measured throughput says so.

use std::time;

/// Samples that make one measurement.
const SAMPLES: u32 = 128;

/// Measurements at the present limit between two trials.
const HOLD: u32 = 8;

/// A step is this part of the limit, and at least one.
const STEP_DIVISOR: usize = 4;

/// Part of the gain that a greater limit promises and that must be seen.
const LEAST_GAIN: f64 = 0.5;

/// Weight of a measurement in a rank's usual service time.
const USUAL_WEIGHT: f64 = 1.0 / 256.0;

/// What a measurement is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Hold,
    TryMore,
    TryLess,
}

/// The limit of jobs in flight.
#[derive(Debug)]
pub struct Limit {
    kept: usize,
    tried: usize,
    most: usize,
    phase: Phase,
    holds: u32,
    goes_up: bool,
    speed: f64,
    samples: u32,
    slowness: f64,
    usual_us: [Option<f64>; 3],
}

impl Limit {
    /// Starts at `first` and never exceeds `most`.
    pub fn new(first: usize, most: usize) -> Self {
        let most = most.max(1);
        let kept = first.clamp(1, most);
        Self {
            kept,
            tried: kept,
            most,
            phase: Phase::Hold,
            holds: 0,
            goes_up: true,
            speed: 0.0,
            samples: 0,
            slowness: 0.0,
            usual_us: [None; 3],
        }
    }

    /// Jobs that may be in flight now.
    pub fn get(&self) -> usize {
        self.tried
    }

    /// Takes a new bound.
    pub fn bound(&mut self, most: usize) {
        self.most = most.max(1);
        self.kept = self.kept.min(self.most);
        self.tried = self.tried.min(self.most);
    }

    /// Takes note of a job's service time, measured while every place was taken.
    pub fn sample(&mut self, rank: usize, took: time::Duration) {
        let took = took.as_micros().max(1) as f64;
        let usual = self.usual_us[rank].unwrap_or(took);
        self.usual_us[rank] = Some(usual + (took - usual) * USUAL_WEIGHT);
        self.samples += 1;
        self.slowness += took / usual;
        if self.samples < SAMPLES {
            return;
        }
        let speed = self.tried as f64 * f64::from(self.samples) / self.slowness;
        self.samples = 0;
        self.slowness = 0.0;
        self.judge(speed);
    }

    fn judge(&mut self, speed: f64) {
        let ratio = speed / self.speed;
        match self.phase {
            Phase::Hold => {
                self.hold(speed);
                return;
            }
            Phase::TryMore => {
                let promised = self.tried as f64 / self.kept as f64 - 1.0;
                if ratio >= 1.0 + promised * LEAST_GAIN {
                    self.kept = self.tried;
                }
            }
            Phase::TryLess => {
                let promised = self.kept as f64 / self.tried as f64 - 1.0;
                if ratio * (1.0 + promised * LEAST_GAIN) >= 1.0 {
                    self.kept = self.tried;
                }
            }
        }
        self.tried = self.kept;
        self.phase = Phase::Hold;
        self.holds = 0;
    }

    fn hold(&mut self, speed: f64) {
        let known = if self.holds == 0 { speed } else { self.speed };
        self.holds += 1;
        self.speed = known + (speed - known) / f64::from(self.holds);
        if self.holds < HOLD {
            return;
        }
        let step = (self.kept / STEP_DIVISOR).max(1);
        if self.goes_up {
            self.tried = (self.kept + step).min(self.most);
            self.phase = Phase::TryMore;
        } else {
            self.tried = self.kept.saturating_sub(step).max(1);
            self.phase = Phase::TryLess;
        }
        self.goes_up = !self.goes_up;
        if self.tried == self.kept {
            self.phase = Phase::Hold;
            self.holds = 0;
        }
    }
}
