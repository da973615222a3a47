//! Sweeps delete the request keys that no instance accepts any longer, and no others.

use std::time;

use cardamomhold_tests::cluster;

/// Number of messages in an answer with one row: columns, row, tag.
const ONE_ROW_MESSAGES: usize = 3;

/// Request key with a timestamp older than the key retention.
const EXPIRED_KEY: &str = "01800000-0000-7000-8000-000000000000";

#[tokio::test(flavor = "multi_thread")]
async fn deletes_expired_keys() {
    let mut cluster = cluster::Cluster::start().await;
    let client = cluster.connect(1).await;
    let created = client.batch_execute("CREATE TABLE payment (n BIGINT)");
    created.await.expect("create");
    let key = cluster::request_key();
    let set = format!("SET cardamomhold.request_key = '{key}'");
    client.batch_execute(&set).await.expect("set");
    let inserted = client.batch_execute("INSERT INTO payment VALUES (1)");
    inserted.await.expect("insert");
    let insert_expired =
        format!("INSERT INTO cardamomhold_request_key VALUES ('{EXPIRED_KEY}', '')");
    client.batch_execute(&insert_expired).await.expect("insert");
    // An instance sweeps soon after its start.
    cluster.instances[0].kill();
    cluster.instances[0] = cluster.start_instance("entry-a", "a").await;
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    let select = "SELECT request_key FROM cardamomhold_request_key";
    while client
        .simple_query(select)
        .await
        .map_or(0, |rows| rows.len())
        != ONE_ROW_MESSAGES
    {
        assert!(
            tokio::time::Instant::now() < deadline,
            "expired key is not deleted"
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    client.batch_execute(&set).await.expect("set");
    let repeated = client.batch_execute("INSERT INTO payment VALUES (1)");
    repeated.await.expect("stored answer");
    assert_eq!(cluster::count_rows(&client, "payment").await, 1);
}
