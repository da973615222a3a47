//! Open connections to an endpoint stop answering for good, while new ones work.

use std::time;

use cardamomhold_daemon::checkout;
use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

/// Number of connections that are idle when they go silent; the instance itself may use
/// some of them.
const IDLE_CONNECTIONS: usize = 4;

async fn connect(cluster: &cluster::Cluster, deadline: &str) -> raw::Client {
    let address = cluster.instances[0].addresses.listen;
    let (raw, answer) =
        raw::Client::connect(address, &[("cardamomhold.deadline_ms", deadline)]).await;
    assert!(answer.is_ready);
    raw
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_checked() {
    let cluster = cluster::Cluster::start().await;
    let mut callers = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut caller = connect(&cluster, "10000").await;
        assert_eq!(caller.query("BEGIN").await.code, "");
        callers.push(caller);
    }
    for caller in &mut callers {
        assert_eq!(caller.query("COMMIT").await.code, "");
    }
    cluster.members[0].hang_connections();
    tokio::time::sleep(checkout::MAX_UNCHECKED_IDLE + time::Duration::from_millis(200)).await;
    for caller in &mut callers {
        assert_eq!(
            caller.query("BEGIN").await.code,
            "",
            "a silent connection is used"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_in_use_fails() {
    let cluster = cluster::Cluster::start().await;
    let mut slow = connect(&cluster, "3000").await;
    slow.query("CREATE TABLE booking (n BIGINT)").await;
    assert_eq!(slow.query("BEGIN").await.code, "");
    cluster.members[0].hang_connections();
    slow.send_query("INSERT INTO booking VALUES (1)").await;
    // Other callers can use new connections meanwhile, whether or not the idle connections
    // were detected as silent.
    let mut other = connect(&cluster, "500").await;
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let answer = other.query("SELECT n FROM booking").await;
        if answer.code.is_empty() {
            break;
        }
        println!("{answer:?}");
        assert!(tokio::time::Instant::now() < deadline, "{answer:?}");
    }
    let answer = slow.read_answer().await;
    assert_eq!(answer.code, "08007");
    assert!(answer.is_ready);
    loop {
        let answer = slow.query("INSERT INTO booking VALUES (2)").await;
        if answer.code.is_empty() {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "{answer:?}");
    }
    assert_eq!(
        other.query("SELECT n FROM booking WHERE n = 1").await.rows,
        0
    );
}
