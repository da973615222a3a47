//! An instance enforces the connection limit that is configured for a caller.

use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

#[tokio::test(flavor = "multi_thread")]
async fn refuses_third_connection() {
    let cluster = cluster::Cluster::start().await;
    let limit = r#"{"author":"test","change":"1","spec":{"caller":{"weight":1,"connections":2}}}"#;
    cluster
        .platform
        .store("config/caller/small", limit.as_bytes());
    let address = cluster.instances[0].addresses.listen;
    let small = [("user", "small")];
    let mut connections = Vec::new();
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    // Retries until the instance has received the limit.
    loop {
        let (caller, answer) = raw::Client::connect(address, &small).await;
        if answer.code == "53300" {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "never refused");
        connections.push(caller);
        if connections.len() > 2 {
            connections.clear();
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
    let (other, answer) = raw::Client::connect(address, &[]).await;
    assert!(answer.is_ready, "another caller is accepted");
    drop((connections, other));
    loop {
        let (_, answer) = raw::Client::connect(address, &small).await;
        if answer.is_ready {
            break;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "no connection is freed"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
