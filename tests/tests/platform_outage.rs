//! Outages of the platform, alone and together with a killed primary and with lost answers.

use std::time;

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn writes_continue_during_outage() {
    let (cluster, mut writers) = writer::start_cluster().await;
    cluster.platform.set_down(true);
    writer::await_progress(&mut writers, 100).await;
    cluster.platform.set_down(false);
    let outcomes = writer::check(&cluster, writers).await;
    assert_eq!((outcomes.refused.len(), outcomes.unknown.len()), (0, 0));
    assert_eq!(writer::read_leadership(&cluster).term, position::Term(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn failover_waits_for_platform() {
    let (mut cluster, mut writers) = writer::start_cluster().await;
    cluster.platform.set_down(true);
    cluster.members[0].kill().await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(writer::read_leadership(&cluster).term, position::Term(1));
    cluster.platform.lose_answers(2);
    cluster.platform.set_down(false);
    writer::await_progress(&mut writers, 20).await;
    assert!(writer::read_leadership(&cluster).term > position::Term(1));
    cluster.members[0].restart().await.expect("restart");
    writer::check(&cluster, writers).await;
    writer::await_caught_up(&cluster).await;
}
