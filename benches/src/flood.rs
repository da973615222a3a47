//! Service of the ranks in floods, work that was of use, and recovery.

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::breaker;

use crate::endpoint;
use crate::load;
use crate::report;
use crate::size;

/// Length of a run.
const SPAN: time::Duration = time::Duration::from_secs(100);

/// Start and end of a flood.
const FLOOD: [time::Duration; 2] = [time::Duration::from_secs(10), time::Duration::from_secs(80)];

/// What the runs must keep; the targets' table gives the figures.
const PROMPT_PERCENT: f64 = 99.0;
const SLOWDOWN: f64 = 2.0;
const USEFUL_PERCENT: f64 = 90.0;

/// Guaranteed share kept, in percent; a job that runs at the window's end is missing.
const SHARE_KEPT_PERCENT: f64 = 99.0;

/// Time to recover: no accepted urgent request is older than its deadline.
const RECOVERY_S: f64 = 5.0;

/// Length of the windows in which recovery is looked for.
const RECOVERY_WINDOW_S: u64 = 5;

/// Seed of the arrivals.
pub const SEED: u64 = 20_261_204;

/// The requests of one run of each policy.
struct Pair {
    ours: Vec<load::Request>,
    baseline: Vec<load::Request>,
}

impl Pair {
    fn run(size: &size::Size, floods: &[load::Flood], seed: u64) -> Self {
        let requests = load::generate(size, floods, SPAN, seed);
        let good = endpoint::Health::Good;
        let queue = endpoint::Policy::queue(size, breaker::Trip::Never);
        let plain = endpoint::Policy::plain(size);
        Self {
            ours: endpoint::Run::new(size, queue, good, requests.clone()).finish(),
            baseline: endpoint::Run::new(size, plain, good, requests).finish(),
        }
    }

    fn figure(
        &self,
        size: &size::Size,
        measure: &str,
        bound: report::Bound,
        of: impl Fn(&[load::Request]) -> f64,
    ) -> report::Figure {
        report::Figure {
            user: size.name,
            measure: measure.to_owned(),
            ours: of(&self.ours),
            baseline: of(&self.baseline),
            bound,
        }
    }
}

fn flood(rank: usize, times: u32, by_one: bool) -> load::Flood {
    load::Flood {
        rank,
        times,
        by_one,
        from: FLOOD[0],
        until: FLOOD[1],
    }
}

fn during_flood(request: &&load::Request) -> bool {
    request.sent >= Timestamp(0).after(FLOOD[0]) && request.sent < Timestamp(0).after(FLOOD[1])
}

fn latency(request: &load::Request) -> Option<time::Duration> {
    match request.fate {
        load::Fate::Answered(at) => Some(at.since(request.sent)),
        _ => None,
    }
}

fn is_prompt(request: &load::Request) -> bool {
    latency(request).is_some_and(|l| l <= size::CLASSES[request.rank].target)
}

fn is_useful(request: &load::Request) -> bool {
    latency(request).is_some_and(|l| l <= size::CLASSES[request.rank].deadline)
}

fn percent(part: f64, all: f64) -> f64 {
    if all == 0.0 {
        100.0
    } else {
        part * 100.0 / all
    }
}

/// Part of the offered requests that meet a test, in percent.
fn part<'a>(
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

fn prompt(requests: &[load::Request], rank: usize) -> f64 {
    let offered = requests.iter().filter(during_flood);
    part(offered.filter(|r| r.rank == rank), is_prompt)
}

fn in_time(requests: &[load::Request], rank: usize) -> f64 {
    let offered = requests.iter().filter(during_flood);
    part(offered.filter(|r| r.rank == rank), is_useful)
}

/// The 99th percentile of a rank's latency, in milliseconds.
fn p99(requests: &[load::Request], rank: usize) -> f64 {
    let answered = requests.iter().filter(during_flood);
    let mut all: Vec<time::Duration> = answered
        .filter(|r| r.rank == rank)
        .filter_map(latency)
        .collect();
    all.sort();
    let at = all.len() * 99 / 100;
    all.get(at).map_or(f64::INFINITY, |l| l.as_secs_f64() * 1e3)
}

/// Service that the endpoint gave to answers in time within the flood, in seconds.
fn useful(requests: &[load::Request], rank: Option<usize>) -> f64 {
    let [from, until] = FLOOD.map(|at| Timestamp(0).after(at));
    let mut sum = time::Duration::ZERO;
    for request in requests {
        let load::Fate::Answered(at) = request.fate else {
            continue;
        };
        if at < from || at >= until || !is_useful(request) {
            continue;
        }
        if rank.is_none_or(|r| r == request.rank) {
            sum += request.service;
        }
    }
    sum.as_secs_f64()
}

fn capacity(size: &size::Size) -> f64 {
    (FLOOD[1] - FLOOD[0]).as_secs_f64() * size.slots as f64
}

/// Service of a rank against its guaranteed part of all service, in percent.
fn share_kept(requests: &[load::Request], rank: usize) -> f64 {
    let all = useful(requests, None);
    let due = all * f64::from(size::CLASSES[rank].share_percent) / 100.0;
    percent(useful(requests, Some(rank)), due)
}

/// Requests of small callers that were refused.
fn refused_small(requests: &[load::Request], rank: usize) -> f64 {
    let small = requests.iter().filter(during_flood);
    let small = small.filter(|r| r.rank == rank && r.caller != load::BIG_CALLER);
    small.filter(|r| r.fate == load::Fate::Refused).count() as f64
}

