//! The primary's zone is cut off: only the instance in that zone reaches the primary.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn isolated_primary_is_replaced() {
    let (cluster, mut writers) = writer::start_cluster().await;
    let faults = cluster.members[0].faults();
    faults.isolate_from(["cardamomhold/entry-b", "cardamomhold/entry-c", "member/"]);
    writer::await_progress(&mut writers, 20).await;
    assert!(writer::read_leadership(&cluster).term > position::Term(1));
    // The old primary reconnects with writes that were never confirmed.
    faults.isolate_from([]);
    writer::await_progress(&mut writers, 20).await;
    writer::check(&cluster, writers).await;
    writer::await_caught_up(&cluster).await;
}
