//! Answers that arrive after their deadline are dropped, and never sent to another request.

use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::raw;

async fn connect(cluster: &cluster::Cluster, deadline: &str) -> raw::Client {
    let address = cluster.instances[0].addresses.listen;
    let (raw, answer) =
        raw::Client::connect(address, &[("cardamomhold.deadline_ms", deadline)]).await;
    assert!(answer.is_ready);
    raw
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_dropped() {
    let cluster =
        cluster::Cluster::start_with(|o| o.service_time = time::Duration::from_millis(300)).await;
    let mut long_deadline = connect(&cluster, "20000").await;
    let mut short_deadline = connect(&cluster, "150").await;
    for n in 0..3 {
        let late_answer = short_deadline.query("SELECT 1 UNION SELECT 2").await;
        assert_ne!(late_answer.code, "");
        assert!(late_answer.is_ready);
        let answer = long_deadline.query("SELECT 3").await;
        assert_eq!(
            (answer.rows, answer.tags),
            (1, vec!["SELECT 1".to_owned()]),
            "{n}"
        );
    }
}
