//! Prints the figures of the decisions; fails when one misses its bound.

use std::process;

use cardamomhold_bench::flood;
use cardamomhold_bench::report;
use cardamomhold_bench::size;

mod flags {
    xflags::xflags! {
        /// Measures the decisions in virtual time.
        cmd bench {
            /// Prints JSON in place of a table.
            optional --json
            /// Seed of the arrivals.
            optional --seed seed: u64
        }
    }
}

fn main() -> process::ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    let seed = flags.seed.unwrap_or(flood::SEED);
    let mut figures = Vec::new();
    for size in &size::ALL {
        figures.extend(flood::measure(size, seed));
    }
    if flags.json {
        match serde_json::to_string_pretty(&figures) {
            Ok(text) => println!("{text}"),
            Err(_) => return process::ExitCode::FAILURE,
        }
    } else {
        print!("{}", report::table(&figures));
    }
    if figures.iter().all(report::Figure::is_kept) {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}
