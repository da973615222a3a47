//! The endpoint's answer is lost after the commit took effect.

use cardamomhold_tests::cluster;

async fn start() -> (cluster::Cluster, tokio_postgres::Client) {
    let cluster = cluster::Cluster::start().await;
    let client = cluster.connect(1).await;
    let created = client.batch_execute("CREATE TABLE payment (n BIGINT)");
    created.await.expect("create");
    (cluster, client)
}

async fn set_key(client: &tokio_postgres::Client, key: &str) {
    let set = format!("SET cardamomhold.request_key = '{key}'");
    client.batch_execute(&set).await.expect("set");
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_write_is_confirmed() {
    let (cluster, client) = start().await;
    for n in 0..3 {
        set_key(&client, &cluster::request_key()).await;
        cluster.members[0].faults().lose_answers(1);
        let changed = client.execute("INSERT INTO payment VALUES (1)", &[]).await;
        assert_eq!(changed.expect("stored answer"), 1);
        assert_eq!(cluster::count_rows(&client, "payment").await, n + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_write_is_unknown() {
    let (cluster, client) = start().await;
    cluster.members[0].faults().lose_answers(1);
    let lost = client.batch_execute("INSERT INTO payment VALUES (1)").await;
    assert_eq!(cluster::sqlstate(&lost.expect_err("unknown")), "08007");
    assert_eq!(cluster::count_rows(&client, "payment").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answer_is_unknown() {
    let (cluster, client) = start().await;
    let key = cluster::request_key();
    set_key(&client, &key).await;
    for text in ["BEGIN", "INSERT INTO payment VALUES (1)"] {
        client.batch_execute(text).await.expect("run");
    }
    cluster.members[0].faults().lose_answers(1);
    let lost = client.batch_execute("COMMIT").await;
    assert_eq!(cluster::sqlstate(&lost.expect_err("unknown")), "08007");
    let other = cluster.connect(2).await;
    set_key(&other, &key).await;
    let repeated = other.batch_execute("BEGIN").await;
    assert_eq!(
        cluster::sqlstate(&repeated.expect_err("ran before")),
        "23505"
    );
    assert_eq!(cluster::count_rows(&other, "payment").await, 1);
}
