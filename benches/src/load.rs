//! Generates request arrivals from a seed.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::size;

/// Number of callers that share the base load of a rank equally.
pub const SMALL_CALLERS: usize = 100;

/// Index of the caller that sends all the extra load of a one-caller flood.
pub const BIG_CALLER: usize = SMALL_CALLERS;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of its rank in [`size::CLASSES`].
    pub rank: usize,
    /// Index of its caller.
    pub caller: usize,
    /// Time at which the client sends the request.
    pub sent: Timestamp,
    /// Time that the endpoint needs to run the request.
    pub service_time: time::Duration,
    /// Index of the instance that receives the request.
    pub instance: usize,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a request, with the time at which the client receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not finished.
    Pending,
    /// Refused before it ran.
    Refused(Timestamp),
    /// Answered.
    Answered(Timestamp),
    /// Failed at the endpoint.
    Failed(Timestamp),
}

/// A period in which a rank's load is a multiple of its base load.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// Index of the rank in [`size::CLASSES`].
    pub rank: usize,
    /// Load during the flood as a multiple of the base load.
    pub factor: u32,
    /// Whether a single caller sends all load above the base load.
    pub by_one_caller: bool,
    /// Start, from the beginning of the run.
    pub from: time::Duration,
    /// End, from the beginning of the run.
    pub until: time::Duration,
}

/// Returns the names of the callers by index.
pub fn callers() -> Vec<name::CallerName> {
    let names = (0..=BIG_CALLER).map(|index| name::CallerName::parse(&format!("caller-{index}")));
    names.filter_map(Result::ok).collect()
}

/// Generates the requests of one run, ordered by the time at which they are sent.
pub fn generate(
    size: &size::Size,
    floods: &[Flood],
    run_time: time::Duration,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        let base_load = Flood {
            rank,
            factor: 1,
            by_one_caller: false,
            from: time::Duration::ZERO,
            until: run_time,
        };
        let base = base_rate(size, class);
        add_arrivals(size, &base_load, base, seed + rank as u64, &mut requests);
        for flood in floods.iter().filter(|f| f.rank == rank) {
            let extra = base * f64::from(flood.factor - 1);
            add_arrivals(size, flood, extra, seed + 10 + rank as u64, &mut requests);
        }
    }
    requests.sort_by_key(|r| r.sent);
    requests
}

/// Returns the base load of a class, in requests per second.
fn base_rate(size: &size::Size, class: &size::Class) -> f64 {
    let capacity = size.slots as f64 / class.service_time.as_secs_f64();
    capacity * f64::from(class.base_percent) / 100.0
}

fn add_arrivals(
    size: &size::Size,
    flood: &Flood,
    per_second: f64,
    seed: u64,
    requests: &mut Vec<Request>,
) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let class = &size::CLASSES[flood.rank];
    let mut seconds = flood.from.as_secs_f64();
    loop {
        seconds += exponential(&mut rng) / per_second;
        if seconds >= flood.until.as_secs_f64() {
            return;
        }
        let caller = if flood.by_one_caller {
            BIG_CALLER
        } else {
            rng.random_range(0..SMALL_CALLERS)
        };
        requests.push(Request {
            rank: flood.rank,
            caller,
            sent: Timestamp((seconds * 1e6) as u64),
            service_time: class.service_time.mul_f64(exponential(&mut rng)),
            instance: rng.random_range(0..size.instances),
            outcome: Outcome::Pending,
        });
    }
}

/// Returns a sample of the exponential distribution with mean 1.
pub fn exponential(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
