//! Seeded arrivals of requests.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::size;

/// Callers of one rank, each with the same load.
pub const SMALL_CALLERS: usize = 100;

/// Place of the caller that floods alone.
pub const BIG_CALLER: usize = SMALL_CALLERS;

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Place of its rank.
    pub rank: usize,
    /// Place of its caller.
    pub caller: usize,
    /// When the client sends it.
    pub sent: Timestamp,
    /// Time that the endpoint works on it.
    pub service: time::Duration,
    /// Instance that it enters by.
    pub instance: usize,
    /// What became of it.
    pub fate: Fate,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Nothing yet.
    Open,
    /// Refused before it ran.
    Refused,
    /// Answered; the client has the answer.
    Answered(Timestamp),
    /// The endpoint failed it; the client knows.
    Failed(Timestamp),
}

/// A time-bound multiple of a rank's base load.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// Place of the rank.
    pub rank: usize,
    /// Multiple of the base load.
    pub times: u32,
    /// Whether one caller alone brings what exceeds the base load.
    pub by_one: bool,
    /// When it starts.
    pub from: time::Duration,
    /// When it ends.
    pub until: time::Duration,
}

/// Names of the callers by their place.
pub fn callers() -> Vec<name::CallerName> {
    let names = (0..=BIG_CALLER).map(|at| name::CallerName::parse(&format!("caller-{at}")));
    names.filter_map(Result::ok).collect()
}

/// The requests of one run, in the order in which they are sent.
pub fn generate(
    size: &size::Size,
    floods: &[Flood],
    span: time::Duration,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        let all = Flood {
            rank,
            times: 1,
            by_one: false,
            from: time::Duration::ZERO,
            until: span,
        };
        let base = rate(size, class);
        stream(size, &all, base, seed + rank as u64, &mut requests);
        for flood in floods.iter().filter(|f| f.rank == rank) {
            let extra = base * f64::from(flood.times - 1);
            stream(size, flood, extra, seed + 10 + rank as u64, &mut requests);
        }
    }
    requests.sort_by_key(|r| r.sent);
    requests
}

/// Requests a second that make up a class's base load.
fn rate(size: &size::Size, class: &size::Class) -> f64 {
    let capacity = size.slots as f64 / class.service.as_secs_f64();
    capacity * f64::from(class.base_percent) / 100.0
}

fn stream(
    size: &size::Size,
    flood: &Flood,
    per_second: f64,
    seed: u64,
    requests: &mut Vec<Request>,
) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let class = &size::CLASSES[flood.rank];
    let mut at = flood.from.as_secs_f64();
    loop {
        at += exponential(&mut rng) / per_second;
        if at >= flood.until.as_secs_f64() {
            return;
        }
        let caller = if flood.by_one {
            BIG_CALLER
        } else {
            rng.random_range(0..SMALL_CALLERS)
        };
        requests.push(Request {
            rank: flood.rank,
            caller,
            sent: Timestamp((at * 1e6) as u64),
            service: class.service.mul_f64(exponential(&mut rng)),
            instance: rng.random_range(0..size.instances),
            fate: Fate::Open,
        });
    }
}

/// A sample of the exponential distribution with mean one.
pub fn exponential(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
