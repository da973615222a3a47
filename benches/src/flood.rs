//! Measures the service of each rank, the useful work and the recovery under floods.

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::breaker;

use crate::endpoint;
use crate::load;
use crate::report;
use crate::size;

/// Time during which requests arrive.
const RUN_TIME: time::Duration = time::Duration::from_secs(100);

/// Start and end of a flood.
const FLOOD_PERIOD: [time::Duration; 2] =
    [time::Duration::from_secs(10), time::Duration::from_secs(80)];

/// Bound from the table of targets: requests served within their target or deadline, in percent.
const MIN_PROMPT_PERCENT: f64 = 99.0;
/// Bound from the table of targets: latency as a multiple of the unloaded latency.
const MAX_SLOWDOWN: f64 = 2.0;
/// Bound from the table of targets: useful work in percent of the capacity.
const MIN_USEFUL_PERCENT: f64 = 90.0;

/// Minimum of a rank's service in percent of its guaranteed share; below 100 because a job that
/// still runs at the end of the period is not counted.
const MIN_SHARE_PERCENT: f64 = 99.0;

/// Maximum recovery time, in seconds: no accepted urgent request is older than its deadline.
const MAX_RECOVERY_S: f64 = 5.0;

/// Length of the windows over which recovery is determined, in seconds.
const RECOVERY_WINDOW_S: u64 = 5;

/// Seed of the request arrivals.
pub const SEED: u64 = 20_261_204;

/// Requests of one run under each policy.
struct Comparison {
    ours: Vec<load::Request>,
    baseline: Vec<load::Request>,
}

impl Comparison {
    fn run(size: &size::Size, floods: &[load::Flood], seed: u64) -> Self {
        let requests = load::generate(size, floods, RUN_TIME, seed);
        let healthy = endpoint::Health::Healthy;
        let queue = endpoint::Policy::queue(size, breaker::Trip::Never);
        let baseline = endpoint::Policy::baseline(size);
        Self {
            ours: endpoint::Run::new(size, queue, healthy, requests.clone()).finish(),
            baseline: endpoint::Run::new(size, baseline, healthy, requests).finish(),
        }
    }

    fn figure(
        &self,
        size: &size::Size,
        measure: &str,
        bound: report::Bound,
        compute: impl Fn(&[load::Request]) -> f64,
    ) -> report::Figure {
        report::Figure {
            user: size.name,
            measure: measure.to_owned(),
            ours: compute(&self.ours),
            baseline: compute(&self.baseline),
            bound,
        }
    }
}

fn flood(rank: usize, factor: u32, by_one_caller: bool) -> load::Flood {
    load::Flood {
        rank,
        factor,
        by_one_caller,
        from: FLOOD_PERIOD[0],
        until: FLOOD_PERIOD[1],
    }
}

fn during_flood(request: &&load::Request) -> bool {
    request.sent >= Timestamp(0).after(FLOOD_PERIOD[0])
        && request.sent < Timestamp(0).after(FLOOD_PERIOD[1])
}

fn latency(request: &load::Request) -> Option<time::Duration> {
    match request.outcome {
        load::Outcome::Answered(at) => Some(at.since(request.sent)),
        _ => None,
    }
}

/// Returns whether a request was answered within its rank's target.
pub(crate) fn meets_target(request: &load::Request) -> bool {
    latency(request).is_some_and(|l| l <= size::CLASSES[request.rank].target)
}

/// Returns whether a request was answered within its rank's deadline.
pub(crate) fn meets_deadline(request: &load::Request) -> bool {
    latency(request).is_some_and(|l| l <= size::CLASSES[request.rank].deadline)
}

fn percent(part: f64, all: f64) -> f64 {
    if all == 0.0 {
        100.0
    } else {
        part * 100.0 / all
    }
}

/// Returns the share of the requests that satisfy a predicate, in percent.
pub(crate) fn percent_matching<'a>(
    requests: impl Iterator<Item = &'a load::Request>,
    test: impl Fn(&load::Request) -> bool,
) -> f64 {
    let (mut met, mut all) = (0, 0);
    for request in requests {
        all += 1;
        met += u32::from(test(request));
    }
    percent(met.into(), all.into())
}