/// Least part of a small caller's requests that were answered in time, in percent.
fn worst_small(requests: &[load::Request], rank: usize) -> f64 {
    let mut counts = [(0_u32, 0_u32); load::SMALL_CALLERS];
    for request in requests.iter().filter(during_flood) {
        if request.rank != rank || request.caller == load::BIG_CALLER {
            continue;
        }
        let (met, all) = &mut counts[request.caller];
        *met += u32::from(is_useful(request));
        *all += 1;
    }
    let parts = counts.map(|(met, all)| percent(met.into(), all.into()));
    parts.into_iter().fold(f64::INFINITY, f64::min)
}

/// Seconds after the flood until urgent and normal work is served promptly again, seen
/// over windows of several seconds.
fn recovery(requests: &[load::Request]) -> f64 {
    let first = FLOOD[1].as_secs();
    for second in first..SPAN.as_secs() - RECOVERY_WINDOW_S {
        let window = second..second + RECOVERY_WINDOW_S;
        let sent = requests
            .iter()
            .filter(|r| window.contains(&(r.sent.0 / 1_000_000)));
        if part(sent.filter(|r| r.rank < 2), is_prompt) >= PROMPT_PERCENT {
            return (second - first) as f64;
        }
    }
    f64::INFINITY
}

/// All figures of one user.
pub fn measure(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    figures.extend(bulk_flood(size, seed));
    figures.extend(urgent_flood(size, seed));
    figures.extend(all_flood(size, seed));
    figures.extend(big_callers(size, seed));
    figures
}

fn bulk_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let quiet = Pair::run(size, &[], seed);
    let pair = Pair::run(size, &[flood(2, 20, false)], seed);
    let unloaded = p99(&quiet.ours, 0);
    let least = report::Bound::Least(PROMPT_PERCENT);
    let slowdown = report::Bound::Most(SLOWDOWN);
    vec![
        pair.figure(size, "bulk x20: urgent served in target, %", least, |r| {
            prompt(r, 0)
        }),
        pair.figure(size, "bulk x20: urgent p99 / unloaded p99", slowdown, |r| {
            p99(r, 0) / unloaded
        }),
        pair.figure(size, "bulk x20: normal served in target, %", least, |r| {
            prompt(r, 1)
        }),
        pair.figure(
            size,
            "bulk x20: useful work, % of capacity",
            report::Bound::Least(USEFUL_PERCENT),
            |r| percent(useful(r, None), capacity(size)),
        ),
        pair.figure(
            size,
            "bulk x20: recovery, s",
            report::Bound::Most(RECOVERY_S),
            recovery,
        ),
    ]
}

fn urgent_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let pair = Pair::run(size, &[flood(0, 20, false)], seed);
    // Both ask for less than their guaranteed shares, so all of it is to be served.
    let kept = report::Bound::Least(PROMPT_PERCENT);
    let none = report::Bound::Most(0.0);
    vec![
        pair.figure(size, "urgent x20: normal answered in time, %", kept, |r| {
            in_time(r, 1)
        }),
        pair.figure(size, "urgent x20: bulk answered in time, %", kept, |r| {
            in_time(r, 2)
        }),
        pair.figure(size, "urgent x20: normal refused", none, |r| {
            refused_small(r, 1)
        }),
        pair.figure(size, "urgent x20: bulk refused", none, |r| {
            refused_small(r, 2)
        }),
        pair.figure(
            size,
            "urgent x20: useful work, % of capacity",
            report::Bound::Least(USEFUL_PERCENT),
            |r| percent(useful(r, None), capacity(size)),
        ),
        pair.figure(
            size,
            "urgent x20: recovery, s",
            report::Bound::Most(RECOVERY_S),
            recovery,
        ),
    ]
}

fn all_flood(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let floods = [0, 1, 2].map(|rank| flood(rank, 20, false));
    let pair = Pair::run(size, &floods, seed);
    let mut figures = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        let measure = format!("all x20: {}, % of its guaranteed share", class.rank);
        let kept = report::Bound::Least(SHARE_KEPT_PERCENT);
        figures.push(pair.figure(size, &measure, kept, |r| share_kept(r, rank)));
    }
    figures.push(pair.figure(
        size,
        "all x20: useful work, % of capacity",
        report::Bound::Least(USEFUL_PERCENT),
        |r| percent(useful(r, None), capacity(size)),
    ));
    figures
}

/// One caller of each rank brings a hundred times a small caller's load.
fn big_callers(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    for (rank, class) in size::CLASSES.iter().enumerate() {
        // Twice the base load: a hundred small callers and one as large as all of them;
        // the other ranks flood too, so that the rank has no more than its share.
        let floods = [0, 1, 2].map(|other| match other == rank {
            true => flood(other, 20, true),
            false => flood(other, 20, false),
        });
        let pair = Pair::run(size, &floods, seed);
        let name = class.rank;
        figures.push(pair.figure(
            size,
            &format!("{name}: small callers refused beside a big one"),
            report::Bound::Most(0.0),
            |r| refused_small(r, rank),
        ));
        figures.push(pair.figure(
            size,
            &format!("{name}: worst small caller in time, %"),
            report::Bound::Least(PROMPT_PERCENT),
            |r| worst_small(r, rank),
        ));
    }
    figures
}
