//! The primary stops answering for a while, as a paused machine does.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_thawed() {
    let (bed, mut writers) = writer::start_all().await;
    bed.members[0].faults().freeze(true);
    writer::progress(&mut writers, 20).await;
    assert!(writer::leadership_of(&bed).term > position::Term(1));
    bed.members[0].faults().freeze(false);
    writer::progress(&mut writers, 20).await;
    writer::check(&bed, writers).await;
    writer::await_level(&bed).await;
}