fn prompt_percent(requests: &[load::Request], rank: usize) -> f64 {
    let offered = requests.iter().filter(during_flood);
    percent_matching(offered.filter(|r| r.rank == rank), meets_target)
}

fn in_time_percent(requests: &[load::Request], rank: usize) -> f64 {
    let offered = requests.iter().filter(during_flood);
    percent_matching(offered.filter(|r| r.rank == rank), meets_deadline)
}

/// Returns the 99th percentile of a rank's latency, in milliseconds.
fn p99_ms(requests: &[load::Request], rank: usize) -> f64 {
    let answered = requests.iter().filter(during_flood);
    let mut all: Vec<time::Duration> = answered
        .filter(|r| r.rank == rank)
        .filter_map(latency)
        .collect();
    all.sort();
    let at = all.len() * 99 / 100;
    all.get(at).map_or(f64::INFINITY, |l| l.as_secs_f64() * 1e3)
}

/// Returns the endpoint's service time for requests answered in time during the flood, in seconds.
fn useful_seconds(requests: &[load::Request], rank: Option<usize>) -> f64 {
    let [from, until] = FLOOD_PERIOD.map(|at| Timestamp(0).after(at));
    let mut sum = time::Duration::ZERO;
    for request in requests {
        let load::Outcome::Answered(at) = request.outcome else {
            continue;
        };
        if at < from || at >= until || !meets_deadline(request) {
            continue;
        }
        if rank.is_none_or(|r| r == request.rank) {
            sum += request.service_time;
        }
    }
    sum.as_secs_f64()
}

fn capacity_seconds(size: &size::Size) -> f64 {
    (FLOOD_PERIOD[1] - FLOOD_PERIOD[0]).as_secs_f64() * size.slots as f64
}

/// Returns the useful service time of a rank in percent of its guaranteed share.
fn guaranteed_percent(requests: &[load::Request], rank: usize) -> f64 {
    let all = useful_seconds(requests, None);
    let guaranteed = all * f64::from(size::CLASSES[rank].share_percent) / 100.0;
    percent(useful_seconds(requests, Some(rank)), guaranteed)
}

/// Returns the number of refused requests of small callers.
fn refused_small(requests: &[load::Request], rank: usize) -> f64 {
    let small = requests.iter().filter(during_flood);
    let small = small.filter(|r| r.rank == rank && r.caller != load::BIG_CALLER);
    let refused = small.filter(|r| matches!(r.outcome, load::Outcome::Refused(_)));
    refused.count() as f64
}

/// Returns the lowest share of in-time answers of any small caller, in percent.
fn worst_small(requests: &[load::Request], rank: usize) -> f64 {
    let mut counts = [(0_u32, 0_u32); load::SMALL_CALLERS];
    for request in requests.iter().filter(during_flood) {
        if request.rank != rank || request.caller == load::BIG_CALLER {
            continue;
        }
        let (met, all) = &mut counts[request.caller];
        *met += u32::from(meets_deadline(request));
        *all += 1;
    }
    let parts = counts.map(|(met, all)| percent(met.into(), all.into()));
    parts.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns the time after the flood until urgent and normal requests meet their targets again, in
/// seconds, determined over windows of [`RECOVERY_WINDOW_S`].
fn recovery(requests: &[load::Request]) -> f64 {
    let first = FLOOD_PERIOD[1].as_secs();
    for second in first..RUN_TIME.as_secs() - RECOVERY_WINDOW_S {
        let window = second..second + RECOVERY_WINDOW_S;
        let sent = requests
            .iter()
            .filter(|r| window.contains(&(r.sent.0 / 1_000_000)));
        if percent_matching(sent.filter(|r| r.rank < 2), meets_target) >= MIN_PROMPT_PERCENT {
            return (second - first) as f64;
        }
    }
    f64::INFINITY
}

/// Measures all figures of one user.
pub fn measure(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    figures.extend(bulk_flood(size, seed));
    figures.extend(urgent_flood(size, seed));
    figures.extend(all_flood(size, seed));
    figures.extend(big_callers(size, seed));
    figures
}

fn bulk_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let unloaded = Comparison::run(size, &[], seed);
    let comparison = Comparison::run(size, &[flood(2, 20, false)], seed);
    let unloaded_p99 = p99_ms(&unloaded.ours, 0);
    let least = report::Bound::Least(MIN_PROMPT_PERCENT);
    let slowdown = report::Bound::Most(MAX_SLOWDOWN);
    vec![
        comparison.figure(size, "bulk x20: urgent served in target, %", least, |r| {
            prompt_percent(r, 0)
        }),
        comparison.figure(size, "bulk x20: urgent p99 / unloaded p99", slowdown, |r| {
            p99_ms(r, 0) / unloaded_p99
        }),
        comparison.figure(size, "bulk x20: normal served in target, %", least, |r| {
            prompt_percent(r, 1)
        }),
        comparison.figure(
            size,
            "bulk x20: useful work, % of capacity",
            report::Bound::Least(MIN_USEFUL_PERCENT),
            |r| percent(useful_seconds(r, None), capacity_seconds(size)),
        ),
        comparison.figure(
            size,
            "bulk x20: recovery, s",
            report::Bound::Most(MAX_RECOVERY_S),
            recovery,
        ),
    ]
}

