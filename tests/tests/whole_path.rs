//! Requests through real instances to the endpoints: reads of own writes, transactions,
//! request keys and declared reads.

use cardamomhold_tests::cluster;

#[tokio::test(flavor = "multi_thread")]
async fn own_writes_visible_at_any_instance() {
    let cluster = cluster::Cluster::start().await;
    let first = cluster.connect(0).await;
    first
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    for index in 0..3 {
        first
            .execute("INSERT INTO booking VALUES ($1)", &[&"Berga"])
            .await
            .expect("insert");
        let options = format!(
            "-c cardamomhold.session_token={} -c cardamomhold.read_kind=report",
            cluster::session_token(&first).await
        );
        let other = cluster.connect_with(index, &options).await;
        assert_eq!(
            cluster::count_rows(&other, "booking").await,
            index as i64 + 1
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_is_pinned() {
    let cluster = cluster::Cluster::start().await;
    let mut client = cluster.connect(1).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('a')", &[])
        .await
        .expect("insert");
    let other = cluster.connect(2).await;
    assert_eq!(cluster::count_rows(&other, "booking").await, 0);
    transaction
        .execute("INSERT INTO booking VALUES ('b')", &[])
        .await
        .expect("insert");
    transaction.commit().await.expect("commit");
    assert_eq!(cluster::count_rows(&other, "booking").await, 2);
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('c')", &[])
        .await
        .expect("insert");
    transaction.rollback().await.expect("rollback");
    assert_eq!(cluster::count_rows(&other, "booking").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once() {
    let cluster = cluster::Cluster::start().await;
    let client = cluster.connect(0).await;
    client
        .batch_execute("CREATE TABLE payment (n BIGINT)")
        .await
        .expect("create");
    let key = cluster::request_key();
    for index in [0, 1, 2, 0] {
        let caller = cluster
            .connect_with(index, &format!("-c cardamomhold.request_key={key}"))
            .await;
        let changed = caller
            .execute("INSERT INTO payment VALUES (1)", &[])
            .await
            .expect("insert");
        assert_eq!(changed, 1, "the stored answer is repeated");
    }
    assert_eq!(cluster::count_rows(&client, "payment").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_read_never_writes() {
    let cluster = cluster::Cluster::start().await;
    let client = cluster.connect(0).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    for index in 0..3 {
        let reader = cluster
            .connect_with(index, "-c cardamomhold.read_kind=report")
            .await;
        let error = reader
            .execute("INSERT INTO booking VALUES ('x')", &[])
            .await
            .expect_err("refused");
        assert_eq!(cluster::sqlstate(&error), "25006");
    }
    assert_eq!(cluster::count_rows(&client, "booking").await, 0);
}
