//! The primary stops answering for a while, like a paused machine, and is replaced.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn frozen_primary_is_replaced() {
    let (cluster, mut writers) = writer::start_cluster().await;
    cluster.members[0].faults().freeze(true);
    writer::await_progress(&mut writers, 20).await;
    assert!(writer::read_leadership(&cluster).term > position::Term(1));
    cluster.members[0].faults().freeze(false);
    writer::await_progress(&mut writers, 20).await;
    writer::check(&cluster, writers).await;
    writer::await_caught_up(&cluster).await;
}
