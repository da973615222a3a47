//! The whole path: a caller books through real instances and reads its own writes.

use cardamomhold_tests::bed;

#[tokio::test(flavor = "multi_thread")]
async fn booking_roams() {
    let bed = bed::Bed::start().await;
    let first = bed.connect(0).await;
    first
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    for at in 0..3 {
        first
            .execute("INSERT INTO booking VALUES ($1)", &[&"Berga"])
            .await
            .expect("insert");
        let options = format!(
            "-c cardamomhold.session_token={} -c cardamomhold.read_kind=report",
            bed::token_of(&first).await
        );
        let other = bed.connect_with(at, &options).await;
        assert_eq!(bed::count(&other, "booking").await, at as i64 + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_is_pinned() {
    let bed = bed::Bed::start().await;
    let mut client = bed.connect(1).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('a')", &[])
        .await
        .expect("insert");
    let other = bed.connect(2).await;
    assert_eq!(bed::count(&other, "booking").await, 0);
    transaction
        .execute("INSERT INTO booking VALUES ('b')", &[])
        .await
        .expect("insert");
    transaction.commit().await.expect("commit");
    assert_eq!(bed::count(&other, "booking").await, 2);
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO booking VALUES ('c')", &[])
        .await
        .expect("insert");
    transaction.rollback().await.expect("rollback");
    assert_eq!(bed::count(&other, "booking").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once() {
    let bed = bed::Bed::start().await;
    let client = bed.connect(0).await;
    client
        .batch_execute("CREATE TABLE payment (n BIGINT)")
        .await
        .expect("create");
    let key = bed::request_key();
    for at in [0, 1, 2, 0] {
        let caller = bed
            .connect_with(at, &format!("-c cardamomhold.request_key={key}"))
            .await;
        let changed = caller
            .execute("INSERT INTO payment VALUES (1)", &[])
            .await
            .expect("insert");
        assert_eq!(changed, 1, "the kept answer is given again");
    }
    assert_eq!(bed::count(&client, "payment").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_read_never_writes() {
    let bed = bed::Bed::start().await;
    let client = bed.connect(0).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    for at in 0..3 {
        let reader = bed
            .connect_with(at, "-c cardamomhold.read_kind=report")
            .await;
        let error = reader
            .execute("INSERT INTO booking VALUES ('x')", &[])
            .await
            .expect_err("refused");
        assert_eq!(bed::code_of(&error), "25006");
    }
    assert_eq!(bed::count(&client, "booking").await, 0);
}
