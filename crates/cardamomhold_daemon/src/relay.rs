//! Relays an endpoint's answer to a batch, and holds back messages that would acknowledge a
//! commit.

use bytes::Bytes;
use bytes::BytesMut;
use cardamomhold_endpoint::connection;
use cardamomhold_wire::answer;
use pgwire::messages;
use pgwire::messages::response;
use tokio::sync::mpsc;

use crate::stream;

/// Length of the output buffer at which it is forwarded, in bytes.
const CHUNK_LEN: usize = 16 * 1024;
/// Length above which a stream holds only one message, in bytes.
const LARGE_LEN: usize = 4 * CHUNK_LEN;

/// Maximum length of the held messages, in bytes.
const MAX_HELD_LEN: usize = 4 * 1024 * 1024;
const COMMIT_TAG: &str = "COMMIT";

/// SQLSTATE of a write in a read-only transaction or at a replica.
const READ_ONLY: &str = "25006";

/// Reason why the answer could not be relayed completely.
#[derive(Debug)]
pub enum RelayError {
    /// The endpoint's connection failed.
    Connection(connection::ConnectionError),
    /// The caller's end of the stream is gone.
    CallerGone,
    /// The messages after a commit in the same batch exceed the limit on held messages.
    HeldTooLong,
    /// The endpoint started a COPY, which the proxy doesn't support.
    Copy,
}

impl From<connection::ConnectionError> for RelayError {
    fn from(error: connection::ConnectionError) -> Self {
        Self::Connection(error)
    }
}

/// Mode of relaying an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mode {
    /// Number of answers to wait for; `None` to wait for "ready for query".
    pub answers: Option<u32>,
    /// Whether a short answer is held back as a whole, so that another attempt is still
    /// possible.
    pub hold_all: bool,
}

/// Progress of relaying an answer; also valid after an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Whether anything was forwarded to the caller.
    pub forwarded: bool,
    /// Number of completed commands.
    pub completed: u32,
    /// Whether the answer includes rows or a row description.
    pub has_rows: bool,
}

/// Result of relaying an answer.
#[derive(Debug)]
pub struct Summary {
    /// State of the transaction.
    pub status: stream::Status,
    /// Messages to forward once the commit is confirmed.
    pub held: Bytes,
    /// Tag of the last completed command; empty when there was none.
    pub tag: String,
    /// Whether the endpoint reported an error.
    pub failed: bool,
    /// Whether the held messages include a COMMIT.
    pub is_commit_held: bool,
    /// Whether the whole batch was refused because the member is read-only; the refusal is
    /// held back.
    pub is_read_only: bool,
}

/// Relays until "ready for query", or until the given number of answers.
///
/// Holds back the last "command complete", and everything from a COMMIT on: both would
/// acknowledge a commit that isn't confirmed yet.
///
/// # Errors
/// [`RelayError`]; the connection can't be used any more.
pub async fn relay(
    connection: &mut connection::Connection,
    down: &mpsc::Sender<stream::Down>,
    mode: Mode,
    progress: &mut Progress,
) -> Result<Summary, RelayError> {
    let mut state = State::new(mode);
    while !state.is_complete() {
        let message = match connection.try_next()? {
            Some(message) => message,
            None => {
                state.flush(down, progress).await?;
                connection.release();
                connection.next().await?
            }
        };
        if let messages::PgWireBackendMessage::ReadyForQuery(ready) = &message {
            state.check_read_only(decode_status(ready.status), progress);
            state.flush(down, progress).await?;
            return Ok(state.finish(decode_status(ready.status)));
        }
        state.process(&message, progress)?;
        if state.out.len() >= CHUNK_LEN {
            state.hold_all = false;
            state.flush(down, progress).await?;
            connection.release();
        }
    }
    state.flush(down, progress).await?;
    Ok(state.finish(stream::Status::Transaction))
}

#[derive(Debug)]
struct State {
    remaining: Option<u32>,
    hold_all: bool,
    out: BytesMut,
    held: BytesMut,
    is_commit_held: bool,
    tag: String,
    failed: bool,
    saw_read_only: bool,
    is_read_only: bool,
}

impl State {
    fn new(mode: Mode) -> Self {
        Self {
            remaining: mode.answers,
            hold_all: mode.hold_all,
            out: BytesMut::new(),
            held: BytesMut::new(),
            is_commit_held: false,
            tag: String::new(),
            failed: false,
            saw_read_only: false,
            is_read_only: false,
        }
    }

    /// Holds the answer back if the batch failed as a whole because the member is read-only.
    fn check_read_only(&mut self, status: stream::Status, progress: &Progress) {
        let has_no_result = self.tag.is_empty() && !progress.forwarded;
        if self.saw_read_only && has_no_result && status == stream::Status::Idle {
            self.is_read_only = true;
            self.hold_all = true;
        }
    }

    /// Whether all answers have arrived; after an error the endpoint waits for a sync.
    fn is_complete(&self) -> bool {
        self.remaining
            .is_some_and(|remaining| remaining == 0 || self.failed)
    }

    fn process(
        &mut self,
        message: &messages::PgWireBackendMessage,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        if is_copy(message) {
            return Err(RelayError::Copy);
        }
        if ends_answer(message) {
            self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(1));
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
                append_visible(&mut self.held, message);
            }
            messages::PgWireBackendMessage::ErrorResponse(error) => {
                self.failed = true;
                self.saw_read_only |= error.fields.contains(&(b'C', READ_ONLY.to_owned()));
                let out = if self.is_commit_held {
                    &mut self.held
                } else {
                    &mut self.out
                };
                append_visible(out, message);
            }
            message if self.is_commit_held => append_visible(&mut self.held, message),
            message => append_visible(&mut self.out, message),
        }
        if self.held.len() > MAX_HELD_LEN {
            return Err(RelayError::HeldTooLong);
        }
        Ok(())
    }

    async fn flush(
        &mut self,
        down: &mpsc::Sender<stream::Down>,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        if self.out.is_empty() || self.hold_all {
            return Ok(());
        }
        progress.forwarded = true;
        let frames = self.out.split().freeze();
        if frames.len() > LARGE_LEN {
            // A large message is sent once the caller's task has taken all earlier ones, so that
            // the stream holds one.
            let places = down.reserve_many(down.max_capacity()).await;
            drop(places.map_err(|_| RelayError::CallerGone)?);
        }
        let sent = down.send(stream::Down::Frames(frames)).await;
        sent.map_err(|_| RelayError::CallerGone)
    }

    fn finish(mut self, status: stream::Status) -> Summary {
        self.out.extend_from_slice(&self.held);
        Summary {
            status,
            held: self.out.freeze(),
            tag: self.tag,
            failed: self.failed,
            is_commit_held: self.is_commit_held,
            is_read_only: self.is_read_only,
        }
    }
}

fn decode_status(status: response::TransactionStatus) -> stream::Status {
    match status {
        response::TransactionStatus::Idle => stream::Status::Idle,
        response::TransactionStatus::Transaction => stream::Status::Transaction,
        response::TransactionStatus::Error => stream::Status::Failed,
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

/// Whether a message completes the answer to a message of the extended protocol.
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

/// Appends a message if it is meant for callers.
pub fn append_visible(out: &mut BytesMut, message: &messages::PgWireBackendMessage) {
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
        // Callers of a connection pool don't need the other messages.
        _ => {}
    }
}
