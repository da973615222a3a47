//! Relays an endpoint's answer to a batch, and holds back what would acknowledge a commit.

use bytes::Bytes;
use bytes::BytesMut;
use cardamomhold_endpoint::connection;
use cardamomhold_wire::answer;
use pgwire::messages;
use pgwire::messages::response;
use tokio::sync::mpsc;

use crate::lane;

const CHUNK_LEN: usize = 16 * 1024;
const MAX_HELD_LEN: usize = 4 * 1024 * 1024;
const COMMIT_TAG: &str = "COMMIT";

/// SQLSTATE of a write where nothing can be written.
const READ_ONLY: &str = "25006";

/// Why the answer could not be relayed to its end.
#[derive(Debug)]
pub enum RelayError {
    /// The endpoint's connection failed.
    Connection(connection::ConnectionError),
    /// The caller's end of the lane is gone.
    CallerGone,
    /// Too much follows a commit in the same batch.
    HeldTooLong,
    /// The endpoint waits for a copy, which the proxy does not carry.
    Copy,
}

impl From<connection::ConnectionError> for RelayError {
    fn from(error: connection::ConnectionError) -> Self {
        Self::Connection(error)
    }
}

/// How an answer is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mode {
    /// Answers to wait for; none to wait for "ready for query".
    pub answers: Option<u32>,
    /// Whether a short answer is held back as a whole, so that another attempt may
    /// still give it.
    pub holds: bool,
}

/// What a relayed answer has done so far, which also counts when it breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Whether anything was sent on.
    pub forwarded: bool,
    /// Completed commands.
    pub completed: u32,
    /// Whether there were rows.
    pub has_rows: bool,
}

/// The end of an answer.
#[derive(Debug)]
pub struct Ended {
    /// State of the transaction.
    pub status: lane::Status,
    /// Messages to send on once the commit is confirmed.
    pub held: Bytes,
    /// Tag of the last completed command; empty when there was none.
    pub tag: String,
    /// Whether the endpoint reported an error.
    pub failed: bool,
    /// Whether a COMMIT is among what is held back.
    pub is_commit_held: bool,
    /// Whether the batch was refused as a whole because nothing can be written there;
    /// the refusal is held back.
    pub is_read_only: bool,
}

/// Relays until "ready for query", or until so many answers have come.
///
/// The last "command complete" is held back, and everything from a COMMIT on: both
/// would tell the caller of a commit that is not confirmed yet.
///
/// # Errors
/// [`RelayError`]; the connection can't be used any more.
pub async fn relay(
    connection: &mut connection::Connection,
    down: &mpsc::Sender<lane::Down>,
    mode: Mode,
    progress: &mut Progress,
) -> Result<Ended, RelayError> {
    let mut state = State::new(mode);
    while !state.is_complete() {
        let message = match connection.try_next()? {
            Some(message) => message,
            None => {
                state.flush(down, progress).await?;
                connection.next().await?
            }
        };
        if let messages::PgWireBackendMessage::ReadyForQuery(ready) = &message {
            state.judge(status_of(ready.status), progress);
            state.flush(down, progress).await?;
            return Ok(state.end(status_of(ready.status)));
        }
        state.take(&message, progress)?;
        if state.out.len() >= CHUNK_LEN {
            state.holds = false;
            state.flush(down, progress).await?;
        }
    }
    state.flush(down, progress).await?;
    Ok(state.end(lane::Status::Transaction))
}

#[derive(Debug)]
struct State {
    left: Option<u32>,
    holds: bool,
    out: BytesMut,
    held: BytesMut,
    is_commit_held: bool,
    tag: String,
    failed: bool,
    refused: bool,
    is_read_only: bool,
}

impl State {
    fn new(mode: Mode) -> Self {
        Self {
            left: mode.answers,
            holds: mode.holds,
            out: BytesMut::new(),
            held: BytesMut::new(),
            is_commit_held: false,
            tag: String::new(),
            failed: false,
            refused: false,
            is_read_only: false,
        }
    }

    /// Holds the answer back when it says that nothing of the batch could be written.
    fn judge(&mut self, status: lane::Status, progress: &Progress) {
        let is_first = self.tag.is_empty() && !progress.forwarded;
        if self.refused && is_first && status == lane::Status::Idle {
            self.is_read_only = true;
            self.holds = true;
        }
    }

    /// Whether all answers have come; after an error the endpoint waits for a sync.
    fn is_complete(&self) -> bool {
        self.left.is_some_and(|left| left == 0 || self.failed)
    }

