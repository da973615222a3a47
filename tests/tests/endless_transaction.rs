//! Transactions that their callers leave open are ended after the grace time of a stop or
//! after the idle timeout: the caller gets an error, and uncommitted writes are rolled back. A
//! statement that still runs at the end of the grace time has an unknown outcome.

use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::load;

/// Grace time of a stop, shorter than the transactions of these tests.
const STOP_GRACE: time::Duration = time::Duration::from_millis(200);

/// Stop rule with a short timeout for idle transactions.
const SHORT_IDLE_RULE: &str = r#"{"author":"test","change":"1","spec":{"stop_rule":
    {"notice_ms":0,"grace_ms":1000,"idle_ms":150}}}"#;

async fn begin_insert(client: &tokio_postgres::Client) {
    client.batch_execute("BEGIN").await.expect("begin");
    client
        .batch_execute("INSERT INTO booking VALUES ('never')")
        .await
        .expect("insert");
}

#[tokio::test(flavor = "multi_thread")]
async fn local_transaction_ends_at_grace() {
    let mut cluster = cluster::Cluster::start().await;
    let other = cluster.connect(2).await;
    load::create_table(&other).await;
    let client = cluster.connect(1).await;
    begin_insert(&client).await;
    let mut instance = cluster.remove_leaving(1);
    assert_eq!(
        instance.stop(STOP_GRACE).await,
        1,
        "one transaction was ended"
    );
    let error = client.batch_execute("COMMIT").await.expect_err("ended");
    assert!(
        error.is_closed() || cluster::sqlstate(&error) == "57P01",
        "{error:?}"
    );
    assert_eq!(cluster::count_rows(&other, "booking").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn remote_transaction_ends_at_grace() {
    let mut cluster = cluster::Cluster::start().await;
    let other = cluster.connect(2).await;
    load::create_table(&other).await;
    let client = cluster.connect(1).await;
    begin_insert(&client).await;
    let mut owner = cluster.remove_leaving(0);
    assert_eq!(owner.stop(STOP_GRACE).await, 1, "one transaction was ended");
    let error = client.batch_execute("COMMIT").await.expect_err("ended");
    assert_eq!(cluster::sqlstate(&error), "57P01", "{error:?}");
    assert_eq!(cluster::count_rows(&other, "booking").await, 0);
    client
        .batch_execute("SELECT 1")
        .await
        .expect("connection still works");
}

#[tokio::test(flavor = "multi_thread")]
async fn running_statement_outcome_is_unknown() {
    // Instance 0 owns the primary; instance 1 reaches it through a stream to the owner.
    for index in [0, 1] {
        let mut cluster = cluster::Cluster::start().await;
        let client = cluster.connect(index).await;
        let before = cluster.members[0].slot_requests();
        let running = tokio::spawn(async move { client.batch_execute("SLEEP 9000").await });
        cluster.await_slot_request(0, before).await;
        let mut instance = cluster.remove_leaving(index);
        assert_eq!(
            instance.stop(STOP_GRACE).await,
            1,
            "one statement was ended"
        );
        let error = running.await.expect("answered").expect_err("unknown");
        assert_eq!(cluster::sqlstate(&error), "08007", "{error:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_transaction_is_ended() {
    let cluster = cluster::Cluster::start().await;
    let other = cluster.connect(2).await;
    load::create_table(&other).await;
    cluster
        .platform
        .store("config/stop_rule/default", SHORT_IDLE_RULE.as_bytes());
    for index in 0..3 {
        // Retries until the instance applies the rule.
        let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
        loop {
            let client = cluster.connect(index).await;
            client.batch_execute("BEGIN").await.expect("begin");
            tokio::time::sleep(time::Duration::from_millis(400)).await;
            if let Err(error) = client.batch_execute("SELECT 1").await {
                assert_eq!(cluster::sqlstate(&error), "25P03", "{error:?}");
                break;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "idle transaction is never ended"
            );
        }
    }
}
