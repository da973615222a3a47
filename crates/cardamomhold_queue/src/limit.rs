//! Adaptive concurrency limit: finds by trial how many jobs an endpoint can run at once.
//!
//! More concurrent jobs raise the throughput only while the endpoint has free slots. From
//! time to time the limit tries a higher or lower value for a while, and keeps it depending
//! on the measured throughput.

use std::time;

/// Samples per measurement.
const MEASUREMENT_SAMPLES: u32 = 128;

/// Samples per trial of a higher limit; more than for other measurements, since such a trial
/// costs little.
const INCREASE_TRIAL_SAMPLES: u32 = 2 * MEASUREMENT_SAMPLES;

/// Measurements at the current limit before each trial.
const HOLD_MEASUREMENTS: u32 = 4;

/// Maximum factor by which unsuccessful trials delay the next one.
const MAX_DELAY_FACTOR: u32 = 32;

/// The endpoint counts as changed if the throughput falls below this part of the mean.
const CHANGED_ENDPOINT_RATIO: f64 = 0.7;

/// The step of a trial is the limit divided by this, and at least one.
const STEP_DIVISOR: usize = 4;

/// A higher limit is kept if the throughput grows by at least this part of the relative increase
/// of the limit.
const MIN_GAIN_RATIO: f64 = 0.6;

/// A lower limit is kept if the throughput at the accepted limit is higher by at most this part
/// of the relative difference of the limits.
const MAX_LOSS_RATIO: f64 = 0.3;

/// Number of samples from which the mean service time of a rank is a moving average; each
/// further sample then has the weight `1.0 / MEAN_SAMPLES`.
const MEAN_SAMPLES: f64 = 1024.0;

/// Mean service time of a rank, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    samples: f64,
    mean: f64,
}

impl MeanTime {
    /// Adds a sample and returns the new mean.
    fn update(&mut self, sample: f64) -> f64 {
        self.samples = (self.samples + 1.0).min(MEAN_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
        self.mean
    }
}

/// Purpose of the current measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Measures the throughput at the accepted limit.
    Hold,
    /// Measures the throughput at a higher or lower limit.
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
    /// Measurements at the accepted limit since the last trial.
    measurements: u32,
    /// Factor by which the next trial is delayed.
    delay: u32,
}

/// Initial schedules of both directions. Trials of a lower limit start late because they
/// cost throughput.
const INITIAL_SCHEDULES: [Schedule; 2] = [
    Schedule {
        measurements: 0,
        delay: 1,
    },
    Schedule {
        measurements: 0,
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
    measurements: u32,
    /// Schedules of the trials, by [`Direction`].
    schedules: [Schedule; 2],
    /// Mean throughput at the accepted limit, in jobs per mean service time.
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
            measurements: 0,
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
    pub fn record(&mut self, rank: usize, service_time: time::Duration) {
        let service_us = service_time.as_micros().max(1) as f64;
        self.samples += 1;
        self.relative_time += service_us / self.mean_times[rank].update(service_us);
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
            self.evaluate_accepted(throughput);
            return;
        };
        let ratio = throughput / self.throughput;
        let is_kept = match direction {
            Direction::Up => {
                let relative_step = self.active as f64 / self.accepted as f64 - 1.0;
                ratio >= 1.0 + relative_step * MIN_GAIN_RATIO
            }
            Direction::Down => {
                let relative_step = self.accepted as f64 / self.active as f64 - 1.0;
                ratio * (1.0 + relative_step * MAX_LOSS_RATIO) >= 1.0
            }
        };
        let schedule = &mut self.schedules[direction as usize];
        schedule.measurements = 0;
        if is_kept {
            self.accepted = self.active;
            for schedule in &mut self.schedules {
                schedule.delay = 1;
            }
        } else {
            schedule.delay = (schedule.delay * 2).min(MAX_DELAY_FACTOR);
        }
        self.active = self.accepted;
        self.phase = Phase::Hold;
        self.measurements = 0;
    }

    /// Handles a measurement at the accepted limit; starts a trial if one is due.
    fn evaluate_accepted(&mut self, throughput: f64) {
        if throughput < self.throughput * CHANGED_ENDPOINT_RATIO {
            // Earlier measurements no longer describe the endpoint.
            self.measurements = 0;
            self.schedules[Direction::Down as usize].delay = 1;
        }
        let mean = if self.measurements == 0 {
            throughput
        } else {
            self.throughput
        };
        self.measurements = (self.measurements + 1).min(HOLD_MEASUREMENTS);
        self.throughput = mean + (throughput - mean) / f64::from(self.measurements);
        for direction in [Direction::Down, Direction::Up] {
            let schedule = &mut self.schedules[direction as usize];
            schedule.measurements += 1;
            let is_due = schedule.measurements >= HOLD_MEASUREMENTS * schedule.delay
                && self.measurements >= HOLD_MEASUREMENTS;
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
