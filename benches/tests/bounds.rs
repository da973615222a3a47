//! Every figure of the decisions keeps its bound; seeds are fixed, so the verdict repeats.

use cardamomhold_bench::flood;
use cardamomhold_bench::reads;
use cardamomhold_bench::report;
use cardamomhold_bench::size;

#[test]
fn floods_keep_bounds() {
    let figures: Vec<report::Figure> = size::ALL
        .iter()
        .flat_map(|size| flood::measure(size, flood::SEED))
        .collect();
    let missed: Vec<&report::Figure> = figures.iter().filter(|f| !f.is_kept()).collect();
    assert!(missed.is_empty(), "missed: {missed:#?}");
}

#[test]
fn reads_keep_bounds() {
    for size in &size::ALL {
        let figures = reads::measure(size, flood::SEED);
        let missed: Vec<&report::Figure> = figures.iter().filter(|f| !f.is_kept()).collect();
        assert!(missed.is_empty(), "missed: {missed:#?}");
    }
}
