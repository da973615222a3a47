//! Large answers are streamed, and end with every row sent or with an error.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

async fn connect_reader(cluster: &cluster::Cluster) -> raw::Client {
    let read_kind = ("cardamomhold.read_kind", "report");
    let deadline = ("cardamomhold.deadline_ms", "60000");
    let (raw, answer) = raw::Client::connect(
        cluster.instances[1].addresses.listen,
        &[read_kind, deadline],
    )
    .await;
    assert!(answer.is_ready);
    raw
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_not_repeated() {
    let mut cluster = cluster::Cluster::start().await;
    let mut caller = connect_reader(&cluster).await;
    caller.send_query("STREAM 20000 1000").await;
    let mut rows = 0;
    while rows < 100 {
        let message = caller.next().await.expect("rows");
        rows += usize::from(matches!(
            message,
            pgwire::messages::PgWireBackendMessage::DataRow(_)
        ));
    }
    cluster.members[1].kill().await;
    let answer = caller.read_answer().await;
    assert!(answer.is_ready);
    assert_ne!(
        answer.code, "",
        "answer without the missing rows has an error"
    );
    assert!(rows + answer.rows < 20_000, "rows of a second attempt");
    assert_eq!(caller.query("STREAM 7 10").await.rows, 7);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_gets_every_row() {
    let cluster = cluster::Cluster::start().await;
    let mut caller = connect_reader(&cluster).await;
    caller.send_query("STREAM 1000000 1000").await;
    let mut sent = 0;
    // Backpressure stops the endpoint once the buffers between it and the caller are full.
    loop {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let now = cluster.members[1].streamed_rows();
        if now == sent && now > 0 {
            break;
        }
        sent = now;
        assert!(
            sent < 500_000,
            "{sent} rows sent to a reader that has stopped"
        );
    }
    let answer = caller.read_answer().await;
    assert_eq!((answer.rows, answer.code.as_str()), (1_000_000, ""));
}
