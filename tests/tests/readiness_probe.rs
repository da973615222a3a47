//! The readiness probe and the metrics over HTTP.

use std::net;
use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::load;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

async fn get(address: net::SocketAddr, path: &str) -> String {
    let mut socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("connects");
    let request = format!("GET {path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.expect("answer");
    answer
}

fn status_of(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_before_refusal() {
    let mut cluster = cluster::Cluster::start().await;
    let metrics = cluster.instances[1].addresses.metrics;
    assert_eq!(status_of(&get(metrics, "/ready").await), "200");
    let mut instance = cluster.remove_leaving(1);
    let stopping = tokio::spawn(async move { instance.stop(time::Duration::from_secs(20)).await });
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while status_of(&get(metrics, "/ready").await) != "503" {
        assert!(tokio::time::Instant::now() < deadline, "stays ready");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    // Serves callers that haven't noticed the probe's answer yet.
    let late_client = cluster.connect(1).await;
    late_client.batch_execute("SELECT 1").await.expect("served");
    assert_eq!(stopping.await.expect("stops"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_without_config() {
    let mut cluster = cluster::Cluster::start().await;
    cluster.platform.set_down(true);
    for instance in &mut cluster.instances {
        // Leaves no instance that could send its configuration to the new one.
        instance.kill();
    }
    let new_instance = cluster.start_instance("entry-d", "a").await;
    let answer = get(new_instance.addresses.metrics, "/ready").await;
    assert_eq!(status_of(&answer), "503", "{answer}");
    cluster.platform.set_down(false);
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while status_of(&get(new_instance.addresses.metrics, "/ready").await) != "200" {
        assert!(tokio::time::Instant::now() < deadline, "never ready");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn histogram_for_each_rank() {
    let cluster = cluster::Cluster::start().await;
    load::create_table(&cluster.connect(0).await).await;
    for rank in ["urgent", "bulk"] {
        let options = format!("-c cardamomhold.rank={rank}");
        let client = cluster.connect_with(1, &options).await;
        client.batch_execute("SELECT 1").await.expect("select");
    }
    let text = get(cluster.instances[1].addresses.metrics, "/metrics").await;
    for rank in ["urgent", "bulk"] {
        let count =
            format!("cardamomhold_statement_seconds_count{{group=\"bookings\",rank=\"{rank}\"}} 1");
        assert!(text.contains(&count), "{text}");
    }
}
