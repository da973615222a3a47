//! An endpoint that is leaving gets no new work, and its reads go to other replicas.

use std::time;

use cardamomhold_daemon::monitor;
use cardamomhold_tests::cluster;

/// Time within which a leaving endpoint must get no new work.
const TARGET: time::Duration = time::Duration::from_secs(3);

/// Reads whose places are counted.
const READS: usize = 40;

/// The replica in the zone of the instance that reads.
const NEAR: usize = 1;

/// The other replica.
const FAR: usize = 2;

async fn reader(cluster: &cluster::Cluster) -> tokio_postgres::Client {
    cluster
        .connect_with(NEAR, "-c cardamomhold.read_kind=report")
        .await
}

async fn read(client: &tokio_postgres::Client) {
    for _ in 0..READS {
        client.batch_execute("SELECT 1").await.expect("read");
    }
}

/// Reads until a whole round leaves a member out.
async fn await_spared(cluster: &cluster::Cluster, client: &tokio_postgres::Client, index: usize) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let before = cluster.members[index].served();
        read(client).await;
        if cluster.members[index].served() == before {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "gets work for ever");
    }
}

/// Checks that reads run at the far replica alone.
async fn check_far(cluster: &cluster::Cluster, client: &tokio_postgres::Client) {
    let served = || [0, NEAR, FAR].map(|index| cluster.members[index].served());
    let before = served();
    read(client).await;
    let after = served();
    assert_eq!(after[0], before[0], "the primary is spared");
    assert_eq!(after[1], before[1], "the leaving replica gets nothing");
    assert!(after[2] >= before[2] + READS, "the other replica serves");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_gets_none() {
    let cluster = cluster::Cluster::start().await;
    let client = reader(&cluster).await;
    let before = cluster.members[NEAR].served();
    read(&client).await;
    assert!(cluster.members[NEAR].served() >= before + READS);
    cluster.platform.set_down(true);
    cluster.members[NEAR].set_leaving(true).await;
    await_spared(&cluster, &client, NEAR).await;
    check_far(&cluster, &client).await;
    cluster.members[NEAR].set_leaving(false).await;
    await_spared(&cluster, &client, FAR).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_gets_none() {
    let cluster = cluster::Cluster::start().await;
    let client = reader(&cluster).await;
    read(&client).await;
    cluster.drain(NEAR);
    await_spared(&cluster, &client, NEAR).await;
    check_far(&cluster, &client).await;
}

#[test]
fn news_come_in_time() {
    // A member's status is this old at most when the owner decides.
    assert!(monitor::STATUS_WAIT + monitor::RETRY_PAUSE < TARGET);
}
