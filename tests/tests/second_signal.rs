//! A second signal during a graceful stop ends the instance at once with its own exit code.

use cardamomhold_daemon::daemon;
use cardamomhold_daemon::shutdown;
use cardamomhold_tests::cluster;
use tokio::sync::oneshot;

/// Stop rule with a grace time longer than any test.
const LONG_GRACE_RULE: &str = r#"{"author":"test","change":"1","spec":{"stop_rule":
    {"notice_ms":0,"grace_ms":600000,"idle_ms":3600000}}}"#;

/// Stop rule without a notice period, so that an idle instance stops quickly.
const NO_NOTICE_RULE: &str = r#"{"author":"test","change":"1","spec":{"stop_rule":
    {"notice_ms":0,"grace_ms":20000,"idle_ms":60000}}}"#;

async fn start(cluster: &cluster::Cluster) -> daemon::Daemon {
    let settings = cluster.settings("entry-d", "a");
    let daemon = daemon::Daemon::start(&settings).await.expect("starts");
    daemon.ready().await;
    daemon
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_forces_exit() {
    let cluster = cluster::Cluster::start().await;
    cluster
        .platform
        .store("config/stop_rule/default", LONG_GRACE_RULE.as_bytes());
    let daemon = start(&cluster).await;
    let client = cluster.connect_to(daemon.listen()).await;
    client.batch_execute("BEGIN").await.expect("begin");
    let (signal, second) = oneshot::channel();
    let shutdown_task = tokio::spawn(shutdown::run(daemon, async {
        second.await.expect("signal");
    }));
    // The graceful stop waits for the open transaction.
    client
        .batch_execute("SELECT 1")
        .await
        .expect("transaction still works");
    assert!(!shutdown_task.is_finished());
    signal.send(()).expect("stop waits");
    let result = shutdown_task.await.expect("ends");
    assert_eq!(result, shutdown::Shutdown::Forced);
    assert_eq!(result.exit_code(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn first_signal_exits_cleanly() {
    let cluster = cluster::Cluster::start().await;
    cluster
        .platform
        .store("config/stop_rule/default", NO_NOTICE_RULE.as_bytes());
    let daemon = start(&cluster).await;
    let result = shutdown::run(daemon, std::future::pending()).await;
    assert_eq!(result, shutdown::Shutdown::Clean);
    assert_eq!(result.exit_code(), 0);
}
