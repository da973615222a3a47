//! The number of jobs that an endpoint works on at once, found by trial.
//!
//! Twice the jobs in flight do twice the work only while the endpoint has free slots.
//! So the limit tries a neighbouring value for a while now and then, and keeps it when
//! the endpoint's measured throughput says so.

use std::time;

/// Samples that make one measurement.
const SAMPLES: u32 = 128;

/// Samples that make the trial of a greater limit, which costs little.
const MORE_SAMPLES: u32 = 2 * SAMPLES;

/// Measurements at the present limit before each trial.
const HOLD: u32 = 4;

/// Greatest factor by which trials that bring nothing are put off.
const MOST_DELAY: u32 = 32;

/// A speed below this part of the known one says that the endpoint has changed.
const CHANGED: f64 = 0.7;

/// A step is this part of the limit, and at least one.
const STEP_DIVISOR: usize = 4;

/// Part of the gain that a greater limit promises and that must be seen.
const LEAST_GAIN: f64 = 0.6;

/// Part of the loss that a smaller limit threatens and that may be seen.
const MOST_LOSS: f64 = 0.3;

/// Samples that a rank's usual service time is the mean of.
const USUAL_SAMPLES: f64 = 1024.0;

/// The usual service time of a rank, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    samples: f64,
    mean: f64,
}

impl Usual {
    fn learn(&mut self, took: f64) -> f64 {
        self.samples = (self.samples + 1.0).min(USUAL_SAMPLES);
        self.mean += (took - self.mean) / self.samples;
        self.mean
    }
}

/// What a measurement is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Hold,
    Try(Way),
}

/// Which neighbour is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    More,
    Less,
}

/// When a neighbour is tried next.
#[derive(Debug, Clone, Copy)]
struct Plan {
    holds: u32,
    delay: u32,
}

/// Plans of both ways at the start; a smaller limit costs service while it is tried.
const FIRST_PLANS: [Plan; 2] = [
    Plan { holds: 0, delay: 1 },
    Plan {
        holds: 0,
        delay: MOST_DELAY,
    },
];

/// The limit of jobs in flight.
#[derive(Debug)]
pub struct Limit {
    kept: usize,
    tried: usize,
    most: usize,
    phase: Phase,
    holds: u32,
    plans: [Plan; 2],
    speed: f64,
    samples: u32,
    slowness: f64,
    usual: [Usual; 3],
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
            plans: FIRST_PLANS,
            speed: 0.0,
            samples: 0,
            slowness: 0.0,
            usual: Default::default(),
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
        self.samples += 1;
        self.slowness += took / self.usual[rank].learn(took);
        let enough = match self.phase {
            Phase::Try(Way::More) => MORE_SAMPLES,
            Phase::Hold | Phase::Try(Way::Less) => SAMPLES,
        };
        if self.samples < enough {
            return;
        }
        let speed = self.tried as f64 * f64::from(self.samples) / self.slowness;
        self.samples = 0;
        self.slowness = 0.0;
        self.judge(speed);
    }

    fn judge(&mut self, speed: f64) {
        let Phase::Try(way) = self.phase else {
            self.hold(speed);
            return;
        };
        let ratio = speed / self.speed;
        let is_better = match way {
            Way::More => {
                let promised = self.tried as f64 / self.kept as f64 - 1.0;
                ratio >= 1.0 + promised * LEAST_GAIN
            }
            Way::Less => {
                let promised = self.kept as f64 / self.tried as f64 - 1.0;
                ratio * (1.0 + promised * MOST_LOSS) >= 1.0
            }
        };
        let plan = &mut self.plans[way as usize];
        plan.holds = 0;
        if is_better {
            self.kept = self.tried;
            for plan in &mut self.plans {
                plan.delay = 1;
            }
        } else {
            plan.delay = (plan.delay * 2).min(MOST_DELAY);
        }
        self.tried = self.kept;
        self.phase = Phase::Hold;
        self.holds = 0;
    }

    fn hold(&mut self, speed: f64) {
        if speed < self.speed * CHANGED {
            // What was measured before says nothing of the endpoint any more.
            self.holds = 0;
            self.plans[Way::Less as usize].delay = 1;
        }
        let known = if self.holds == 0 { speed } else { self.speed };
        self.holds = (self.holds + 1).min(HOLD);
        self.speed = known + (speed - known) / f64::from(self.holds);
        for way in [Way::Less, Way::More] {
            let plan = &mut self.plans[way as usize];
            plan.holds += 1;
            let is_due = plan.holds >= HOLD * plan.delay && self.holds >= HOLD;
            if is_due && self.phase == Phase::Hold {
                self.attempt(way);
            }
        }
    }

    fn attempt(&mut self, way: Way) {
        let step = (self.kept / STEP_DIVISOR).max(1);
        let tried = match way {
            Way::More => (self.kept + step).min(self.most),
            Way::Less => self.kept.saturating_sub(step).max(1),
        };
        if tried != self.kept {
            self.tried = tried;
            self.phase = Phase::Try(way);
        }
    }
}
