//! The primary is killed, replaced by another member, and restarted.

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn killed_primary_is_replaced() {
    let (mut cluster, mut writers) = writer::start_cluster().await;
    cluster.members[0].kill().await;
    writer::await_progress(&mut writers, 20).await;
    let leadership = writer::read_leadership(&cluster);
    assert!(leadership.term > position::Term(1));
    cluster.members[0].restart().await.expect("restart");
    writer::await_progress(&mut writers, 20).await;
    let outcomes = writer::check(&cluster, writers).await;
    assert_eq!(
        outcomes.refused, [0_i64; 0],
        "statements wait for the new primary"
    );
    writer::await_caught_up(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_failovers_in_sequence() {
    let (mut cluster, mut writers) = writer::start_cluster().await;
    for _ in 0..2 {
        let primary = writer::read_leadership(&cluster).primary;
        let name = primary.map_or("bookings-a".to_owned(), |p| p.to_string());
        let index = ["bookings-a", "bookings-b", "bookings-c"]
            .iter()
            .position(|n| *n == name)
            .expect("member");
        cluster.members[index].kill().await;
        writer::await_progress(&mut writers, 10).await;
        cluster.members[index].restart().await.expect("restart");
        writer::await_term(&cluster).await;
    }
    assert!(writer::read_leadership(&cluster).term >= position::Term(3));
    writer::check(&cluster, writers).await;
    writer::await_caught_up(&cluster).await;
}
