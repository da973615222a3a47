//! Transactions whose callers think hold no place that others wait for.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

/// More than the endpoint's slots, fewer than its pooled connections.
const THINKERS: usize = 10;

#[tokio::test(flavor = "multi_thread")]
async fn thinkers_block_nobody() {
    let cluster = cluster::Cluster::start().await;
    let address = cluster.instances[0].addresses.listen;
    let mut thinkers = Vec::new();
    for _ in 0..THINKERS {
        let (mut caller, _) = raw::Client::connect(address, &[]).await;
        assert_eq!(caller.query("BEGIN").await.code, "");
        assert_eq!(caller.query("SELECT 1").await.rows, 1);
        thinkers.push(caller);
    }
    let (mut other, _) = raw::Client::connect(address, &[]).await;
    assert_eq!(other.query("SELECT 2").await.rows, 1);
    for caller in &mut thinkers {
        assert_eq!(caller.query("COMMIT").await.code, "");
    }
}
