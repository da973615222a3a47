//! An endpoint that is leaving gets no new statements; its reads go to other replicas.

use std::time;

use cardamomhold_daemon::monitor;
use cardamomhold_tests::cluster;

/// Time after which a leaving endpoint must get no new statements.
const MAX_REROUTE_DELAY: time::Duration = time::Duration::from_secs(3);

/// Number of reads in a round, after which the members' statement counts are compared.
const READS_PER_ROUND: usize = 40;

/// Index of the replica in the zone of the instance that reads.
const NEAR_REPLICA: usize = 1;

/// Index of the replica in another zone.
const FAR_REPLICA: usize = 2;

async fn connect_reader(cluster: &cluster::Cluster) -> tokio_postgres::Client {
    cluster
        .connect_with(NEAR_REPLICA, "-c cardamomhold.read_kind=report")
        .await
}

async fn run_reads(client: &tokio_postgres::Client) {
    for _ in 0..READS_PER_ROUND {
        client.batch_execute("SELECT 1").await.expect("read");
    }
}

/// Repeats rounds of reads until none of a round runs at the given member.
async fn await_unused(cluster: &cluster::Cluster, client: &tokio_postgres::Client, index: usize) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let before = cluster.members[index].slot_requests();
        run_reads(client).await;
        if cluster.members[index].slot_requests() == before {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "member keeps getting reads"
        );
    }
}

/// Checks that reads run at the far replica only.
async fn check_only_far_serves(cluster: &cluster::Cluster, client: &tokio_postgres::Client) {
    let served =
        || [0, NEAR_REPLICA, FAR_REPLICA].map(|index| cluster.members[index].slot_requests());
    let before = served();
    run_reads(client).await;
    let after = served();
    assert_eq!(after[0], before[0], "the primary gets nothing");
    assert_eq!(after[1], before[1], "the leaving replica gets nothing");
    assert!(
        after[2] >= before[2] + READS_PER_ROUND,
        "the other replica serves"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_reads() {
    let cluster = cluster::Cluster::start().await;
    let client = connect_reader(&cluster).await;
    let before = cluster.members[NEAR_REPLICA].slot_requests();
    run_reads(&client).await;
    assert!(cluster.members[NEAR_REPLICA].slot_requests() >= before + READS_PER_ROUND);
    cluster.platform.set_down(true);
    cluster.members[NEAR_REPLICA].set_leaving(true).await;
    await_unused(&cluster, &client, NEAR_REPLICA).await;
    check_only_far_serves(&cluster, &client).await;
    cluster.members[NEAR_REPLICA].set_leaving(false).await;
    await_unused(&cluster, &client, FAR_REPLICA).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_endpoint_gets_no_reads() {
    let cluster = cluster::Cluster::start().await;
    let client = connect_reader(&cluster).await;
    run_reads(&client).await;
    cluster.drain(NEAR_REPLICA);
    await_unused(&cluster, &client, NEAR_REPLICA).await;
    check_only_far_serves(&cluster, &client).await;
}

#[test]
fn status_is_recent_enough() {
    // Maximum age of a member's status when the owner chooses an endpoint.
    assert!(monitor::STATUS_WAIT + monitor::RETRY_PAUSE < MAX_REROUTE_DELAY);
}
