//! `MEMBER` commands: status, fencing, promotion, following and log streaming.

use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;
use tokio::sync::oneshot;

use crate::follow;
use crate::log;
use crate::member;

/// Time without new entries after which a replication stream sends a heartbeat.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A command that starts with `MEMBER`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Reports the status once the log is past one of the given positions, or after a maximum
    /// wait.
    Status {
        /// Last received position that the client has.
        received: position::LogPosition,
        /// Last applied position that the client has.
        applied: position::LogPosition,
        /// Maximum wait.
        wait: time::Duration,
    },
    /// Reports the term and the end of the log.
    Position,
    /// Fences the member at a term.
    Fence(position::Term),
    /// Makes the member the primary of a term.
    Promote(position::Term),
    /// Makes the member follow the primary of a term at an address.
    Follow(position::Term, String),
    /// Streams the log of a term to a follower whose log has these segments.
    Stream(position::Term, Vec<log::Segment>),
}

impl Command {
    /// Parses a command; returns `None` when the text is not a `MEMBER` command.
    pub fn parse(text: &str) -> Option<Self> {
        let words: Vec<&str> = text.trim_end_matches(';').split_whitespace().collect();
        let number = |text: &str| text.parse::<u64>().ok();
        let command = match words.as_slice() {
            ["MEMBER", "STATUS", "AFTER", received, applied, "WAIT", wait] => Self::Status {
                received: position::LogPosition(number(received)?),
                applied: position::LogPosition(number(applied)?),
                wait: time::Duration::from_millis(number(wait)?),
            },
            ["MEMBER", "POSITION"] => Self::Position,
            ["MEMBER", "FENCE", term] => Self::Fence(position::Term(number(term)?)),
            ["MEMBER", "PROMOTE", term] => Self::Promote(position::Term(number(term)?)),
            ["MEMBER", "FOLLOW", term, address] => {
                Self::Follow(position::Term(number(term)?), (*address).to_owned())
            }
            ["MEMBER", "STREAM", term, segments] => {
                Self::Stream(position::Term(number(term)?), log::parse_segments(segments))
            }
            _ => return None,
        };
        Some(command)
    }
}

/// Column names of a status row.
pub const STATUS_COLUMNS: [&str; 8] = [
    "role",
    "term",
    "fenced",
    "received",
    "applied",
    "silence_ms",
    "lag_ms",
    "leaving",
];

/// Waits until the log is past one of the positions, but no longer than `wait`, and returns the
/// status.
pub async fn await_status(
    handle: &member::Handle,
    received: position::LogPosition,
    applied: position::LogPosition,
    wait: time::Duration,
) -> status::MemberStatus {
    let mut published = handle.published.clone();
    let progress =
        published.wait_for(|p| p.status.received > received || p.status.applied > applied);
    // The status is also reported when the wait has timed out.
    let _ = tokio::time::timeout(wait, progress).await;
    current_status(handle)
}

/// Returns the current status with `silence` and `lag` filled in.
pub fn current_status(handle: &member::Handle) -> status::MemberStatus {
    let published = handle.published.borrow();
    let mut status = published.status.clone();
    if status.role == status::MemberRole::Replica {
        status.silence = published.last_contact.elapsed();
        status.lag = published.data_time.elapsed();
    }
    status
}

/// Formats a status as a row of text values.
pub fn status_row(status: &status::MemberStatus) -> [String; 8] {
    let role = match status.role {
        status::MemberRole::Primary => "primary",
        status::MemberRole::Replica => "replica",
    };
    [
        role.to_owned(),
        status.term.to_string(),
        status.fenced.to_string(),
        status.received.to_string(),
        status.applied.to_string(),
        status.silence.as_millis().to_string(),
        status.lag.as_millis().to_string(),
        u8::from(status.leaving).to_string(),
    ]
}

/// Sends a request to the member's task and waits for the reply; returns `None` when the task has
/// ended.
pub async fn request<T>(
    handle: &member::Handle,
    make_request: impl FnOnce(oneshot::Sender<T>) -> member::Request,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    handle.requests.send(make_request(reply)).await.ok()?;
    answer.await.ok()
}

/// Sender side of a replication stream.
#[derive(Debug)]
pub struct Stream {
    term: position::Term,
    sent: position::LogPosition,
    term_start: position::LogPosition,
    is_started: bool,
}

impl Stream {
    /// Starts a stream to a follower whose log has these segments. Returns `None` when the member
    /// is not the primary of the term.
    pub async fn start(
        handle: &member::Handle,
        term: position::Term,
        theirs: &[log::Segment],
    ) -> Option<Self> {
        let ours = request(handle, member::Request::Segments).await?;
        if !is_primary_of(handle, term) {
            return None;
        }
        let sent = log::common_end(&ours, theirs);
        let term_start = log::end_before(&ours, term);
        Some(Self {
            term,
            sent,
            term_start,
            is_started: false,
        })
    }

    /// Returns the next item, or `None` when the member is no longer the primary of the term.
    pub async fn next(&mut self, handle: &member::Handle) -> Option<follow::Item> {
        if !self.is_started {
            self.is_started = true;
            let (at, first) = (self.sent, self.term_start);
            return Some(follow::Item::Start { at, first });
        }
        let mut published = handle.published.clone();
        let sent = self.sent;
        let progress = published.wait_for(|p| p.status.received > sent);
        // After a timeout without new entries, the item is an empty heartbeat.
        let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, progress).await;
        if !is_primary_of(handle, self.term) {
            return None;
        }
        let entries = request(handle, |reply| member::Request::Fetch {
            after: sent,
            reply,
        })
        .await?;
        self.sent.0 += entries.len() as u64;
        Some(follow::Item::Entries(entries))
    }
}

fn is_primary_of(handle: &member::Handle, term: position::Term) -> bool {
    let published = handle.published.borrow();
    published.status.role == status::MemberRole::Primary && published.status.term == term
}
