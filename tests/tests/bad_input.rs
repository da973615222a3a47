//! Invalid input is answered with a specific SQLSTATE and doesn't affect other sessions.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

async fn rejection_code(cluster: &cluster::Cluster, parameters: &[(&str, &str)]) -> String {
    let address = cluster.instances[0].addresses.listen;
    let (_, answer) = raw::Client::connect(address, parameters).await;
    assert!(!answer.is_ready);
    answer.code
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_bad_startups() {
    let cluster = cluster::Cluster::start().await;
    let token = cluster::session_token(&cluster.connect(0).await).await;
    let truncated = &token[..token.len() - 1];
    let forged = token.replace("v1", "v1;bookings=9/9");
    assert_eq!(
        rejection_code(&cluster, &[("database", "nothing")]).await,
        "3D000"
    );
    for (name, value) in [
        ("cardamomhold.rank", "first"),
        ("cardamomhold.read_kind", "unheard"),
        ("cardamomhold.request_key", "7"),
        ("cardamomhold.deadline_ms", "0"),
        ("cardamomhold.session_token", truncated),
        ("cardamomhold.session_token", forged.as_str()),
        ("cardamomhold.session_token", "v9;x"),
    ] {
        assert_eq!(
            rejection_code(&cluster, &[(name, value)]).await,
            "22023",
            "{name}"
        );
    }
    assert_eq!(
        rejection_code(&cluster, &[("cardamomhold.other", "1")]).await,
        "42704"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_bad_frames() {
    let cluster = cluster::Cluster::start().await;
    let address = cluster.instances[0].addresses.listen;
    let mut other_caller = cluster.connect(0).await;
    let transaction = other_caller.transaction().await.expect("begin");
    for bytes in [
        &b"Q\x7f\xff\xff\xff"[..],
        &b"Q\0\0\0\0"[..],
        &b"Q\0\0\0\x03"[..],
        &b"Q\xff\xff\xff\xff"[..],
        &b"\xfe\0\0\0\x05x"[..],
        &b"P\0\0\0\x06ab"[..],
        &b"B\0\0\0\x0c\0\0\x7f\xff\x7f\xff\x7f\xff"[..],
        &b"E\0\0\0\x05x"[..],
        &b"d\0\0\0\x08abcd"[..],
    ] {
        let (mut caller, _) = raw::Client::connect(address, &[]).await;
        caller.send_bytes(bytes).await;
        let sync = pgwire::messages::extendedquery::Sync::new();
        caller.send(&sync).await;
        let answer = caller.read_answer().await;
        assert_eq!(answer.code, "08P01", "{bytes:?}");
    }
    let mut http_client = raw::Client::connect_socket(address).await;
    http_client.send_bytes(b"GET / HTTP/1.1\r\n\r\n").await;
    assert!(!http_client.read_answer().await.is_ready);
    let row = transaction.query_one("SELECT 7", &[]).await.expect("query");
    assert_eq!(row.get::<_, i64>(0), 7);
    transaction.commit().await.expect("commit");
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_hidden_statements() {
    let cluster = cluster::Cluster::start().await;
    let address = cluster.instances[0].addresses.listen;
    let (mut caller, _) = raw::Client::connect(address, &[]).await;
    for text in [
        "COPY booking FROM STDIN",
        "SELECT 1; COPY booking FROM STDIN",
        "SELECT 1; LISTEN x",
        "SELECT 1; SET cardamomhold.rank = 'bulk'",
        "SET cardamomhold.rank = 'bulk'; SELECT 1",
        "SELECT 1; SHOW cardamomhold.rank",
        "SELECT 1; DISCARD ALL",
        "SET ROLE admin",
    ] {
        let answer = caller.query(text).await;
        assert_eq!(answer.code, "0A000", "{text}");
        assert!(answer.is_ready);
    }
    let set_read_kind = "SET cardamomhold.read_kind = 'report'";
    assert_eq!(caller.query(set_read_kind).await.tags, ["SET"]);
    for text in [
        "BEGIN READ WRITE",
        "SET default_transaction_read_only = off",
        "SELECT 1; SET TRANSACTION READ WRITE",
    ] {
        assert_eq!(caller.query(text).await.code, "25006", "{text}");
    }
    assert_eq!(caller.query("SELECT 1").await.rows, 1);
}
