//! The primary's owner is killed during a transaction; the repeated request key runs once.

use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

#[tokio::test(flavor = "multi_thread")]
async fn keyed_write_runs_once() {
    let mut cluster = cluster::Cluster::start().await;
    let (mut caller, _) = raw::Client::connect(cluster.instances[1].addresses.listen, &[]).await;
    caller.query("CREATE TABLE payment (n BIGINT)").await;
    let key = cluster::request_key();
    let set = format!("SET cardamomhold.request_key = '{key}'");
    caller.query(&set).await;
    for text in ["BEGIN", "INSERT INTO payment VALUES (1)"] {
        assert_eq!(caller.query(text).await.code, "");
    }
    cluster.instances[0].kill();
    assert_eq!(caller.query("COMMIT").await.code, "08007");
    cluster.instances[0] = cluster.start_instance("entry-a", "a").await;
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        caller.query(&set).await;
        let answer = caller.query("INSERT INTO payment VALUES (1)").await;
        if answer.code.is_empty() {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "{answer:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let answer = caller.query("SELECT n FROM payment").await;
    assert_eq!(answer.rows, 1);
}
