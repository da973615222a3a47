//! Pooled connections keep sessions apart: settings apply to their own session only, and an
//! abandoned transaction is rolled back.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

async fn connect(cluster: &cluster::Cluster) -> raw::Client {
    let (caller, answer) = raw::Client::connect(cluster.instances[0].addresses.listen, &[]).await;
    assert!(answer.is_ready);
    caller
}

async fn show(caller: &tokio_postgres::Client, name: &str) -> String {
    let messages = caller.simple_query(&format!("SHOW {name}")).await;
    for message in messages.expect("show") {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            return row.get(0).unwrap_or_default().to_owned();
        }
    }
    unreachable!("a row")
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_follow_session() {
    let cluster = cluster::Cluster::start().await;
    let first = cluster.connect(0).await;
    let second = cluster.connect(0).await;
    first
        .batch_execute("SET work_mem = '8MB'")
        .await
        .expect("set");
    for _ in 0..5 {
        assert_eq!(show(&first, "work_mem").await, "8MB");
        assert_eq!(show(&second, "work_mem").await, "");
    }
    first.batch_execute("RESET ALL").await.expect("reset");
    assert_eq!(show(&first, "work_mem").await, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn rollback_undoes_set() {
    let cluster = cluster::Cluster::start().await;
    let client = cluster.connect(0).await;
    for (end, expected) in [("ROLLBACK", ""), ("COMMIT", "8MB")] {
        for text in ["BEGIN", "SET work_mem = '8MB'", end] {
            client.batch_execute(text).await.expect("run");
        }
        assert_eq!(show(&client, "work_mem").await, expected, "after {end}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn mixed_batch_runs_once() {
    let cluster = cluster::Cluster::start().await;
    let mut caller = connect(&cluster).await;
    caller.query("CREATE TABLE booking (n BIGINT)").await;
    let answer = caller
        .query("SET work_mem = '8MB'; INSERT INTO booking VALUES (1)")
        .await;
    assert_eq!(answer.tags, ["SET", "INSERT 0 1"]);
    for _ in 0..3 {
        let answer = caller.query("SELECT n FROM booking").await;
        assert_eq!(answer.rows, 1, "the insert runs once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_transaction_is_rolled_back() {
    let cluster = cluster::Cluster::start().await;
    let mut caller = connect(&cluster).await;
    caller.query("CREATE TABLE booking (n BIGINT)").await;
    for _ in 0..4 {
        let mut abandoned = connect(&cluster).await;
        for text in ["BEGIN", "INSERT INTO booking VALUES (1)"] {
            assert_eq!(abandoned.query(text).await.code, "");
        }
        drop(abandoned);
        let answer = caller.query("SELECT n FROM booking").await;
        assert_eq!((answer.rows, answer.code.as_str()), (0, ""));
    }
}
