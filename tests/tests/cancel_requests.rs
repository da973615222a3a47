//! A cancel request stops its statement, whichever instance receives the request.

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

#[tokio::test(flavor = "multi_thread")]
async fn cancels_from_any_instance() {
    let cluster = cluster::Cluster::start().await;
    for index in [1, 0, 2] {
        let (mut caller, _) =
            raw::Client::connect(cluster.instances[1].addresses.listen, &[]).await;
        let (mut other, _) = raw::Client::connect(cluster.instances[1].addresses.listen, &[]).await;
        let key = caller.key.take().expect("key");
        other.send_query("SLEEP 500").await;
        let set_deadline = "SET cardamomhold.deadline_ms = 20000";
        caller.query(set_deadline).await;
        caller.send_query("SLEEP 15000").await;
        let sending = async {
            loop {
                raw::cancel(cluster.instances[index].addresses.listen, &key).await;
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        let answer = tokio::select! {
            answer = caller.read_answer() => answer,
            () = sending => unreachable!("the loop doesn't end"),
        };
        assert_eq!(
            answer.code, "57014",
            "cancel request sent to instance {index}"
        );
        assert_eq!(other.read_answer().await.tags, ["SLEEP"]);
    }
}
