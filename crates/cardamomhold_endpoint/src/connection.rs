//! A connection to an endpoint. It owns its socket.

use std::fmt;
use std::io;
use std::time;

use bytes::BytesMut;
use cardamomhold_budget::accounts;
use cardamomhold_core::position;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use pgwire::messages;
use pgwire::messages::response;
use pgwire::messages::simplequery;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;

/// Timeout for opening a connection until it is ready, and for a cancel request.
pub const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Query for a position at or above that of every commit so far.
pub const POSITION_QUERY: &str = "MEMBER POSITION";

/// Query for a member's status without a wait; its first column is the role.
const ROLE_QUERY: &str = "MEMBER STATUS AFTER 0 0 WAIT 0";

/// Role of a member that accepts no writes.
const REPLICA_ROLE: &str = "replica";

/// Statement that resets a connection's session state.
pub const RESET_QUERY: &str = "DISCARD ALL";

/// Why a connection can't be used.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection could not be opened; nothing was sent on it.
    Open(io::Error),
    /// The endpoint did not answer in time.
    Timeout,
    /// The endpoint refused the connection.
    Refused {
        /// The endpoint's SQLSTATE.
        code: String,
    },
    /// The endpoint closed the connection.
    Closed,
    /// The connection failed, or its bytes aren't messages of the protocol.
    Frame(frame::FrameError),
    /// The endpoint answered with an error.
    Failed {
        /// The endpoint's SQLSTATE.
        code: String,
    },
    /// The answer does not have the expected form.
    BadAnswer,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open(error) => write!(f, "could not connect: {error}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Refused { code } => write!(f, "connection refused with {code}"),
            Self::Closed => f.write_str("closed by the endpoint"),
            Self::Frame(error) => error.fmt(f),
            Self::Failed { code } => write!(f, "failed with {code}"),
            Self::BadAnswer => f.write_str("unexpected answer"),
        }
    }
}

impl std::error::Error for ConnectionError {}

impl From<frame::FrameError> for ConnectionError {
    fn from(error: frame::FrameError) -> Self {
        Self::Frame(error)
    }
}

/// Parameters for opening a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Database, which is the group's name.
    pub database: String,
    /// Name of this instance, sent as `application_name` for the endpoint's own lists.
    pub application: String,
}

/// An open connection, ready for queries.
#[derive(Debug)]
pub struct Connection {
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    address: String,
    pid: i32,
    secret: startup::SecretKey,
}

impl Connection {
    /// Opens a connection and waits until it is ready.
    ///
    /// # Errors
    /// [`ConnectionError`] when the endpoint can't be reached, refuses, or does not
    /// answer within [`OPEN_TIMEOUT`].
    pub async fn open(login: &Login) -> Result<Self, ConnectionError> {
        match tokio::time::timeout(OPEN_TIMEOUT, Self::open_untimed(login)).await {
            Ok(result) => result,
            Err(_) => Err(ConnectionError::Timeout),
        }
    }

    async fn open_untimed(login: &Login) -> Result<Self, ConnectionError> {
        let socket = net::TcpStream::connect(&login.address)
            .await
            .map_err(ConnectionError::Open)?;
        socket.set_nodelay(true).map_err(ConnectionError::Open)?;
        let (read, write) = socket.into_split();
        let mut connection = Self {
            reader: frame::Reader::for_endpoint(read),
            writer: write,
            address: login.address.clone(),
            pid: 0,
            secret: startup::SecretKey::default(),
        };
        let mut out = BytesMut::new();
        answer::put(&mut out, &startup_message(login));
        connection.send(&out).await?;
        connection.await_ready().await?;
        Ok(connection)
    }

