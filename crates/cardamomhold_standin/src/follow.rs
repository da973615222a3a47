//! The task by which a replica follows its primary.

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

/// Time between two attempts to reach the primary.
const RETRY: time::Duration = time::Duration::from_millis(50);

/// Prefix of the application name under which members connect to each other.
pub const MEMBER_PREFIX: &str = "member/";

/// Time without news after which a follower connects anew; heartbeats come more often.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Whom to follow.
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
    /// Number of this order to follow, by which the member knows late items of earlier ones.
    pub stream: u64,
}

/// Follows until the task is aborted or the member's task has ended.
pub async fn run(target: Target, member: mpsc::WeakSender<member::Request>) {
    loop {
        if stream(&target, &member).await.is_none() && member.upgrade().is_none() {
            return;
        }
        tokio::time::sleep(RETRY).await;
    }
}

async fn stream(target: &Target, member: &mpsc::WeakSender<member::Request>) -> Option<()> {
    let segments = ask_segments(member).await?;
    let socket = net::TcpStream::connect(&target.address).await.ok()?;
    let (read, mut write) = socket.into_split();
    let mut out = BytesMut::new();
    let mut hello = startup::Startup::new();
    hello
        .parameters
        .insert("database".to_owned(), target.group.clone());
    hello.parameters.insert(
        "application_name".to_owned(),
        format!("{MEMBER_PREFIX}{}", target.name),
    );
    answer::put(&mut out, &hello);
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
                let request = request_of(target, &row.data)?;
                member.upgrade()?.send(request).await.ok()?;
            }
            messages::PgWireBackendMessage::ErrorResponse(_) => return Some(()),
            _ => continue,
        }
    }
}

async fn ask_segments(member: &mpsc::WeakSender<member::Request>) -> Option<Vec<log::Segment>> {
    let (reply, answer) = oneshot::channel();
    member
        .upgrade()?
        .send(member::Request::Segments(reply))
        .await
        .ok()?;
    answer.await.ok()
}

fn request_of(target: &Target, data: &[u8]) -> Option<member::Request> {
    let body = data.get(4..)?;
    let item: Item = serde_json::from_slice(body).ok()?;
    let (stream, term) = (target.stream, target.term);
    Some(match item {
        Item::Start { at, first } => member::Request::Joined {
            stream,
            term,
            at,
            first,
        },
        Item::Entries(entries) => member::Request::Received {
            stream,
            term,
            entries,
        },
    })
}

/// One row of a replication stream.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Item {
    /// The stream starts.
    Start {
        /// Position after which its entries come; the follower cuts what lies beyond.
        at: position::LogPosition,
        /// Position after which the term's own entries come.
        first: position::LogPosition,
    },
    /// Entries; none for a heartbeat.
    Entries(Vec<log::Entry>),
}
