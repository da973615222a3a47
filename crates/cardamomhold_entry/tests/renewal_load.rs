//! A model of the renewals in virtual time, with the real choice of readers, pacing and shedding.
//! Guards against requests at one reader that grow with the square of the instances, and against
//! lateness that makes more requests.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::registry;
use cardamomhold_lead::answer_budget;
use cardamomhold_lead::renewal;

const ZONES: usize = 3;

/// Modelled time, and the part at its beginning that isn't counted.
const TICKS: u64 = 100;
const WARM_UP_TICKS: u64 = 20;

fn fleet(count: usize) -> registry::Instances {
    let mut fleet = registry::Instances::new();
    for index in 0..count {
        let name = name::InstanceName::parse(&format!("front-{index:05}")).unwrap();
        let entry = registry::Entry {
            address: ([127, 0, 0, 1], 7000).into(),
            zone: format!("zone-{}", index % ZONES),
        };
        fleet.insert(name, entry);
    }
    fleet
}

/// Requests a second, in the mean of the instances and at the busiest reader, and the largest
/// number of answers a second.
struct Load {
    mean: f64,
    busiest: f64,
    answers: f64,
}

/// Runs the instances that aren't readers; the first readers that `is_silent` answer nothing.
fn run(count: usize, is_silent: bool) -> Load {
    let fleet = fleet(count);
    let firsts: collections::BTreeSet<_> = fleet
        .keys()
        .map(|name| registry::reader(&fleet, name, 0).clone())
        .collect();
    let mut renewals: collections::BTreeMap<_, _> = fleet
        .keys()
        .filter(|name| !firsts.contains(*name))
        .map(|name| (name.clone(), renewal::Renewal::default()))
        .collect();
    let mut budgets: collections::BTreeMap<name::InstanceName, answer_budget::AnswerBudget> =
        collections::BTreeMap::new();
    let mut received: collections::BTreeMap<name::InstanceName, (u32, u32)> =
        collections::BTreeMap::new();
    let mut sent = 0;
    let remaining = time::Duration::from_millis(700);
    for tick in 0..TICKS {
        let now = Timestamp::from_millis(1_000 + tick * 100);
        for (name, renewal) in &mut renewals {
            let skipped = renewal.skipped_readers(now, renewal::Level::Zone);
            let reader = registry::reader(&fleet, name, skipped).clone();
            if reader == *name || !renewal.next(now, remaining, false, false).reader {
                continue;
            }
            renewal.record_sent(now, renewal::Level::Zone);
            let is_up = !is_silent || !firsts.contains(&reader);
            let is_answered = budgets.entry(reader.clone()).or_default().admit(now) && is_up;
            if is_answered {
                renewal.record_answer(renewal::Level::Zone);
            }
            if tick >= WARM_UP_TICKS {
                sent += 1;
                let counts = received.entry(reader).or_default();
                counts.0 += 1;
                counts.1 += u32::from(is_answered);
            }
        }
    }
    let seconds = (TICKS - WARM_UP_TICKS) as f64 / 10.0;
    let most = |count: fn(&(u32, u32)) -> u32| received.values().map(count).max().unwrap_or(0);
    Load {
        mean: f64::from(sent) / seconds / count as f64,
        busiest: f64::from(most(|c| c.0)) / seconds,
        answers: f64::from(most(|c| c.1)) / seconds,
    }
}

/// An instance asks as often in a large fleet as in a small one, a reader is asked by at most 64
/// instances, and a silent reader makes no more requests than one that answers.
#[test]
fn load_is_flat() {
    // 1,000 and 4,400 instances take minutes; docs/design/control-traffic.md has their figures.
    for count in [30, 100, 300] {
        for is_silent in [false, true] {
            let load = run(count, is_silent);
            println!(
                "{count} instances, silent {is_silent}: {:.2} requests a second each, busiest reader \
                 {:.0} requests and {:.0} answers",
                load.mean, load.busiest, load.answers
            );
            assert!(load.mean <= 4.0, "{count}: {:.2}", load.mean);
            assert!(load.answers <= 4.0 * 256.0, "{count}: {:.0}", load.answers);
            if !is_silent {
                assert!(load.busiest <= 64.0 * 4.0, "{count}: {:.0}", load.busiest);
            }
        }
    }
}
