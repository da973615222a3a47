//! A planned change of primary: no request is refused, and none has an unknown outcome.

use cardamomhold_core::position;
use cardamomhold_proto::operator as schema;
use cardamomhold_standin::member;
use cardamomhold_tests::cluster;
use cardamomhold_tests::writer;

async fn request_switchover(
    cluster: &cluster::Cluster,
    index: usize,
    member: &str,
) -> schema::apply_reply::Result {
    let address = cluster.instances[index].addresses.peer;
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{address}"))
        .expect("address")
        .connect()
        .await
        .expect("instance accepts operators");
    let request = schema::SwitchoverRequest {
        group: cluster::GROUP.to_owned(),
        member: member.to_owned(),
        author: "test".to_owned(),
    };
    let reply = schema::operator_client::OperatorClient::new(channel)
        .switchover(request)
        .await;
    let reply = reply.expect("answer").into_inner();
    reply.result.expect("result")
}

async fn await_primary(cluster: &cluster::Cluster, member: &str) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while writer::read_leadership(cluster)
        .primary
        .is_none_or(|p| p.as_str() != member)
    {
        let is_expired = tokio::time::Instant::now() >= deadline;
        assert!(
            !is_expired,
            "{member} does not become primary: {:?}",
            writer::read_leadership(cluster)
        );
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn there_and_back() {
    let (cluster, mut writers) = writer::start_cluster().await;
    for member in ["bookings-c", "bookings-a", "bookings-b"] {
        let result = request_switchover(&cluster, 0, member).await;
        let is_accepted = matches!(result, schema::apply_reply::Result::Accepted(_));
        assert!(is_accepted, "{result:?}");
        await_primary(&cluster, member).await;
        writer::await_progress(&mut writers, 20).await;
        writer::await_term(&cluster).await;
    }
    let outcomes = writer::check(&cluster, writers).await;
    assert_eq!(outcomes.refused, [0_i64; 0]);
    assert_eq!(outcomes.unknown, [0_i64; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_target_refused() {
    let cluster = cluster::Cluster::start().await;
    for member in ["bookings-a", "bookings-x"] {
        let result = request_switchover(&cluster, 1, member).await;
        let is_invalid = matches!(result, schema::apply_reply::Result::Invalid(_));
        assert!(is_invalid, "{result:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_primary_hands_over() {
    let (cluster, mut writers) = writer::start_cluster().await;
    let member = cluster.members[0].member().expect("member runs");
    let (reply, answer) = tokio::sync::oneshot::channel();
    let set_leaving = member::Request::SetLeaving(true, reply);
    member
        .requests
        .send(set_leaving)
        .await
        .expect("member runs");
    answer.await.expect("answer");
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while writer::read_leadership(&cluster).term == position::Term(1) {
        assert!(
            tokio::time::Instant::now() < deadline,
            "primary is not replaced"
        );
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    writer::await_progress(&mut writers, 20).await;
    let primary = writer::read_leadership(&cluster).primary.expect("primary");
    assert_ne!(primary.as_str(), "bookings-a");
    let outcomes = writer::check(&cluster, writers).await;
    assert_eq!(outcomes.refused, [0_i64; 0]);
    assert_eq!(outcomes.unknown, [0_i64; 0]);
}
