//! The decisions for uneven load serve more of it than the former ones, and cost even load nothing.

use cardamomhold_bench::flood;
use cardamomhold_bench::uneven;

const FORMER: uneven::Decisions = uneven::Decisions {
    moves_reads: false,
    reports_refusals: false,
};

const PRESENT: uneven::Decisions = uneven::Decisions {
    moves_reads: true,
    reports_refusals: true,
};

/// Guards against reads that are refused at a busy member while another one could serve them.
#[test]
fn more_on_time() {
    for deployment in uneven::DEPLOYMENTS.iter().filter(|d| d.is_uneven) {
        let former = uneven::run(deployment, FORMER, flood::SEED);
        let present = uneven::run(deployment, PRESENT, flood::SEED);
        let (former, present) = (former.total(), present.total());
        assert!(present.on_time > former.on_time, "{present:?} {former:?}");
        assert!(present.refused <= former.refused, "{present:?} {former:?}");
    }
}

/// Guards against a cost of the new decisions where nothing is uneven.
#[test]
fn even_load_unchanged() {
    for deployment in uneven::DEPLOYMENTS.iter().filter(|d| !d.is_uneven) {
        let former = uneven::run(deployment, FORMER, flood::SEED).total();
        let present = uneven::run(deployment, PRESENT, flood::SEED).total();
        assert!(present.on_time >= former.on_time, "{present:?} {former:?}");
        assert_eq!(present.refused, 0);
    }
}
