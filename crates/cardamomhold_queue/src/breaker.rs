//! Circuit breaker of an endpoint: keeps jobs from an endpoint that doesn't answer.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Number of slices of the sliding window.
const WINDOW_SLICES: u64 = 10;

/// Time after which another probe may start although the last one has no answer yet.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Condition that opens a closed breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trip {
    /// The breaker never opens.
    Never,
    /// The breaker opens after a number of consecutive failures.
    Consecutive {
        /// Number of consecutive failures.
        failures: u32,
    },
    /// The breaker opens when too large a part of the calls in a sliding window failed.
    Ratio {
        /// Length of the window.
        window: time::Duration,
        /// Failed part of the calls that opens the breaker, in percent.
        percent: u32,
        /// Minimum number of calls in the window; with fewer the breaker stays closed.
        min_calls: u32,
    },
}

/// Which jobs may be sent to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// All jobs.
    All,
    /// One job, as a probe.
    Probe,
    /// No jobs.
    None,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Timestamp },
    Probing { since: Timestamp },
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    answered: u32,
    failed: u32,
}

/// The circuit breaker of an endpoint.
#[derive(Debug)]
pub struct Breaker {
    trip: Trip,
    open_time: time::Duration,
    state: State,
    consecutive_failures: u32,
    slices: [Slice; WINDOW_SLICES as usize],
}

impl Breaker {
    /// Creates a closed breaker that stays open for `open_time` before each probe.
    pub fn new(trip: Trip, open_time: time::Duration) -> Self {
        Self {
            trip,
            open_time,
            state: State::Closed,
            consecutive_failures: 0,
            slices: Default::default(),
        }
    }

    /// Which jobs may be sent to the endpoint now.
    pub fn admission(&self, now: Timestamp) -> Admission {
        match self.state {
            State::Closed => Admission::All,
            State::Open { until } if now >= until => Admission::Probe,
            State::Probing { since } if now >= since.after(PROBE_TIMEOUT) => Admission::Probe,
            State::Open { .. } | State::Probing { .. } => Admission::None,
        }
    }

    /// Records the start of a probe.
    pub fn start_probe(&mut self, now: Timestamp) {
        self.state = State::Probing { since: now };
    }

    /// Records that a probe ended before it reached the endpoint; another may start at once.
    pub fn cancel_probe(&mut self, now: Timestamp) {
        self.state = State::Open { until: now };
    }

    /// Records the end of a job.
    pub fn record(&mut self, now: Timestamp, is_answered: bool, is_probe: bool) {
        match self.state {
            State::Closed => self.count(now, is_answered),
            State::Probing { .. } if is_probe && is_answered => self.close(),
            State::Probing { .. } if is_probe => self.open(now),
            // Jobs that started before the breaker opened don't show whether the endpoint
            // answers now.
            State::Open { .. } | State::Probing { .. } => {}
        }
    }

    /// Counts the end of a job and opens the breaker if its condition is met.
    fn count(&mut self, now: Timestamp, is_answered: bool) {
        self.consecutive_failures = if is_answered {
            0
        } else {
            self.consecutive_failures + 1
        };
        let is_tripped = match self.trip {
            Trip::Never => false,
            Trip::Consecutive { failures } => self.consecutive_failures >= failures,
            Trip::Ratio {
                window,
                percent,
                min_calls,
            } => {
                let (answered, failed) = self.count_in_window(now, window, is_answered);
                let calls = answered + failed;
                !is_answered && calls >= min_calls && failed * 100 >= calls * percent
            }
        };
        if is_tripped {
            self.open(now);
        }
    }

    /// Counts the end of a job in the sliding window; returns the answered and failed calls
    /// in the window.
    fn count_in_window(
        &mut self,
        now: Timestamp,
        window: time::Duration,
        is_answered: bool,
    ) -> (u32, u32) {
        let width = (window.as_micros() as u64 / WINDOW_SLICES).max(1);
        let number = now.0 / width;
        let slice = &mut self.slices[(number % WINDOW_SLICES) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
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
            if slice.number + WINDOW_SLICES <= number {
                continue;
            }
            sum.0 += slice.answered;
            sum.1 += slice.failed;
        }
        sum
    }

    fn open(&mut self, now: Timestamp) {
        let until = now.after(self.open_time);
        self.state = State::Open { until };
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.consecutive_failures = 0;
        self.slices = Default::default();
    }
}
