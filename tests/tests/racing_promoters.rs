//! An instance that drives a change of primary freezes during it, and races the instances
//! that continued the change.

use std::time;

use cardamomhold_core::position;
use cardamomhold_tests::writer;

#[tokio::test(flavor = "multi_thread")]
async fn frozen_driver_loses_no_writes() {
    let (mut cluster, mut writers) = writer::start_cluster().await;
    cluster.members[0].kill().await;
    // Freezes the first driver at whatever step the change has reached; when it resumes,
    // other instances have continued the change.
    let pause = time::Duration::from_millis(230);
    tokio::time::sleep(pause).await;
    let freeze = cluster.instances[1].freeze().await;
    writers[2].await_progress(10).await;
    drop(freeze);
    writer::await_progress(&mut writers, 10).await;
    cluster.members[0].restart().await.expect("restart");
    assert!(writer::read_leadership(&cluster).term > position::Term(1));
    writer::check(&cluster, writers).await;
    writer::await_caught_up(&cluster).await;
}
