//! A replica counts as one of a term only once it holds everything before the term's start.

use cardamomhold_core::position;
use cardamomhold_group::status;
use cardamomhold_standin::log;
use cardamomhold_standin::member;
use tokio::sync::oneshot;

fn entry(farm: &str) -> log::Entry {
    log::Entry {
        term: position::Term(1),
        statements: vec![log::Statement {
            sql: format!("CREATE TABLE {farm} (n BIGINT)"),
            params: Vec::new(),
        }],
    }
}

#[tokio::test]
async fn term_waits() {
    let (sink, _kept) = oneshot::channel();
    let kept = member::Kept {
        log: log::Log::default(),
        role: status::MemberRole::Replica,
        term: position::Term(1),
        fenced: position::Term(1),
        sink,
    };
    let options = member::Options::new("bookings-b", "bookings");
    let member = member::start(options, kept).expect("member");
    let (reply, answer) = oneshot::channel();
    let requests = &member.requests;
    // Nothing listens there, so the stream's messages come from this test alone.
    let follow = member::Request::Follow(position::Term(2), "127.0.0.1:1".to_owned(), reply);
    requests.send(follow).await.expect("member runs");
    assert!(answer.await.expect("answer"));
    let joined = member::Request::Joined {
        term: position::Term(2),
        at: position::LogPosition(0),
        first: position::LogPosition(2),
    };
    requests.send(joined).await.expect("member runs");
    let mut terms = Vec::new();
    for farm in ["berga", "dal"] {
        let received = member::Request::Received(position::Term(2), vec![entry(farm)]);
        requests.send(received).await.expect("member runs");
        let (reply, answer) = oneshot::channel();
        let settled = member::Request::Segments(reply);
        requests.send(settled).await.expect("member runs");
        answer.await.expect("answer");
        terms.push(member.published.borrow().status.term);
    }
    assert_eq!(terms, [position::Term(1), position::Term(2)]);
}
