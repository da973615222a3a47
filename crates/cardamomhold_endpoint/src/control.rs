//! Control of a member: reads its status and runs the steps of a change of primary.

use std::fmt;
use std::future;
use std::io;
use std::time;

use cardamomhold_core::position;
use cardamomhold_group::detect;
use cardamomhold_group::status;

use crate::connection;

/// Time allowed for an answer, beyond the wait that a status request asks for.
pub const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Why a control command failed.
#[derive(Debug)]
pub enum ControlError {
    /// No answer came in time.
    Timeout,
    /// The connection ended.
    Closed,
    /// The member refused because it is at another term.
    WrongTerm,
    /// The connection failed.
    Connection(connection::ConnectionError),
}

impl ControlError {
    /// Returns the reachability that the failure implies.
    pub fn reach(&self) -> detect::Reach {
        match self {
            Self::Timeout => detect::Reach::Timeout,
            Self::Closed => detect::Reach::Closed,
            // The member answered, so the error doesn't show whether it has failed.
            Self::WrongTerm => detect::Reach::Unknown,
            Self::Connection(error) => connection_reach(error),
        }
    }
}

fn connection_reach(error: &connection::ConnectionError) -> detect::Reach {
    match error {
        connection::ConnectionError::Open(error) if is_refusal(error) => detect::Reach::Closed,
        connection::ConnectionError::Open(_) | connection::ConnectionError::Timeout => {
            detect::Reach::Timeout
        }
        connection::ConnectionError::Closed | connection::ConnectionError::Frame(_) => {
            detect::Reach::Closed
        }
        connection::ConnectionError::Refused { .. }
        | connection::ConnectionError::Failed { .. }
        | connection::ConnectionError::BadAnswer => detect::Reach::Unknown,
    }
}

/// Whether the member's machine refused or reset the connection, as it does when no process
/// listens.
fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Closed => f.write_str("connection closed"),
            Self::WrongTerm => f.write_str("member is at another term"),
            Self::Connection(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ControlError {}

impl From<connection::ConnectionError> for ControlError {
    fn from(error: connection::ConnectionError) -> Self {
        match error {
            connection::ConnectionError::Timeout => Self::Timeout,
            connection::ConnectionError::Closed => Self::Closed,
            connection::ConnectionError::Failed { .. } => Self::WrongTerm,
            other => Self::Connection(other),
        }
    }
}

/// Log positions that the caller of [`Control::status`] already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Received position.
    pub received: position::LogPosition,
    /// Applied position.
    pub applied: position::LogPosition,
}

/// Control of one member.
pub trait Control: Send {
    /// Returns the status when a log position has passed the one in `known`, or after `wait`.
    fn status(
        &mut self,
        known: Progress,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<status::MemberStatus, ControlError>> + Send;

    /// Makes the member reject log entries of terms below `term`. Idempotent.
    fn fence(
        &mut self,
        term: position::Term,
    ) -> impl future::Future<Output = Result<status::MemberStatus, ControlError>> + Send;

    /// Makes the member the primary of `term`, at which it must be fenced. Idempotent.
    fn promote(
        &mut self,
        term: position::Term,
    ) -> impl future::Future<Output = Result<status::MemberStatus, ControlError>> + Send;

    /// Makes the member follow the primary of `term` and discard log entries that this primary
    /// does not have. Idempotent.
    fn follow(
        &mut self,
        term: position::Term,
        primary: &str,
    ) -> impl future::Future<Output = Result<status::MemberStatus, ControlError>> + Send;
}

/// Controls a member through its `MEMBER` commands on an ordinary connection.
#[derive(Debug)]
pub struct SqlControl {
    connection: connection::Connection,
}

impl SqlControl {
    /// Opens a control connection.
    ///
    /// # Errors
    /// [`ControlError`] when the member can't be reached.
    pub async fn open(login: &connection::Login) -> Result<Self, ControlError> {
        let connection = connection::Connection::open(login).await?;
        Ok(Self { connection })
    }

    async fn send_command(
        &mut self,
        command: &str,
        wait: time::Duration,
    ) -> Result<status::MemberStatus, ControlError> {
        let answer =
            tokio::time::timeout(wait + ANSWER_TIMEOUT, self.connection.query(command)).await;
        let row = match answer {
            Ok(row) => row?,
            Err(_) => return Err(ControlError::Timeout),
        };
        let row = row.ok_or(connection::ConnectionError::BadAnswer)?;
        Ok(parse_status(&row)?)
    }
}

fn parse_status(
    row: &connection::Row,
) -> Result<status::MemberStatus, connection::ConnectionError> {
    let role = match row.text(0) {
        Some("primary") => status::MemberRole::Primary,
        Some("replica") => status::MemberRole::Replica,
        _ => return Err(connection::ConnectionError::BadAnswer),
    };
    Ok(status::MemberStatus {
        role,
        term: position::Term(row.number(1)?),
        fenced: position::Term(row.number(2)?),
        received: position::LogPosition(row.number(3)?),
        applied: position::LogPosition(row.number(4)?),
        silence: time::Duration::from_millis(row.number(5)?),
        lag: time::Duration::from_millis(row.number(6)?),
        leaving: row.number(7)? == 1,
    })
}

impl Control for SqlControl {
    async fn status(
        &mut self,
        known: Progress,
        wait: time::Duration,
    ) -> Result<status::MemberStatus, ControlError> {
        let command = format!(
            "MEMBER STATUS AFTER {} {} WAIT {}",
            known.received,
            known.applied,
            wait.as_millis()
        );
        self.send_command(&command, wait).await
    }

    async fn fence(&mut self, term: position::Term) -> Result<status::MemberStatus, ControlError> {
        self.send_command(&format!("MEMBER FENCE {term}"), time::Duration::ZERO)
            .await
    }

    async fn promote(
        &mut self,
        term: position::Term,
    ) -> Result<status::MemberStatus, ControlError> {
        self.send_command(&format!("MEMBER PROMOTE {term}"), time::Duration::ZERO)
            .await
    }

    async fn follow(
        &mut self,
        term: position::Term,
        primary: &str,
    ) -> Result<status::MemberStatus, ControlError> {
        self.send_command(
            &format!("MEMBER FOLLOW {term} {primary}"),
            time::Duration::ZERO,
        )
        .await
    }
}
