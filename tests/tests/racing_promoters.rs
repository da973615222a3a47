//! Instances that drive a change pause or die in the middle of it, and race each other.

use std::time;

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn paused_in_turn() {
    let (mut bed, mut writers) = writer::start_all().await;
    bed.members[0].kill().await;
    // Wherever the change stands by now, its first driver stops, and comes back to a
    // change that others went on with.
    let pause = time::Duration::from_millis(230);
    tokio::time::sleep(pause).await;
    let frozen = bed.instances[1].freeze().await;
    writers[2].progress(10).await;
    drop(frozen);
    writer::progress(&mut writers, 10).await;
    bed.members[0].restart().await.expect("restart");
    assert!(writer::leadership_of(&bed).term > position::Term(1));
    writer::check(&bed, writers).await;
    writer::await_level(&bed).await;
}
