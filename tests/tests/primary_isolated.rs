//! The primary's zone is cut off: only the instance beside it reaches the primary.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn isolated_and_back() {
    let (bed, mut writers) = writer::start_all().await;
    let faults = bed.members[0].faults();
    faults.isolate_from(["cardamomhold/entry-b", "cardamomhold/entry-c", "member/"]);
    writer::progress(&mut writers, 20).await;
    assert!(writer::leadership_of(&bed).term > position::Term(1));
    // The old primary comes back with writes that were never confirmed.
    faults.isolate_from([]);
    writer::progress(&mut writers, 20).await;
    writer::check(&bed, writers).await;
    writer::await_level(&bed).await;
}
