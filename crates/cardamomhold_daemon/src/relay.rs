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
}

impl From<connection::ConnectionError> for RelayError {
    fn from(error: connection::ConnectionError) -> Self {
        Self::Connection(error)
    }
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
    /// Whether anything was sent on.
    pub forwarded: bool,
    /// Whether the batch was refused as a whole because nothing can be written there;
    /// the refusal is held back.
    pub is_read_only: bool,
}

/// Relays until "ready for query".
///
/// The last "command complete" is held back, and everything from a COMMIT on: both
/// would tell the caller of a commit that is not confirmed yet.
///
/// # Errors
/// [`RelayError`]; the connection can't be used any more.
pub async fn relay(
    connection: &mut connection::Connection,
    down: &mpsc::Sender<lane::Down>,
) -> Result<Ended, RelayError> {
    let mut state = State::default();
    loop {
        let message = match connection.take()? {
            Some(message) => message,
            None => {
                state.flush(down).await?;
                connection.next().await?
            }
        };
        if let messages::PgWireBackendMessage::ReadyForQuery(ready) = &message {
            state.judge(ready.status);
            state.flush(down).await?;
            return Ok(state.end(ready.status));
        }
        state.take(&message)?;
        if state.out.len() >= CHUNK_LEN {
            state.flush(down).await?;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    out: BytesMut,
    held: BytesMut,
    is_commit_held: bool,
    tag: String,
    failed: bool,
    forwarded: bool,
    refused: bool,
    is_read_only: bool,
}

impl State {
    /// Holds the answer back when it says that nothing of the batch could be written.
    fn judge(&mut self, status: response::TransactionStatus) {
        let is_idle = matches!(status, response::TransactionStatus::Idle);
        if self.refused && is_idle && self.tag.is_empty() && !self.forwarded {
            self.is_read_only = true;
            self.held = self.out.split();
        }
    }

    fn take(&mut self, message: &messages::PgWireBackendMessage) -> Result<(), RelayError> {
        if matches!(message, messages::PgWireBackendMessage::ParameterStatus(_)) {
            return Ok(());
        }
        if !self.is_commit_held && !self.held.is_empty() {
            let held = self.held.split();
            self.out.extend_from_slice(&held);
        }
        match message {
            messages::PgWireBackendMessage::CommandComplete(complete) => {
                complete.tag.clone_into(&mut self.tag);
                self.is_commit_held |= complete.tag == COMMIT_TAG;
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

    async fn flush(&mut self, down: &mpsc::Sender<lane::Down>) -> Result<(), RelayError> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.forwarded = true;
        let frames = self.out.split().freeze();
        let sent = down.send(lane::Down::Frames(frames)).await;
        sent.map_err(|_| RelayError::CallerGone)
    }

    fn end(self, status: response::TransactionStatus) -> Ended {
        Ended {
            status: status_of(status),
            held: self.held.freeze(),
            tag: self.tag,
            failed: self.failed,
            forwarded: self.forwarded,
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
