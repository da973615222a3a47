//! Measured pace of one rank: how long its jobs take, and how often one starts.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Service time that is assumed before anything was measured.
const FIRST_SERVICE: time::Duration = time::Duration::from_millis(10);

/// Part of each new sample in a moving average.
const WEIGHT: f64 = 1.0 / 16.0;

/// Time after which a line that was never empty is an overload, and no burst.
const BURST: time::Duration = time::Duration::from_secs(1);

/// The pace of one rank.
#[derive(Debug)]
pub struct Pace {
    service_us: f64,
    interval_us: Option<f64>,
    last_start: Option<Timestamp>,
    since: Option<Timestamp>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            service_us: FIRST_SERVICE.as_micros() as f64,
            interval_us: None,
            last_start: None,
            since: None,
        }
    }
}

impl Pace {
    /// Expected time of one job at the endpoint.
    pub fn service_us(&self) -> u64 {
        self.service_us as u64
    }

    /// Expected time until `ahead` jobs of this rank have started.
    pub fn wait(&self, ahead: usize, limit: usize) -> time::Duration {
        let ideal = self.service_us / limit.max(1) as f64;
        let interval = self.interval_us.unwrap_or(ideal);
        time::Duration::from_micros((interval * ahead as f64) as u64)
    }

    /// Jobs that may wait, of at most `most`: in an overload, what is done within `target`.
    ///
    /// A standing line helps nobody: it delays every job by its length and outlives the
    /// overload.
    pub fn room(&self, now: Timestamp, target: time::Duration, most: usize) -> usize {
        let is_burst = self.since.is_none_or(|since| now.since(since) < BURST);
        let Some(interval) = self.interval_us.filter(|_| !is_burst) else {
            return most;
        };
        let room = target.as_micros() as f64 / interval.max(1.0);
        (room as usize).clamp(1, most.max(1))
    }

    /// Takes note that a job waits.
    pub fn waits(&mut self, now: Timestamp) {
        self.since.get_or_insert(now);
    }

    /// Takes note of a start; `more` tells whether others of the rank still wait.
    pub fn started(&mut self, now: Timestamp, more: bool) {
        if let Some(last) = self.last_start {
            let sample = now.since(last).as_micros() as f64;
            let known = self.interval_us.unwrap_or(sample);
            self.interval_us = Some(known + (sample - known) * WEIGHT);
        }
        self.last_start = more.then_some(now);
        if !more {
            self.emptied();
        }
    }

    /// Takes note that nothing of the rank waits any more.
    pub fn emptied(&mut self) {
        self.last_start = None;
        self.interval_us = None;
        self.since = None;
    }

    /// Takes note of a job's time at the endpoint.
    pub fn ended(&mut self, took: time::Duration) {
        let sample = took.as_micros() as f64;
        self.service_us += (sample - self.service_us) * WEIGHT;
    }
}
