//! Runs the benchmarks and prints their figures; fails when a figure misses its bound.

use std::process;

use cardamomhold_bench::breaker;
use cardamomhold_bench::failover;
use cardamomhold_bench::flood;
use cardamomhold_bench::reads;
use cardamomhold_bench::report;
use cardamomhold_bench::size;
use cardamomhold_bench::uneven;

mod flags {
    xflags::xflags! {
        /// Runs the benchmarks in virtual time.
        cmd bench {
            /// Prints JSON instead of a table.
            optional --json
            /// Compares the trip rules of the circuit breaker instead of printing the figures.
            optional --breaker
            /// Replays uneven load with the former and the present decisions.
            optional --uneven
            /// Seed of the request arrivals.
            optional --seed seed: u64
        }
    }
}

fn main() -> process::ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    let seed = flags.seed.unwrap_or(flood::SEED);
    if flags.breaker {
        for size in &size::ALL {
            println!("{}:\n\n{}", size.name, breaker::table(size, seed));
        }
        return process::ExitCode::SUCCESS;
    }
    if flags.uneven {
        print_uneven(seed);
        return process::ExitCode::SUCCESS;
    }
    let mut figures = Vec::new();
    for size in &size::ALL {
        figures.extend(reads::measure(size, seed));
        figures.extend(flood::measure(size, seed));
    }
    figures.extend(failover::run(seed).iter().map(failover_figure));
    if flags.json {
        match serde_json::to_string_pretty(&figures) {
            Ok(text) => println!("{text}"),
            Err(_) => return process::ExitCode::FAILURE,
        }
    } else {
        print!("{}", report::table(&figures));
    }
    if figures.iter().all(report::Figure::is_met) {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}

/// Returns the longest gap as a figure, with the gap under a fixed timeout as the baseline.
fn failover_figure(gap: &failover::Gap) -> report::Figure {
    report::Figure {
        user: size::KALKVAGN.name,
        measure: format!("gap in writes, primary {:?}, ms", gap.fault),
        ours: gap.longest_ms as f64,
        baseline: gap.baseline_ms as f64,
        bound: report::Bound::Most(gap.bound_ms as f64),
    }
}

/// Prints the results of uneven load: without the decisions that answer it, with each of them, and
/// with all.
fn print_uneven(seed: u64) {
    let former = uneven::Decisions::default();
    let reported = uneven::Decisions {
        reports_refusals: true,
        ..former
    };
    let present = uneven::Decisions {
        moves_reads: true,
        ..reported
    };
    for deployment in &uneven::DEPLOYMENTS {
        for decisions in [former, reported, present] {
            println!("{}, {decisions:?}", deployment.name);
            println!("{}", uneven::run(deployment, decisions, seed));
        }
    }
}
