//! The breaker of an endpoint: when it gets no work because it does not answer.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Number of slices of the sliding window.
const SLICES: u64 = 10;

/// Time after which a probe without an answer no longer keeps the next one back.
const PROBE_PATIENCE: time::Duration = time::Duration::from_secs(1);

/// When a closed breaker opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trip {
    /// Never.
    Never,
    /// After that many failures in a row.
    InARow {
        /// Failures in a row.
        failures: u32,
    },
    /// When the failed part of the calls in a sliding window is too great.
    Ratio {
        /// Length of the window.
        window: time::Duration,
        /// Failed part, in percent.
        percent: u32,
        /// Fewest calls that say anything.
        least: u32,
    },
}

/// Whether work may go to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may.
    Pass,
    /// One job may, to probe the endpoint.
    Probe,
    /// None may.
    Shut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Timestamp },
    Probing { since: Timestamp },
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    at: u64,
    answered: u32,
    failed: u32,
}

/// The breaker of an endpoint.
#[derive(Debug)]
pub struct Breaker {
    trip: Trip,
    pause: time::Duration,
    state: State,
    in_a_row: u32,
    slices: [Slice; SLICES as usize],
}

impl Breaker {
    /// A closed breaker that stays open for `pause` before each probe.
    pub fn new(trip: Trip, pause: time::Duration) -> Self {
        Self {
            trip,
            pause,
            state: State::Closed,
            in_a_row: 0,
            slices: Default::default(),
        }
    }

    /// Whether work may go to the endpoint now.
    pub fn gate(&self, now: Timestamp) -> Gate {
        match self.state {
            State::Closed => Gate::Pass,
            State::Open { until } if now >= until => Gate::Probe,
            State::Probing { since } if now >= since.after(PROBE_PATIENCE) => Gate::Probe,
            State::Open { .. } | State::Probing { .. } => Gate::Shut,
        }
    }

    /// Takes note that the probe has started.
    pub fn probe(&mut self, now: Timestamp) {
        self.state = State::Probing { since: now };
    }

    /// Takes note that the probe ended without asking the endpoint; another may go.
    pub fn abandon(&mut self, now: Timestamp) {
        self.state = State::Open { until: now };
    }

    /// Takes note of a job's end.
    pub fn record(&mut self, now: Timestamp, is_answered: bool, is_probe: bool) {
        match self.state {
            State::Closed => self.count(now, is_answered),
            State::Probing { .. } if is_probe && is_answered => self.close(),
            State::Probing { .. } if is_probe => self.open(now),
            // Jobs from before the breaker opened say nothing new.
            State::Open { .. } | State::Probing { .. } => {}
        }
    }

    fn count(&mut self, now: Timestamp, is_answered: bool) {
        self.in_a_row = if is_answered { 0 } else { self.in_a_row + 1 };
        let is_over = match self.trip {
            Trip::Never => false,
            Trip::InARow { failures } => self.in_a_row >= failures,
            Trip::Ratio {
                window,
                percent,
                least,
            } => {
                let (answered, failed) = self.slide(now, window, is_answered);
                let calls = answered + failed;
                !is_answered && calls >= least && failed * 100 >= calls * percent
            }
        };
        if is_over {
            self.open(now);
        }
    }

    fn slide(&mut self, now: Timestamp, window: time::Duration, is_answered: bool) -> (u32, u32) {
        let width = (window.as_micros() as u64 / SLICES).max(1);
        let at = now.0 / width;
        let slice = &mut self.slices[(at % SLICES) as usize];
        if slice.at != at {
            *slice = Slice {
                at,
                ..Slice::default()
            };
        }
        if is_answered {
            slice.answered += 1;
        } else {
            slice.failed += 1;
        }
        let mut sum = (0, 0);
        for slice in &self.slices {
            if slice.at + SLICES <= at {
                continue;
            }
            sum.0 += slice.answered;
            sum.1 += slice.failed;
        }
        sum
    }

    fn open(&mut self, now: Timestamp) {
        let until = now.after(self.pause);
        self.state = State::Open { until };
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.in_a_row = 0;
        self.slices = Default::default();
    }
}
