//! The members' own commands: status, fencing, promotion, following, streaming.

use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;
use tokio::sync::oneshot;

use crate::follow;
use crate::log;
use crate::member;

/// Interval of heartbeats on a replication stream.
const HEARTBEAT: time::Duration = time::Duration::from_millis(100);

/// A command that starts with `MEMBER`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Reports the status once the log has moved past what is known, or after a wait.
    Status {
        /// Known received position.
        received: position::LogPosition,
        /// Known applied position.
        applied: position::LogPosition,
        /// Longest wait.
        wait: time::Duration,
    },
    /// Reports the term and the end of the log.
    Position,
    /// Fences the member.
    Fence(position::Term),
    /// Makes it primary.
    Promote(position::Term),
    /// Makes it follow.
    Follow(position::Term, String),
    /// Streams the log to a follower.
    Stream(position::Term, Vec<log::Segment>),
}

impl Command {
    /// Reads a command; none when the text is something else.
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

/// Columns of a status row.
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

/// Waits as the command asks and returns the status.
pub async fn await_status(
    handle: &member::Handle,
    received: position::LogPosition,
    applied: position::LogPosition,
    wait: time::Duration,
) -> status::MemberStatus {
    let mut published = handle.published.clone();
    let moved = published.wait_for(|p| p.status.received > received || p.status.applied > applied);
    // Whether the log moved or the wait passed, the status is reported.
    let _ = tokio::time::timeout(wait, moved).await;
    current_status(handle)
}

/// The status with its ages, as of now.
pub fn current_status(handle: &member::Handle) -> status::MemberStatus {
    let published = handle.published.borrow();
    let mut status = published.status.clone();
    if status.role == status::MemberRole::Replica {
        status.silence = published.heard.elapsed();
        status.lag = published.fresh.elapsed();
    }
    status
}

/// A status as a row of text.
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

/// Asks the member's task; none when it has ended.
pub async fn ask<T>(
    handle: &member::Handle,
    request: impl FnOnce(oneshot::Sender<T>) -> member::Request,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    handle.requests.send(request(reply)).await.ok()?;
    answer.await.ok()
}

/// A replication stream as its server sees it.
#[derive(Debug)]
pub struct Stream {
    term: position::Term,
    at: position::LogPosition,
    first: position::LogPosition,
    is_started: bool,
}

impl Stream {
    /// Starts a stream to a follower with these segments; none when the member is not
    /// the primary of the term.
    pub async fn start(
        handle: &member::Handle,
        term: position::Term,
        theirs: &[log::Segment],
    ) -> Option<Self> {
        let ours = ask(handle, member::Request::Segments).await?;
        if !is_primary_of(handle, term) {
            return None;
        }
        let at = log::common_end(&ours, theirs);
        let first = log::end_before(&ours, term);
        Some(Self {
            term,
            at,
            first,
            is_started: false,
        })
    }

    /// The next item; none when the member is no longer the primary of the term.
    pub async fn next(&mut self, handle: &member::Handle) -> Option<follow::Item> {
        if !self.is_started {
            self.is_started = true;
            let (at, first) = (self.at, self.first);
            return Some(follow::Item::Start { at, first });
        }
        let mut published = handle.published.clone();
        let at = self.at;
        let moved = published.wait_for(|p| p.status.received > at);
        // A stream without news sends a heartbeat.
        let _ = tokio::time::timeout(HEARTBEAT, moved).await;
        if !is_primary_of(handle, self.term) {
            return None;
        }
        let entries = ask(handle, |reply| member::Request::Fetch { after: at, reply }).await?;
        self.at.0 += entries.len() as u64;
        Some(follow::Item::Entries(entries))
    }
}

fn is_primary_of(handle: &member::Handle, term: position::Term) -> bool {
    let published = handle.published.borrow();
    published.status.role == status::MemberRole::Primary && published.status.term == term
}
