//! The primary's process dies, and comes back.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_back() {
    let (mut bed, mut writers) = writer::start_all().await;
    bed.members[0].kill().await;
    writer::progress(&mut writers, 20).await;
    let leadership = writer::leadership_of(&bed);
    assert!(leadership.term > position::Term(1));
    bed.members[0].restart().await.expect("restart");
    writer::progress(&mut writers, 20).await;
    let journal = writer::check(&bed, writers).await;
    assert_eq!(
        journal.refused, [0_i64; 0],
        "statements wait for the new primary"
    );
    writer::await_level(&bed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_in_turn() {
    let (mut bed, mut writers) = writer::start_all().await;
    for _ in 0..2 {
        let primary = writer::leadership_of(&bed).primary;
        let name = primary.map_or("bookings-a".to_owned(), |p| p.to_string());
        let at = ["bookings-a", "bookings-b", "bookings-c"]
            .iter()
            .position(|n| *n == name)
            .expect("member");
        bed.members[at].kill().await;
        writer::progress(&mut writers, 10).await;
        bed.members[at].restart().await.expect("restart");
        writer::await_term(&bed).await;
    }
    assert!(writer::leadership_of(&bed).term >= position::Term(3));
    writer::check(&bed, writers).await;
    writer::await_level(&bed).await;
}
