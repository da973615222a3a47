//! A graceful stop of an instance lets the requests in flight end normally.

use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::load;

/// Grace time of a stop, longer than any request in these tests.
const STOP_GRACE: time::Duration = time::Duration::from_secs(20);

/// Time that each statement takes at its endpoint, so that requests are always in flight.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(3);

/// Number of callers in the load.
const CALLER_COUNT: usize = 6;

/// Number of further acknowledged writes to wait for at each stage of a stop.
const WRITE_COUNT: usize = 30;

#[tokio::test(flavor = "multi_thread")]
async fn owner_keeps_open_streams() {
    let mut cluster = cluster::Cluster::start().await;
    let mut caller = cluster.connect(1).await;
    load::create_table(&caller).await;
    let transaction = caller.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('before')", &[])
        .await
        .expect("insert");
    let mut owner = cluster.remove_leaving(0);
    let stopping = tokio::spawn(async move { owner.stop(STOP_GRACE).await });
    cluster.await_refusal(0).await;
    transaction
        .execute("INSERT INTO booking VALUES ('during')", &[])
        .await
        .expect("insert while the owner stops");
    transaction.commit().await.expect("commit");
    assert_eq!(
        stopping.await.expect("stops"),
        0,
        "nothing was open after the grace time"
    );
    assert_eq!(cluster::count_rows(&caller, "booking").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_stop_causes_no_errors() {
    let mut cluster = cluster::Cluster::start_with(|o| o.service_time = SERVICE_TIME).await;
    load::create_table(&cluster.connect(1).await).await;
    let load = load::Load::start(&cluster, &[1, 2], CALLER_COUNT);
    load.await_writes(WRITE_COUNT).await;
    let mut owner = cluster.remove(0);
    let stopping = tokio::spawn(async move { owner.stop(STOP_GRACE).await });
    cluster.await_refusal(0).await;
    // The platform's list doesn't mark the owner as leaving yet.
    load.await_writes(WRITE_COUNT).await;
    cluster.mark_leaving(0);
    assert_eq!(
        stopping.await.expect("stops"),
        0,
        "nothing was open after the grace time"
    );
    load.await_writes(WRITE_COUNT).await;
    let tally = load.end().await;
    assert_eq!(tally.errors, Vec::<String>::new());
    assert_eq!(tally.closed_connections, 0, "no caller had to reconnect");
    tally.check(&cluster.connect(1).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_stop_causes_no_errors() {
    let mut cluster = cluster::Cluster::start_with(|o| o.service_time = SERVICE_TIME).await;
    load::create_table(&cluster.connect(1).await).await;
    let load = load::Load::start(&cluster, &[1, 2], CALLER_COUNT);
    load.await_writes(WRITE_COUNT).await;
    let mut instance = cluster.remove_leaving(1);
    assert_eq!(
        instance.stop(STOP_GRACE).await,
        0,
        "nothing was open after the grace time"
    );
    load.await_writes(WRITE_COUNT).await;
    let tally = load.end().await;
    assert_eq!(tally.errors, Vec::<String>::new());
    assert!(
        tally.closed_connections <= CALLER_COUNT,
        "each caller reconnects at most once"
    );
    tally.check(&cluster.connect(2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_writes_store_nothing() {
    let mut cluster = cluster::Cluster::start().await;
    // The deadline is short, so that a refusal comes before the list is read again.
    let caller = cluster
        .connect_with(1, "-c cardamomhold.deadline_ms=300")
        .await;
    load::create_table(&caller).await;
    let mut owner = cluster.remove(0);
    assert_eq!(
        owner.stop(STOP_GRACE).await,
        0,
        "nothing was open after the grace time"
    );
    // The platform's list doesn't mark the owner as leaving yet.
    let mut written = 0;
    for _ in 0..5 {
        match caller
            .batch_execute("INSERT INTO booking VALUES ('x')")
            .await
        {
            Ok(()) => written += 1,
            Err(error) => assert_eq!(cluster::sqlstate(&error), "57P03", "{error:?}"),
        }
    }
    cluster.mark_leaving(0);
    let caller = cluster.connect(1).await;
    assert_eq!(cluster::count_rows(&caller, "booking").await, written);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_caller_is_disconnected() {
    let mut cluster = cluster::Cluster::start().await;
    let idle = cluster.connect(1).await;
    idle.batch_execute("SELECT 1").await.expect("select");
    let mut instance = cluster.remove_leaving(1);
    assert_eq!(
        instance.stop(STOP_GRACE).await,
        0,
        "nothing was open after the grace time"
    );
    let error = idle.batch_execute("SELECT 1").await.expect_err("closed");
    assert!(
        error.is_closed() || cluster::sqlstate(&error) == "57P01",
        "{error:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn sent_requests_are_answered() {
    let mut cluster = cluster::Cluster::start().await;
    let client = cluster.connect(1).await;
    let mut instance = cluster.remove_leaving(1);
    // The first request takes longer than the notice; the others wait in the socket.
    let (first, second, third, fourth, remaining) = tokio::join!(
        client.batch_execute("SLEEP 4000"),
        client.batch_execute("SELECT 1"),
        client.batch_execute("SELECT 2"),
        client.batch_execute("SELECT 3"),
        instance.stop(STOP_GRACE),
    );
    for answer in [first, second, third, fourth] {
        answer.expect("answered before the connection is closed");
    }
    assert_eq!(remaining, 0, "nothing was open after the grace time");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_closed() {
    let mut cluster = cluster::Cluster::start().await;
    let address = cluster.instances[1].addresses.listen;
    // Load balancers probe like this: they connect and send nothing.
    let silent = tokio::net::TcpStream::connect(address).await;
    let _silent = silent.expect("connects");
    let mut instance = cluster.remove_leaving(1);
    assert_eq!(
        instance.stop(STOP_GRACE).await,
        0,
        "the stop doesn't wait for it"
    );
}
