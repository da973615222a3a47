//! Task of a replica that receives the log of its primary.

use std::time;

use bytes::BytesMut;
use cardamomhold_core::position;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use pgwire::messages;
use pgwire::messages::simplequery;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::log;
use crate::member;

/// Delay between two connection attempts to the primary.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Prefix of the application name in connections between members.
pub const MEMBER_NAME_PREFIX: &str = "member/";

/// Time without an item after which a follower reconnects; longer than the heartbeat interval.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The primary to follow, and the follower's own names.
#[derive(Debug, Clone)]
pub struct Target {
    /// Term of the primary.
    pub term: position::Term,
    /// Address of the primary.
    pub address: String,
    /// Name of the group.
    pub group: String,
    /// Name of the follower.
    pub name: String,
    /// Number of the follow command; the member uses it to reject late items of earlier streams.
    pub stream_id: u64,
}

/// Follows the primary until the task is aborted or the member's task has ended.
pub async fn run(target: Target, member: mpsc::WeakSender<member::Request>) {
    loop {
        if receive_stream(&target, &member).await.is_none() && member.upgrade().is_none() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn receive_stream(target: &Target, member: &mpsc::WeakSender<member::Request>) -> Option<()> {
    let segments = request_segments(member).await?;
    let socket = net::TcpStream::connect(&target.address).await.ok()?;
    let (read, mut write) = socket.into_split();
    let mut out = BytesMut::new();
    let mut startup_message = startup::Startup::new();
    startup_message
        .parameters
        .insert("database".to_owned(), target.group.clone());
    startup_message.parameters.insert(
        "application_name".to_owned(),
        format!("{MEMBER_NAME_PREFIX}{}", target.name),
    );
    answer::put(&mut out, &startup_message);
    let command = format!(
        "MEMBER STREAM {} {}",
        target.term,
        log::format_segments(&segments)
    );
    answer::put(&mut out, &simplequery::Query::new(command));
    write.write_all(&out).await.ok()?;
    let mut reader = frame::Reader::for_endpoint(read);
    loop {
        let next = tokio::time::timeout(RECEIVE_TIMEOUT, reader.next_backend());
        match next.await.ok()?.ok()?? {
            messages::PgWireBackendMessage::DataRow(row) => {
                let request = request_from(target, &row.data)?;
                member.upgrade()?.send(request).await.ok()?;
            }
            messages::PgWireBackendMessage::ErrorResponse(_) => return Some(()),
            _ => continue,
        }
    }
}

async fn request_segments(member: &mpsc::WeakSender<member::Request>) -> Option<Vec<log::Segment>> {
    let (reply, answer) = oneshot::channel();
    member
        .upgrade()?
        .send(member::Request::Segments(reply))
        .await
        .ok()?;
    answer.await.ok()
}

fn request_from(target: &Target, data: &[u8]) -> Option<member::Request> {
    let body = data.get(4..)?;
    let item: Item = serde_json::from_slice(body).ok()?;
    let (stream_id, term) = (target.stream_id, target.term);
    Some(match item {
        Item::Start { at, first } => member::Request::StreamStarted {
            stream_id,
            term,
            start: at,
            term_start: first,
        },
        Item::Entries(entries) => member::Request::EntriesReceived {
            stream_id,
            term,
            entries,
        },
    })
}

/// An item of a replication stream, sent as one row.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Item {
    /// First item of a stream.
    Start {
        /// Position after which the stream starts; the follower truncates its log there.
        at: position::LogPosition,
        /// Position after which the entries of the term start.
        first: position::LogPosition,
    },
    /// Log entries; empty in a heartbeat.
    Entries(Vec<log::Entry>),
}
