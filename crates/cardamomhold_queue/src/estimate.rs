//! Estimates for one rank: service time of its jobs, wait before a start, and how many jobs
//! may wait.

use std::time;

use cardamomhold_core::time::Timestamp;

/// Assumed service time before the first measurement.
const INITIAL_SERVICE_TIME: time::Duration = time::Duration::from_millis(10);

/// Weight of each new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// A queue that has not been empty for this long counts as an overload instead of a burst.
const MAX_BURST_TIME: time::Duration = time::Duration::from_secs(1);

/// Jobs that wait for this long without any start get no service.
const STARVATION_TIME: time::Duration = time::Duration::from_millis(200);

/// The estimates for one rank.
#[derive(Debug)]
pub struct Estimate {
    service_us: f64,
    /// Moving average of the time between two starts while jobs were waiting.
    interval_us: Option<f64>,
    last_start: Option<Timestamp>,
    /// Since when at least one job has been waiting.
    waiting_since: Option<Timestamp>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            service_us: INITIAL_SERVICE_TIME.as_micros() as f64,
            interval_us: None,
            last_start: None,
            waiting_since: None,
        }
    }
}

impl Estimate {
    /// Expected time of one job at the endpoint, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us as u64
    }

    /// Expected time until `ahead` jobs have started. Jobs that have waited for long without any
    /// start are expected to wait on.
    pub fn expected_wait(&self, now: Timestamp, ahead: usize, limit: usize) -> time::Duration {
        let default_us = self.service_us / limit.max(1) as f64;
        let interval_us = self.interval_us.unwrap_or(default_us);
        let quiet = self.last_start.max(self.waiting_since);
        let quiet_us = quiet.map_or(0, |since| now.since(since).as_micros());
        let overdue_us = (quiet_us as f64 - interval_us).max(0.0);
        time::Duration::from_micros((interval_us * ahead as f64 + overdue_us) as u64)
    }

    /// Whether jobs wait and none has started for a long time.
    pub fn is_starved(&self, now: Timestamp) -> bool {
        let quiet = self.waiting_since.max(self.last_start);
        let is_waiting = self.waiting_since.is_some();
        is_waiting && quiet.is_some_and(|since| now.since(since) > STARVATION_TIME)
    }

    /// Number of jobs that may wait, at most `max`; in an overload, as many as can start
    /// within `target`.
    ///
    /// A longer queue would not raise the throughput, but it would delay every job, even after
    /// the overload has ended.
    pub fn max_waiting(&self, now: Timestamp, target: time::Duration, max: usize) -> usize {
        let is_burst = self
            .waiting_since
            .is_none_or(|since| now.since(since) < MAX_BURST_TIME);
        let Some(interval_us) = self.interval_us.filter(|_| !is_burst) else {
            return max;
        };
        let jobs = target.as_micros() as f64 / interval_us.max(1.0);
        (jobs as usize).clamp(1, max.max(1))
    }

    /// Records that a job is waiting.
    pub fn record_waiting(&mut self, now: Timestamp) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a start; `has_waiting` tells whether other jobs of the rank are still waiting.
    pub fn record_start(&mut self, now: Timestamp, has_waiting: bool) {
        if let Some(last) = self.last_start {
            let sample = now.since(last).as_micros() as f64;
            let mean = self.interval_us.unwrap_or(sample);
            self.interval_us = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        }
        self.last_start = has_waiting.then_some(now);
        if !has_waiting {
            self.record_empty();
        }
    }

    /// Records that no job of the rank is waiting any longer.
    pub fn record_empty(&mut self) {
        self.last_start = None;
        self.interval_us = None;
        self.waiting_since = None;
    }

    /// Records the time of a job at the endpoint.
    pub fn record_service(&mut self, service_time: time::Duration) {
        let sample = service_time.as_micros() as f64;
        self.service_us += (sample - self.service_us) * SAMPLE_WEIGHT;
    }
}
