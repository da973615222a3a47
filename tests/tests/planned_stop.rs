//! A planned stop: whatever is in flight ends as its caller wants it to.

use std::time;

use cardamomhold_tests::bed;
use cardamomhold_tests::load;

/// Grace of the stops below, longer than everything that waits for it.
const GRACE: time::Duration = time::Duration::from_secs(20);

/// Time of each statement at its endpoint, so that requests are in flight at any moment.
const SERVICE: time::Duration = time::Duration::from_millis(3);

/// Callers of the load.
const CALLERS: usize = 6;

/// Acknowledged writes that the load must reach before and after the stop begins.
const WRITES: usize = 30;

#[tokio::test(flavor = "multi_thread")]
async fn owner_keeps_lanes() {
    let mut bed = bed::Bed::start().await;
    let mut caller = bed.connect(1).await;
    load::create_table(&caller).await;
    let transaction = caller.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('before')", &[])
        .await
        .expect("insert");
    let mut owner = bed.leave(0);
    let stopping = tokio::spawn(async move { owner.stop(GRACE).await });
    bed.await_refusing(0).await;
    transaction
        .execute("INSERT INTO booking VALUES ('during')", &[])
        .await
        .expect("insert while the owner stops");
    transaction.commit().await.expect("commit");
    assert_eq!(stopping.await.expect("stops"), 0, "nothing was cut");
    assert_eq!(bed::count(&caller, "booking").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_stops_unnoticed() {
    let mut bed = bed::Bed::shaped(|o| o.service_time = SERVICE).await;
    load::create_table(&bed.connect(1).await).await;
    let load = load::Load::start(&bed, &[1, 2], CALLERS);
    load.await_more(WRITES).await;
    let mut owner = bed.take(0);
    let stopping = tokio::spawn(async move { owner.stop(GRACE).await });
    bed.await_refusing(0).await;
    // The list still shows the owner as alive.
    load.await_more(WRITES).await;
    bed.list_leaving(0);
    assert_eq!(stopping.await.expect("stops"), 0, "nothing was cut");
    load.await_more(WRITES).await;
    let tally = load.end().await;
    assert_eq!(tally.errors, Vec::<String>::new());
    assert_eq!(tally.farewells, 0, "nobody had to connect again");
    tally.check(&bed.connect(1).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_stops_cleanly() {
    let mut bed = bed::Bed::shaped(|o| o.service_time = SERVICE).await;
    load::create_table(&bed.connect(1).await).await;
    let load = load::Load::start(&bed, &[1, 2], CALLERS);
    load.await_more(WRITES).await;
    let mut entry = bed.leave(1);
    assert_eq!(entry.stop(GRACE).await, 0, "nothing was cut");
    load.await_more(WRITES).await;
    let tally = load.end().await;
    assert_eq!(tally.errors, Vec::<String>::new());
    assert!(tally.farewells <= CALLERS, "each caller moves once at most");
    tally.check(&bed.connect(2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gone_owner_refuses() {
    let mut bed = bed::Bed::start().await;
    // A short deadline, so that a refusal comes before the list is read again.
    let caller = bed.connect_with(1, "-c cardamomhold.deadline_ms=300").await;
    load::create_table(&caller).await;
    let mut owner = bed.take(0);
    assert_eq!(owner.stop(GRACE).await, 0, "nothing was cut");
    // The list still shows the owner as alive.
    let mut written = 0;
    for _ in 0..5 {
        match caller
            .batch_execute("INSERT INTO booking VALUES ('x')")
            .await
        {
            Ok(()) => written += 1,
            Err(error) => assert_eq!(bed::code_of(&error), "57P03", "{error:?}"),
        }
    }
    bed.list_leaving(0);
    let caller = bed.connect(1).await;
    assert_eq!(bed::count(&caller, "booking").await, written);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_caller_hears() {
    let mut bed = bed::Bed::start().await;
    let idle = bed.connect(1).await;
    idle.batch_execute("SELECT 1").await.expect("select");
    let mut entry = bed.leave(1);
    assert_eq!(entry.stop(GRACE).await, 0, "nothing was cut");
    let error = idle.batch_execute("SELECT 1").await.expect_err("closed");
    assert!(
        error.is_closed() || bed::code_of(&error) == "57P01",
        "{error:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn sent_requests_are_served() {
    let mut bed = bed::Bed::start().await;
    let client = bed.connect(1).await;
    let mut entry = bed.leave(1);
    // The first request outlasts the notice; the others wait in the socket behind it.
    let (first, second, third, fourth, left) = tokio::join!(
        client.batch_execute("SLEEP 4000"),
        client.batch_execute("SELECT 1"),
        client.batch_execute("SELECT 2"),
        client.batch_execute("SELECT 3"),
        entry.stop(GRACE),
    );
    for answer in [first, second, third, fourth] {
        answer.expect("served before the farewell");
    }
    assert_eq!(left, 0, "nothing was cut");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_closed() {
    let mut bed = bed::Bed::start().await;
    let address = bed.instances[1].addresses.listen;
    // Balancers probe like this: they connect and say nothing.
    let silent = tokio::net::TcpStream::connect(address).await;
    let _silent = silent.expect("connects");
    let mut entry = bed.leave(1);
    assert_eq!(entry.stop(GRACE).await, 0, "it holds nothing up");
}
