//! Idle transactions occupy no slot of the endpoint, so they don't block other callers.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

/// Number of idle transactions: more than the endpoint's slots, fewer than its pooled
/// connections.
const IDLE_CALLERS: usize = 10;

#[tokio::test(flavor = "multi_thread")]
async fn idle_transactions_hold_no_slot() {
    let cluster = cluster::Cluster::start().await;
    let address = cluster.instances[0].addresses.listen;
    let mut idle_callers = Vec::new();
    for _ in 0..IDLE_CALLERS {
        let (mut caller, _) = raw::Client::connect(address, &[]).await;
        assert_eq!(caller.query("BEGIN").await.code, "");
        assert_eq!(caller.query("SELECT 1").await.rows, 1);
        idle_callers.push(caller);
    }
    let (mut other, _) = raw::Client::connect(address, &[]).await;
    assert_eq!(other.query("SELECT 2").await.rows, 1);
    for caller in &mut idle_callers {
        assert_eq!(caller.query("COMMIT").await.code, "");
    }
}