    fn take(
        &mut self,
        message: &messages::PgWireBackendMessage,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        if is_copy(message) {
            return Err(RelayError::Copy);
        }
        if ends_answer(message) {
            self.left = self.left.map(|left| left.saturating_sub(1));
        }
        progress.has_rows |= matches!(message, messages::PgWireBackendMessage::RowDescription(_));
        progress.has_rows |= matches!(message, messages::PgWireBackendMessage::DataRow(_));
        if matches!(message, messages::PgWireBackendMessage::ParameterStatus(_)) {
            return Ok(());
        }
        if !self.is_commit_held && !self.held.is_empty() {
            let held = self.held.split();
            self.out.extend_from_slice(&held);
        }
        match message {
            messages::PgWireBackendMessage::CommandComplete(complete) => {
                progress.completed += 1;
                complete.tag.clone_into(&mut self.tag);
                self.is_commit_held |= complete.tag.starts_with(COMMIT_TAG);
                put(&mut self.held, message);
            }
            messages::PgWireBackendMessage::ErrorResponse(error) => {
                self.failed = true;
                self.refused |= error.fields.contains(&(b'C', READ_ONLY.to_owned()));
                let out = if self.is_commit_held {
                    &mut self.held
                } else {
                    &mut self.out
                };
                put(out, message);
            }
            message if self.is_commit_held => put(&mut self.held, message),
            message => put(&mut self.out, message),
        }
        if self.held.len() > MAX_HELD_LEN {
            return Err(RelayError::HeldTooLong);
        }
        Ok(())
    }

    async fn flush(
        &mut self,
        down: &mpsc::Sender<lane::Down>,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        if self.out.is_empty() || self.holds {
            return Ok(());
        }
        progress.forwarded = true;
        let frames = self.out.split().freeze();
        let sent = down.send(lane::Down::Frames(frames)).await;
        sent.map_err(|_| RelayError::CallerGone)
    }

    fn end(mut self, status: lane::Status) -> Ended {
        self.out.extend_from_slice(&self.held);
        Ended {
            status,
            held: self.out.freeze(),
            tag: self.tag,
            failed: self.failed,
            is_commit_held: self.is_commit_held,
            is_read_only: self.is_read_only,
        }
    }
}

fn status_of(status: response::TransactionStatus) -> lane::Status {
    match status {
        response::TransactionStatus::Idle => lane::Status::Idle,
        response::TransactionStatus::Transaction => lane::Status::Transaction,
        response::TransactionStatus::Error => lane::Status::Failed,
    }
}

fn is_copy(message: &messages::PgWireBackendMessage) -> bool {
    matches!(
        message,
        messages::PgWireBackendMessage::CopyInResponse(_)
            | messages::PgWireBackendMessage::CopyOutResponse(_)
            | messages::PgWireBackendMessage::CopyBothResponse(_)
    )
}

/// Whether a message is the last one that answers a message of the extended protocol.
fn ends_answer(message: &messages::PgWireBackendMessage) -> bool {
    matches!(
        message,
        messages::PgWireBackendMessage::ParseComplete(_)
            | messages::PgWireBackendMessage::BindComplete(_)
            | messages::PgWireBackendMessage::CloseComplete(_)
            | messages::PgWireBackendMessage::CommandComplete(_)
            | messages::PgWireBackendMessage::EmptyQueryResponse(_)
            | messages::PgWireBackendMessage::PortalSuspended(_)
            | messages::PgWireBackendMessage::RowDescription(_)
            | messages::PgWireBackendMessage::NoData(_)
    )
}

/// Appends a message that callers may see; others are left out.
pub fn put(out: &mut BytesMut, message: &messages::PgWireBackendMessage) {
    match message {
        messages::PgWireBackendMessage::ParseComplete(m) => answer::put(out, m),
        messages::PgWireBackendMessage::CloseComplete(m) => answer::put(out, m),
        messages::PgWireBackendMessage::BindComplete(m) => answer::put(out, m),
        messages::PgWireBackendMessage::PortalSuspended(m) => answer::put(out, m),
        messages::PgWireBackendMessage::CommandComplete(m) => answer::put(out, m),
        messages::PgWireBackendMessage::EmptyQueryResponse(m) => answer::put(out, m),
        messages::PgWireBackendMessage::ErrorResponse(m) => answer::put(out, m),
        messages::PgWireBackendMessage::NoticeResponse(m) => answer::put(out, m),
        messages::PgWireBackendMessage::ParameterDescription(m) => answer::put(out, m),
        messages::PgWireBackendMessage::RowDescription(m) => answer::put(out, m),
        messages::PgWireBackendMessage::DataRow(m) => answer::put(out, m),
        messages::PgWireBackendMessage::NoData(m) => answer::put(out, m),
        // Everything else is of no meaning to a caller behind a pool.
        _ => {}
    }
}
