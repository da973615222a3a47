//! The extended protocol: prepared statements over pooled connections, pipelines and flush.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;
use pgwire::messages;
use pgwire::messages::extendedquery;

#[tokio::test(flavor = "multi_thread")]
async fn statements_survive_pooling() {
    let cluster = cluster::Cluster::start().await;
    let mut clients = Vec::new();
    for index in [0, 0, 1] {
        let client = cluster.connect(index).await;
        let statement = client.prepare(&format!("SELECT {index} + 1")).await;
        clients.push((index, client, statement.expect("prepare")));
    }
    for _ in 0..10 {
        for (index, client, statement) in &clients {
            let row = client.query_one(statement, &[]).await.expect("query");
            assert_eq!(row.get::<_, i64>(0), *index as i64 + 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_pipeline_in_order() {
    let cluster = cluster::Cluster::start().await;
    let (mut caller, _) = raw::Client::connect(cluster.instances[1].addresses.listen, &[]).await;
    for rows in 1..=5 {
        caller.send_execute(&format!("STREAM {rows} 10")).await;
        caller.send(&extendedquery::Sync::new()).await;
    }
    for rows in 1..=5 {
        let answer = caller.read_answer().await;
        assert_eq!(answer.rows, rows);
        assert_eq!(answer.tags, [format!("SELECT {rows}")]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn flush_returns_pending_answers() {
    let cluster = cluster::Cluster::start().await;
    for index in 0..2 {
        let (mut caller, _) =
            raw::Client::connect(cluster.instances[index].addresses.listen, &[]).await;
        caller.send_execute("SELECT 1").await;
        caller.send(&extendedquery::Flush::new()).await;
        loop {
            let message = caller.next().await.expect("an answer before the sync");
            if let messages::PgWireBackendMessage::CommandComplete(complete) = message {
                assert_eq!(complete.tag, "SELECT 1");
                break;
            }
        }
        caller.send(&extendedquery::Sync::new()).await;
        assert!(caller.read_answer().await.is_ready);
        assert_eq!(caller.query("SELECT 1").await.rows, 1);
    }
}
