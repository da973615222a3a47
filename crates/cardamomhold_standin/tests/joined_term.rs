//! A replica reports a new term only once its log contains every entry before the term's start.

use cardamomhold_core::position;
use cardamomhold_group::status;
use cardamomhold_standin::log;
use cardamomhold_standin::member;
use tokio::sync::oneshot;

fn entry(table: &str) -> log::Entry {
    log::Entry {
        term: position::Term(1),
        statements: vec![log::Statement {
            sql: format!("CREATE TABLE {table} (n BIGINT)"),
            params: Vec::new(),
        }],
    }
}

fn start_replica() -> member::Handle {
    let (sink, _) = oneshot::channel();
    let saved = member::SavedState {
        log: log::Log::default(),
        role: status::MemberRole::Replica,
        term: position::Term(1),
        fenced: position::Term(1),
        sink,
    };
    let options = member::Options::new("bookings-b", "bookings");
    member::start(options, saved).expect("member")
}

async fn send_follow(member: &member::Handle) {
    let (reply, answer) = oneshot::channel();
    // Nothing listens at this address, so only the test sends stream messages.
    let follow = member::Request::Follow(position::Term(2), "127.0.0.1:1".to_owned(), reply);
    member.requests.send(follow).await.expect("member runs");
    assert!(answer.await.expect("answer"));
}

/// Sends a message and waits until the member has processed it.
async fn send(member: &member::Handle, request: member::Request) {
    member.requests.send(request).await.expect("member runs");
    let (reply, answer) = oneshot::channel();
    let barrier = member::Request::Segments(reply);
    member.requests.send(barrier).await.expect("member runs");
    answer.await.expect("answer");
}

fn stream_started(stream_id: u64, term_start: u64) -> member::Request {
    member::Request::StreamStarted {
        stream_id,
        term: position::Term(2),
        start: position::LogPosition(0),
        term_start: position::LogPosition(term_start),
    }
}

fn entries_received(stream_id: u64, table: &str) -> member::Request {
    member::Request::EntriesReceived {
        stream_id,
        term: position::Term(2),
        entries: vec![entry(table)],
    }
}

#[tokio::test]
async fn reports_term_after_its_start() {
    let member = start_replica();
    send_follow(&member).await;
    send(&member, stream_started(1, 2)).await;
    let mut terms = Vec::new();
    for table in ["berga", "dal"] {
        send(&member, entries_received(1, table)).await;
        terms.push(member.published.borrow().status.term);
    }
    assert_eq!(terms, [position::Term(1), position::Term(2)]);
}

/// After a second follow command, entries of the first stream are ignored.
#[tokio::test]
async fn ignores_entries_of_stopped_stream() {
    let member = start_replica();
    send_follow(&member).await;
    send(&member, stream_started(1, 0)).await;
    send_follow(&member).await;
    send(&member, stream_started(2, 0)).await;
    send(&member, entries_received(2, "berga")).await;
    send(&member, entries_received(1, "dal")).await;
    let end = member.published.borrow().status.received;
    assert_eq!(end, position::LogPosition(1));
}
