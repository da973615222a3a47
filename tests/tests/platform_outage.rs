//! The platform is down, alone and together with the primary; answers of it are lost.

use std::time;

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn outage_alone() {
    let (bed, mut writers) = writer::start_all().await;
    bed.platform.set_down(true);
    writer::progress(&mut writers, 100).await;
    bed.platform.set_down(false);
    let journal = writer::check(&bed, writers).await;
    assert_eq!((journal.refused.len(), journal.unknown.len()), (0, 0));
    assert_eq!(writer::leadership_of(&bed).term, position::Term(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_and_death() {
    let (mut bed, mut writers) = writer::start_all().await;
    bed.platform.set_down(true);
    bed.members[0].kill().await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(writer::leadership_of(&bed).term, position::Term(1));
    bed.platform.lose_answers(2);
    bed.platform.set_down(false);
    writer::progress(&mut writers, 20).await;
    assert!(writer::leadership_of(&bed).term > position::Term(1));
    bed.members[0].restart().await.expect("restart");
    writer::check(&bed, writers).await;
    writer::await_level(&bed).await;
}
