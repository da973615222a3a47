//! Adaptive concurrency limit: finds by trial how many jobs an endpoint can run at once.
//!
//! More concurrent jobs raise the throughput only while the endpoint has free slots. From
//! time to time the limit tries a higher or lower value for a while, and keeps it depending
//! on the measured throughput.

use std::time;

/// Samples per measurement.
const MEASUREMENT_SAMPLES: u32 = 128;

/// Samples per trial of a higher limit; more than otherwise, as such a trial costs little.
const INCREASE_TRIAL_SAMPLES: u32 = 2 * MEASUREMENT_SAMPLES;

/// Measurements at the current limit before each trial.
const HOLD_MEASUREMENTS: u32 = 4;

/// Maximum factor by which unsuccessful trials delay the next one.
const MAX_DELAY_FACTOR: u32 = 32;

/// The endpoint has changed if the throughput falls below this part of the known one.
const CHANGED_ENDPOINT_RATIO: f64 = 0.7;

/// The step of a trial is the limit divided by this, and at least one.
const STEP_DIVISOR: usize = 4;

/// A higher limit is kept if it brings at least this part of the proportional gain.
const MIN_GAIN_RATIO: f64 = 0.6;

/// A lower limit is kept if it costs at most this part of the proportional loss.
const MAX_LOSS_RATIO: f64 = 0.3;

/// Maximum weight of the past in the mean service time of a rank, in samples.
const MEAN_SAMPLES: f64 = 1024.0;

/// Mean service time of a rank, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    samples: f64,
    mean: f64,
}

impl MeanTime {
    /// Adds a sample and returns the new mean.
    fn update(&mut self, took: f64) -> f64 {
        self.samples = (self.samples + 1.0).min(MEAN_SAMPLES);
        self.mean += (took - self.mean) / self.samples;
        self.mean
    }
}

/// Purpose of the current measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Hold,
    Trial(Direction),
}

/// Direction of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// Schedule of the trials in one direction.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// Measurements at the current limit since the last trial.
    holds: u32,
    /// Factor by which the next trial is delayed.
    delay: u32,
}

/// Initial schedules of both directions. Trials of a lower limit start late because they
/// cost throughput.
const INITIAL_SCHEDULES: [Schedule; 2] = [
    Schedule { holds: 0, delay: 1 },
    Schedule {
        holds: 0,
        delay: MAX_DELAY_FACTOR,
    },
];

/// Limit of the number of concurrent jobs.
#[derive(Debug)]
pub struct Limit {
    /// The accepted limit.
    accepted: usize,
    /// The limit in force; differs from `accepted` during a trial.
    active: usize,
    max: usize,
    phase: Phase,
    /// Number of measurements averaged in `throughput`.
    holds: u32,
    schedules: [Schedule; 2],
    throughput: f64,
    /// Samples of the current measurement.
    samples: u32,
    /// Sum of the current samples, each relative to the mean service time of its rank.
    relative_time: f64,
    mean_times: [MeanTime; 3],
}

impl Limit {
    /// Creates a limit that starts at `initial` and never exceeds `max`.
    pub fn new(initial: usize, max: usize) -> Self {
        let max = max.max(1);
        let accepted = initial.clamp(1, max);
        Self {
            accepted,
            active: accepted,
            max,
            phase: Phase::Hold,
            holds: 0,
            schedules: INITIAL_SCHEDULES,
            throughput: 0.0,
            samples: 0,
            relative_time: 0.0,
            mean_times: Default::default(),
        }
    }

    /// Number of jobs that may run at once now.
    pub fn get(&self) -> usize {
        self.active
    }

    /// Sets a new maximum.
    pub fn set_max(&mut self, max: usize) {
        self.max = max.max(1);
        self.accepted = self.accepted.min(self.max);
        self.active = self.active.min(self.max);
    }

    /// Records the service time of a job that ran while the limit was reached.
    pub fn record(&mut self, rank: usize, took: time::Duration) {
        let took = took.as_micros().max(1) as f64;
        self.samples += 1;
        self.relative_time += took / self.mean_times[rank].update(took);
        let required = match self.phase {
            Phase::Trial(Direction::Up) => INCREASE_TRIAL_SAMPLES,
            Phase::Hold | Phase::Trial(Direction::Down) => MEASUREMENT_SAMPLES,
        };
        if self.samples < required {
            return;
        }
        let throughput = self.active as f64 * f64::from(self.samples) / self.relative_time;
        self.samples = 0;
        self.relative_time = 0.0;
        self.evaluate(throughput);
    }

    /// Handles a finished measurement; ends a running trial.
    fn evaluate(&mut self, throughput: f64) {
        let Phase::Trial(direction) = self.phase else {
            self.hold(throughput);
            return;
        };
        let ratio = throughput / self.throughput;
        let is_better = match direction {
            Direction::Up => {
                let proportional = self.active as f64 / self.accepted as f64 - 1.0;
                ratio >= 1.0 + proportional * MIN_GAIN_RATIO
            }
            Direction::Down => {
                let proportional = self.accepted as f64 / self.active as f64 - 1.0;
                ratio * (1.0 + proportional * MAX_LOSS_RATIO) >= 1.0
            }
        };
        let schedule = &mut self.schedules[direction as usize];
        schedule.holds = 0;
        if is_better {
            self.accepted = self.active;
            for schedule in &mut self.schedules {
                schedule.delay = 1;
            }
        } else {
            schedule.delay = (schedule.delay * 2).min(MAX_DELAY_FACTOR);
        }
        self.active = self.accepted;
        self.phase = Phase::Hold;
        self.holds = 0;
    }

    /// Handles a measurement at the accepted limit; starts a trial if one is due.
    fn hold(&mut self, throughput: f64) {
        if throughput < self.throughput * CHANGED_ENDPOINT_RATIO {
            // Earlier measurements no longer describe the endpoint.
            self.holds = 0;
            self.schedules[Direction::Down as usize].delay = 1;
        }
        let known = if self.holds == 0 {
            throughput
        } else {
            self.throughput
        };
        self.holds = (self.holds + 1).min(HOLD_MEASUREMENTS);
        self.throughput = known + (throughput - known) / f64::from(self.holds);
        for direction in [Direction::Down, Direction::Up] {
            let schedule = &mut self.schedules[direction as usize];
            schedule.holds += 1;
            let is_due = schedule.holds >= HOLD_MEASUREMENTS * schedule.delay
                && self.holds >= HOLD_MEASUREMENTS;
            if is_due && self.phase == Phase::Hold {
                self.start_trial(direction);
            }
        }
    }

    fn start_trial(&mut self, direction: Direction) {
        let step = (self.accepted / STEP_DIVISOR).max(1);
        let active = match direction {
            Direction::Up => (self.accepted + step).min(self.max),
            Direction::Down => self.accepted.saturating_sub(step).max(1),
        };
        if active != self.accepted {
            self.active = active;
            self.phase = Phase::Trial(direction);
        }
    }
}
