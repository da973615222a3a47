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

fn start_replica() -> member::Handle {
    let (sink, _) = oneshot::channel();
    let kept = member::Kept {
        log: log::Log::default(),
        role: status::MemberRole::Replica,
        term: position::Term(1),
        fenced: position::Term(1),
        sink,
    };
    let options = member::Options::new("bookings-b", "bookings");
    member::start(options, kept).expect("member")
}

async fn follow(member: &member::Handle) {
    let (reply, answer) = oneshot::channel();
    // Nothing listens there, so the stream's messages come from the test alone.
    let follow = member::Request::Follow(position::Term(2), "127.0.0.1:1".to_owned(), reply);
    member.requests.send(follow).await.expect("member runs");
    assert!(answer.await.expect("answer"));
}

/// Sends a message and waits until it has been handled.
async fn send(member: &member::Handle, request: member::Request) {
    member.requests.send(request).await.expect("member runs");
    let (reply, answer) = oneshot::channel();
    let settled = member::Request::Segments(reply);
    member.requests.send(settled).await.expect("member runs");
    answer.await.expect("answer");
}

fn joined(stream: u64, first: u64) -> member::Request {
    member::Request::Joined {
        stream,
        term: position::Term(2),
        at: position::LogPosition(0),
        first: position::LogPosition(first),
    }
}

fn received(stream: u64, farm: &str) -> member::Request {
    member::Request::Received {
        stream,
        term: position::Term(2),
        entries: vec![entry(farm)],
    }
}

#[tokio::test]
async fn term_waits() {
    let member = start_replica();
    follow(&member).await;
    send(&member, joined(1, 2)).await;
    let mut terms = Vec::new();
    for farm in ["berga", "dal"] {
        send(&member, received(1, farm)).await;
        terms.push(member.published.borrow().status.term);
    }
    assert_eq!(terms, [position::Term(1), position::Term(2)]);
}

/// A follower that was told again whom to follow takes nothing from its stopped stream.
#[tokio::test]
async fn late_entries_ignored() {
    let member = start_replica();
    follow(&member).await;
    send(&member, joined(1, 0)).await;
    follow(&member).await;
    send(&member, joined(2, 0)).await;
    send(&member, received(2, "berga")).await;
    send(&member, received(1, "dal")).await;
    let end = member.published.borrow().status.received;
    assert_eq!(end, position::LogPosition(1));
}