fn urgent_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let comparison = Comparison::run(size, &[flood(0, 20, false)], seed);
    // The load of both ranks is below their guaranteed shares, so all of it must be served.
    let min_percent = report::Bound::Least(MIN_PROMPT_PERCENT);
    let none = report::Bound::Most(0.0);
    vec![
        comparison.figure(
            size,
            "urgent x20: normal answered in time, %",
            min_percent,
            |r| in_time_percent(r, 1),
        ),
        comparison.figure(
            size,
            "urgent x20: bulk answered in time, %",
            min_percent,
            |r| in_time_percent(r, 2),
        ),
        comparison.figure(size, "urgent x20: normal refused", none, |r| {
            refused_small(r, 1)
        }),
        comparison.figure(size, "urgent x20: bulk refused", none, |r| {
            refused_small(r, 2)
        }),
        comparison.figure(
            size,
            "urgent x20: useful work, % of capacity",
            report::Bound::Least(MIN_USEFUL_PERCENT),
            |r| percent(useful_seconds(r, None), capacity_seconds(size)),
        ),
        comparison.figure(
            size,
            "urgent x20: recovery, s",
            report::Bound::Most(MAX_RECOVERY_S),
            recovery,
        ),
    ]
}

fn all_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let floods = [0, 1, 2].map(|rank| flood(rank, 20, false));
    let comparison = Comparison::run(size, &floods, seed);
    let mut figures = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        let measure = format!("all x20: {}, % of its guaranteed share", class.rank);
        let min_percent = report::Bound::Least(MIN_SHARE_PERCENT);
        figures
            .push(comparison.figure(size, &measure, min_percent, |r| guaranteed_percent(r, rank)));
    }
    figures.push(comparison.figure(
        size,
        "all x20: useful work, % of capacity",
        report::Bound::Least(MIN_USEFUL_PERCENT),
        |r| percent(useful_seconds(r, None), capacity_seconds(size)),
    ));
    figures
}

/// Measures floods in which one caller of a rank sends 1,900 times a small caller's load.
fn big_callers(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        // The big caller sends 19 times the base load, which the hundred small callers share.
        // The other ranks flood too, so that the rank gets no more than its share.
        let floods = [0, 1, 2].map(|other| match other == rank {
            true => flood(other, 20, true),
            false => flood(other, 20, false),
        });
        let comparison = Comparison::run(size, &floods, seed);
        let name = class.rank;
        figures.push(comparison.figure(
            size,
            &format!("{name}: small callers refused beside a big one"),
            report::Bound::Most(0.0),
            |r| refused_small(r, rank),
        ));
        figures.push(comparison.figure(
            size,
            &format!("{name}: worst small caller in time, %"),
            report::Bound::Least(MIN_PROMPT_PERCENT),
            |r| worst_small(r, rank),
        ));
    }
    figures
}
