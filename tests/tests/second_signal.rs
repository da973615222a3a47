//! A second signal ends an instance at once, and its exit code says so.

use cardamomhold_daemon::daemon;
use cardamomhold_daemon::shutdown;
use cardamomhold_tests::cluster;
use tokio::sync::oneshot;

/// Rules under which a graceful stop outlasts every test.
const LONG_GRACE: &str = r#"{"author":"test","change":"1","spec":{"stop_rule":
    {"notice_ms":0,"grace_ms":600000,"idle_ms":3600000}}}"#;

/// Rules under which a graceful stop with nothing in flight is quick.
const NO_NOTICE: &str = r#"{"author":"test","change":"1","spec":{"stop_rule":
    {"notice_ms":0,"grace_ms":20000,"idle_ms":60000}}}"#;

async fn start(cluster: &cluster::Cluster) -> daemon::Daemon {
    let settings = cluster.settings("entry-d", "a");
    let daemon = daemon::Daemon::start(&settings).await.expect("starts");
    daemon.ready().await;
    daemon
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends() {
    let cluster = cluster::Cluster::start().await;
    cluster
        .platform
        .store("config/stop_rule/default", LONG_GRACE.as_bytes());
    let daemon = start(&cluster).await;
    let client = cluster.connect_to(daemon.listen()).await;
    client.batch_execute("BEGIN").await.expect("begin");
    let (signal, second) = oneshot::channel();
    let ending = tokio::spawn(shutdown::run(daemon, async {
        second.await.expect("signal");
    }));
    // The open transaction holds the graceful stop up.
    client.batch_execute("SELECT 1").await.expect("goes on");
    assert!(!ending.is_finished());
    signal.send(()).expect("stop waits");
    let ended = ending.await.expect("ends");
    assert_eq!(ended, shutdown::Shutdown::Forced);
    assert_eq!(ended.exit_code(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn first_signal_waits() {
    let cluster = cluster::Cluster::start().await;
    cluster
        .platform
        .store("config/stop_rule/default", NO_NOTICE.as_bytes());
    let daemon = start(&cluster).await;
    let ended = shutdown::run(daemon, std::future::pending()).await;
    assert_eq!(ended, shutdown::Shutdown::Clean);
    assert_eq!(ended.exit_code(), 0);
}
