//! Answers that are lost after the commit took effect.

use cardamomhold_tests::bed;

async fn start() -> (bed::Bed, tokio_postgres::Client) {
    let bed = bed::Bed::start().await;
    let client = bed.connect(1).await;
    let created = client.batch_execute("CREATE TABLE payment (n BIGINT)");
    created.await.expect("create");
    (bed, client)
}

async fn set_key(client: &tokio_postgres::Client, key: &str) {
    let set = format!("SET cardamomhold.request_key = '{key}'");
    client.batch_execute(&set).await.expect("set");
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_is_found() {
    let (bed, client) = start().await;
    for n in 0..3 {
        set_key(&client, &bed::request_key()).await;
        bed.members[0].faults().lose_answers(1);
        let changed = client.execute("INSERT INTO payment VALUES (1)", &[]).await;
        assert_eq!(changed.expect("the kept answer"), 1);
        assert_eq!(bed::count(&client, "payment").await, n + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_is_unknown() {
    let (bed, client) = start().await;
    bed.members[0].faults().lose_answers(1);
    let lost = client.batch_execute("INSERT INTO payment VALUES (1)").await;
    assert_eq!(bed::code_of(&lost.expect_err("unknown")), "08007");
    assert_eq!(bed::count(&client, "payment").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit() {
    let (bed, client) = start().await;
    let key = bed::request_key();
    set_key(&client, &key).await;
    for text in ["BEGIN", "INSERT INTO payment VALUES (1)"] {
        client.batch_execute(text).await.expect("run");
    }
    bed.members[0].faults().lose_answers(1);
    let lost = client.batch_execute("COMMIT").await;
    assert_eq!(bed::code_of(&lost.expect_err("unknown")), "08007");
    let other = bed.connect(2).await;
    set_key(&other, &key).await;
    let again = other.batch_execute("BEGIN").await;
    assert_eq!(bed::code_of(&again.expect_err("ran before")), "23505");
    assert_eq!(bed::count(&other, "payment").await, 1);
}
