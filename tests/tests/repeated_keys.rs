//! Repeated request keys: at another instance, after a rollback, and with a batch that
//! contains transaction commands.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

async fn start() -> (cluster::Cluster, raw::Client) {
    let cluster = cluster::Cluster::start().await;
    let mut first = connect(&cluster, 0).await;
    first.query("CREATE TABLE payment (n BIGINT)").await;
    (cluster, first)
}

async fn connect(cluster: &cluster::Cluster, index: usize) -> raw::Client {
    let (raw, answer) = raw::Client::connect(cluster.instances[index].addresses.listen, &[]).await;
    assert!(answer.is_ready);
    raw
}

async fn set_key(caller: &mut raw::Client, key: &str) {
    let set = format!("SET cardamomhold.request_key = '{key}'");
    assert_eq!(caller.query(&set).await.tags, ["SET"]);
}

async fn count(cluster: &cluster::Cluster) -> i64 {
    cluster::count_rows(&cluster.connect(2).await, "payment").await
}

#[tokio::test(flavor = "multi_thread")]
async fn rollback_frees_key() {
    let (cluster, mut caller) = start().await;
    let key = cluster::request_key();
    for end in ["ROLLBACK", "COMMIT"] {
        set_key(&mut caller, &key).await;
        for text in ["BEGIN", "INSERT INTO payment VALUES (1)", end] {
            let answer = caller.query(text).await;
            assert_eq!(answer.code, "", "{text}");
        }
    }
    assert_eq!(count(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_key_commits_once() {
    let (cluster, mut first) = start().await;
    let key = cluster::request_key();
    set_key(&mut first, &key).await;
    for text in ["BEGIN", "INSERT INTO payment VALUES (1)"] {
        assert_eq!(first.query(text).await.code, "");
    }
    let mut second = connect(&cluster, 1).await;
    set_key(&mut second, &key).await;
    let answer = second.query("INSERT INTO payment VALUES (1)").await;
    assert_eq!(answer.tags, ["INSERT 0 1"]);
    assert_ne!(first.query("COMMIT").await.code, "");
    assert_eq!(count(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_hidden_commits() {
    let (cluster, mut caller) = start().await;
    let insert = "INSERT INTO payment VALUES (1)";
    for text in [
        format!("BEGIN; {insert}; COMMIT"),
        format!("ROLLBACK; {insert}"),
        format!("{insert}; COMMIT; {insert}"),
        "COMMIT".to_owned(),
    ] {
        set_key(&mut caller, &cluster::request_key()).await;
        let answer = caller.query(&text).await;
        assert_eq!(answer.code, "0A000", "{text}");
    }
    assert_eq!(count(&cluster).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn returned_rows_are_not_repeated() {
    let (cluster, mut caller) = start().await;
    let key = cluster::request_key();
    let mut codes = Vec::new();
    for _ in 0..2 {
        set_key(&mut caller, &key).await;
        let insert = "INSERT INTO payment VALUES (1) RETURNING n";
        let answer = caller.query(insert).await;
        codes.push((answer.rows, answer.code));
    }
    let expected = [(1, String::new()), (0, "23505".to_owned())];
    assert_eq!(
        codes, expected,
        "an answer is repeated with its rows or not at all"
    );
    assert_eq!(count(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_key_is_unknown() {
    let (cluster, mut caller) = start().await;
    set_key(&mut caller, "01800000-0000-7000-8000-000000000000").await;
    let answer = caller.query("INSERT INTO payment VALUES (1)").await;
    assert_eq!(answer.code, "08007");
    assert_eq!(count(&cluster).await, 0);
}
