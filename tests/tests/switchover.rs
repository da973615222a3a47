//! A planned change of primary: no request is cut and none refused.

use cardamomhold_core::position;
use cardamomhold_proto::operator as schema;
use cardamomhold_standin::member;
use cardamomhold_tests::bed;
use cardamomhold_tests::writer;

async fn switch(bed: &bed::Bed, at: usize, member: &str) -> schema::apply_reply::Result {
    let address = bed.instances[at].addresses.peer;
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{address}"))
        .expect("address")
        .connect()
        .await
        .expect("instance accepts operators");
    let request = schema::SwitchoverRequest {
        group: bed::GROUP.to_owned(),
        member: member.to_owned(),
        author: "test".to_owned(),
    };
    let reply = schema::operator_client::OperatorClient::new(channel)
        .switchover(request)
        .await;
    let reply = reply.expect("answer").into_inner();
    reply.result.expect("result")
}

async fn await_primary(bed: &bed::Bed, member: &str) {
    let deadline = tokio::time::Instant::now() + bed::PATIENCE;
    while writer::leadership_of(bed)
        .primary
        .is_none_or(|p| p.as_str() != member)
    {
        let is_late = tokio::time::Instant::now() >= deadline;
        assert!(
            !is_late,
            "{member} does not become primary: {:?}",
            writer::leadership_of(bed)
        );
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn there_and_back() {
    let (bed, mut writers) = writer::start_all().await;
    for member in ["bookings-c", "bookings-a", "bookings-b"] {
        let result = switch(&bed, 0, member).await;
        let is_accepted = matches!(result, schema::apply_reply::Result::Accepted(_));
        assert!(is_accepted, "{result:?}");
        await_primary(&bed, member).await;
        writer::progress(&mut writers, 20).await;
        writer::await_term(&bed).await;
    }
    let journal = writer::check(&bed, writers).await;
    assert_eq!(journal.refused, [0_i64; 0]);
    assert_eq!(journal.unknown, [0_i64; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_target_refused() {
    let bed = bed::Bed::start().await;
    for member in ["bookings-a", "bookings-x"] {
        let result = switch(&bed, 1, member).await;
        let is_invalid = matches!(result, schema::apply_reply::Result::Invalid(_));
        assert!(is_invalid, "{result:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_primary() {
    let (bed, mut writers) = writer::start_all().await;
    let member = bed.members[0].member().expect("member runs");
    let (reply, answer) = tokio::sync::oneshot::channel();
    let set_leaving = member::Request::SetLeaving(true, reply);
    member
        .requests
        .send(set_leaving)
        .await
        .expect("member runs");
    answer.await.expect("answer");
    let deadline = tokio::time::Instant::now() + bed::PATIENCE;
    while writer::leadership_of(&bed).term == position::Term(1) {
        assert!(tokio::time::Instant::now() < deadline, "primary stays");
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    writer::progress(&mut writers, 20).await;
    let primary = writer::leadership_of(&bed).primary.expect("primary");
    assert_ne!(primary.as_str(), "bookings-a");
    let journal = writer::check(&bed, writers).await;
    assert_eq!(journal.refused, [0_i64; 0]);
    assert_eq!(journal.unknown, [0_i64; 0]);
}
