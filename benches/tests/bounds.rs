//! Every benchmark figure stays within its bound. Seeds are fixed, so the result is reproducible.

use cardamomhold_bench::flood;
use cardamomhold_bench::reads;
use cardamomhold_bench::report;
use cardamomhold_bench::size;

#[test]
fn floods_stay_within_bounds() {
    let figures: Vec<report::Figure> = size::ALL
        .iter()
        .flat_map(|size| flood::measure(size, flood::SEED))
        .collect();
    let missed: Vec<&report::Figure> = figures.iter().filter(|f| !f.is_met()).collect();
    assert!(missed.is_empty(), "missed: {missed:#?}");
}

#[test]
fn reads_stay_within_bounds() {
    for size in &size::ALL {
        let figures = reads::measure(size, flood::SEED);
        let missed: Vec<&report::Figure> = figures.iter().filter(|f| !f.is_met()).collect();
        assert!(missed.is_empty(), "missed: {missed:#?}");
    }
}
