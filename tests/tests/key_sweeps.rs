//! Keys that no instance accepts any more are deleted, and no other.

use std::time;

use cardamomhold_tests::cluster;

/// Messages of an answer with one row: columns, row, tag.
const ONE_ROW: usize = 3;

const OLD: &str = "01800000-0000-7000-8000-000000000000";

#[tokio::test(flavor = "multi_thread")]
async fn old_keys_go() {
    let mut cluster = cluster::Cluster::start().await;
    let client = cluster.connect(1).await;
    let created = client.batch_execute("CREATE TABLE payment (n BIGINT)");
    created.await.expect("create");
    let key = cluster::request_key();
    let set = format!("SET cardamomhold.request_key = '{key}'");
    client.batch_execute(&set).await.expect("set");
    let paid = client.batch_execute("INSERT INTO payment VALUES (1)");
    paid.await.expect("insert");
    let old = format!("INSERT INTO cardamomhold_request_key VALUES ('{OLD}', '')");
    client.batch_execute(&old).await.expect("insert");
    // The first sweep of an instance comes soon after its start.
    cluster.instances[0].kill();
    cluster.instances[0] = cluster.start_instance("entry-a", "a").await;
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    let select = "SELECT request_key FROM cardamomhold_request_key";
    while client
        .simple_query(select)
        .await
        .map_or(0, |rows| rows.len())
        != ONE_ROW
    {
        assert!(tokio::time::Instant::now() < deadline, "the old key stays");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    client.batch_execute(&set).await.expect("set");
    let again = client.batch_execute("INSERT INTO payment VALUES (1)");
    again.await.expect("the kept answer");
    assert_eq!(cluster::count_rows(&client, "payment").await, 1);
}
