//! A session that moves between instances reads its own writes although the replicas lag.

use std::time;

use cardamomhold_tests::cluster;

#[tokio::test(flavor = "multi_thread")]
async fn reads_own_writes_despite_lag() {
    let cluster =
        cluster::Cluster::start_with(|o| o.apply_lag = time::Duration::from_millis(30)).await;
    let mut client = cluster.connect(0).await;
    let created = client.batch_execute("CREATE TABLE booking (farm TEXT)");
    created.await.expect("create");
    for n in 1..=12 {
        let insert = client.execute("INSERT INTO booking VALUES ('Berga')", &[]);
        insert.await.expect("insert");
        let token = cluster::session_token(&client).await;
        client = cluster
            .connect_with(n % 3, &format!("-c cardamomhold.session_token={token}"))
            .await;
        let set = "SET cardamomhold.read_kind = 'report'";
        client.batch_execute(set).await.expect("set");
        assert_eq!(cluster::count_rows(&client, "booking").await, n as i64);
        let reset = "RESET cardamomhold.read_kind";
        client.batch_execute(reset).await.expect("reset");
    }
}