    async fn await_ready(&mut self) -> Result<(), ConnectionError> {
        loop {
            match self.next().await? {
                messages::PgWireBackendMessage::BackendKeyData(key) => {
                    self.pid = key.pid;
                    self.secret = key.secret_key;
                }
                messages::PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                messages::PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(ConnectionError::Refused {
                        code: sqlstate(&error),
                    });
                }
                _ => continue,
            }
        }
    }

    /// Charges what is read from now on to `account`.
    pub fn charge_to(&mut self, account: accounts::Account) {
        self.reader.charge_to(account);
    }

    /// Releases the charge of the messages that have been read.
    pub fn release(&mut self) {
        self.reader.release();
    }

    /// Sends encoded messages.
    ///
    /// # Errors
    /// [`ConnectionError::Frame`] when the socket fails; some bytes may have been sent.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        let sent = self.writer.write_all(bytes).await;
        sent.map_err(|e| ConnectionError::Frame(frame::FrameError::Io(e)))
    }

    /// Receives the endpoint's next message.
    ///
    /// # Errors
    /// [`ConnectionError`] when the connection ends or fails.
    pub async fn next(&mut self) -> Result<messages::PgWireBackendMessage, ConnectionError> {
        self.reader
            .next_backend()
            .await?
            .ok_or(ConnectionError::Closed)
    }

    /// Returns the next message if it has already arrived in full.
    ///
    /// # Errors
    /// [`ConnectionError`] when the bytes aren't a message.
    pub fn try_next(&mut self) -> Result<Option<messages::PgWireBackendMessage>, ConnectionError> {
        Ok(self.reader.try_next_backend()?)
    }

    /// Runs a simple query and returns its first row, as text columns.
    ///
    /// # Errors
    /// [`ConnectionError`] when the connection or the query fails. After an error other than
    /// [`ConnectionError::Failed`] the connection is no longer usable.
    pub async fn query(&mut self, text: &str) -> Result<Option<Row>, ConnectionError> {
        let mut out = BytesMut::new();
        answer::put(&mut out, &simplequery::Query::new(text.to_owned()));
        self.send(&out).await?;
        let mut row = None;
        let mut failure = None;
        loop {
            match self.next().await? {
                messages::PgWireBackendMessage::DataRow(data) if row.is_none() => {
                    row = Some(Row::parse(&data.data)?);
                }
                messages::PgWireBackendMessage::ErrorResponse(error) => {
                    failure = Some(ConnectionError::Failed {
                        code: sqlstate(&error),
                    });
                }
                messages::PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => continue,
            }
        }
        match failure {
            Some(error) => Err(error),
            None => Ok(row),
        }
    }

    /// Queries a position at or above that of every commit so far, with its term.
    ///
    /// # Errors
    /// [`ConnectionError`] when the query fails or its answer has another form.
    pub async fn position(&mut self) -> Result<position::Position, ConnectionError> {
        let row = self
            .query(POSITION_QUERY)
            .await?
            .ok_or(ConnectionError::BadAnswer)?;
        let term = position::Term(row.number(0)?);
        let log = position::LogPosition(row.number(1)?);
        Ok(position::Position::new(term, log))
    }

    /// Queries whether the member is a replica; a replaced primary becomes one.
    ///
    /// # Errors
    /// [`ConnectionError`] when the query fails or has no row.
    pub async fn is_replica(&mut self) -> Result<bool, ConnectionError> {
        let row = self.query(ROLE_QUERY).await?;
        let row = row.ok_or(ConnectionError::BadAnswer)?;
        Ok(row.text(0) == Some(REPLICA_ROLE))
    }

    /// Returns the key for cancelling this connection's statements.
    pub fn cancel_key(&self) -> CancelKey {
        CancelKey {
            address: self.address.clone(),
            pid: self.pid,
            secret: self.secret.clone(),
        }
    }
}

/// Address and key of a connection whose running statement can be cancelled.
#[derive(Debug, Clone)]
pub struct CancelKey {
    address: String,
    pid: i32,
    secret: startup::SecretKey,
}

impl CancelKey {
    /// Asks the endpoint to cancel the connection's running statement.
    ///
    /// # Errors
    /// [`ConnectionError`] when the endpoint can't be reached within [`OPEN_TIMEOUT`].
    pub async fn cancel(&self) -> Result<(), ConnectionError> {
        match tokio::time::timeout(OPEN_TIMEOUT, self.cancel_untimed()).await {
            Ok(result) => result.map_err(ConnectionError::Open),
            Err(_) => Err(ConnectionError::Timeout),
        }
    }

    async fn cancel_untimed(&self) -> io::Result<()> {
        let mut socket = net::TcpStream::connect(&self.address).await?;
        let request = messages::cancel::CancelRequest::new(self.pid, self.secret.clone());
        let mut out = BytesMut::new();
        answer::put(&mut out, &request);
        socket.write_all(&out).await?;
        socket.shutdown().await
    }
}

/// One row of text columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row(Vec<Option<String>>);

impl Row {
    fn parse(mut data: &[u8]) -> Result<Self, ConnectionError> {
        let mut columns = Vec::new();
        while !data.is_empty() {
            let (len, rest) = data
                .split_first_chunk::<4>()
                .ok_or(ConnectionError::BadAnswer)?;
            data = rest;
            let Ok(len) = usize::try_from(i32::from_be_bytes(*len)) else {
                columns.push(None);
                continue;
            };
            let (value, rest) = data
                .split_at_checked(len)
                .ok_or(ConnectionError::BadAnswer)?;
            data = rest;
            columns.push(Some(String::from_utf8_lossy(value).into_owned()));
        }
        Ok(Self(columns))
    }

    /// Returns a column as text; `None` when it is null or missing.
    pub fn text(&self, column: usize) -> Option<&str> {
        self.0.get(column)?.as_deref()
    }

    /// Returns a column as a whole number.
    ///
    /// # Errors
    /// [`ConnectionError::BadAnswer`] when the column isn't a whole number.
    pub fn number(&self, column: usize) -> Result<u64, ConnectionError> {
        let text = self.text(column).ok_or(ConnectionError::BadAnswer)?;
        text.parse().map_err(|_| ConnectionError::BadAnswer)
    }
}

fn startup_message(login: &Login) -> startup::Startup {
    let mut startup = startup::Startup::new();
    let fields = [
        ("user", "cardamomhold"),
        ("database", login.database.as_str()),
        ("application_name", login.application.as_str()),
    ];
    for (name, value) in fields {
        startup.parameters.insert(name.to_owned(), value.to_owned());
    }
    startup
}

/// Returns the SQLSTATE of an error message; empty when it has none.
pub fn sqlstate(error: &response::ErrorResponse) -> String {
    let code = error.fields.iter().find(|(field, _)| *field == b'C');
    code.map(|(_, code)| code.clone()).unwrap_or_default()
}
