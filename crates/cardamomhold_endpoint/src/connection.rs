//! One connection to an endpoint. Whoever holds it owns its socket.

use std::fmt;
use std::io;
use std::time;

use bytes::BytesMut;
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

/// Time within which a connection must be open and ready.
pub const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Asks for the position that everything committed so far lies below.
pub const POSITION_QUERY: &str = "MEMBER POSITION";

/// Asks a member at once for its status, whose first column is its role.
const ROLE_QUERY: &str = "MEMBER STATUS AFTER 0 0 WAIT 0";

/// Role of a member that takes no writes.
const REPLICA: &str = "replica";

/// Brings a connection back to a fresh state.
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
    /// The connection failed or its bytes are no messages.
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

/// What is needed to open a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Database, which is the group's name.
    pub database: String,
    /// Name of this instance, for the endpoint's own lists.
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
        answer::put(&mut out, &startup_of(login));
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
                        code: code_of(&error),
                    });
                }
                _ => continue,
            }
        }
    }

    /// Sends encoded messages.
    ///
    /// # Errors
    /// [`ConnectionError::Frame`] when the socket fails; some bytes may have left.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        let sent = self.writer.write_all(bytes).await;
        sent.map_err(|e| ConnectionError::Frame(frame::FrameError::Io(e)))
    }

    /// The next message of the endpoint.
    ///
    /// # Errors
    /// [`ConnectionError`] when the connection ends or fails.
    pub async fn next(&mut self) -> Result<messages::PgWireBackendMessage, ConnectionError> {
        self.reader
            .next_backend()
            .await?
            .ok_or(ConnectionError::Closed)
    }

    /// The next message that has already arrived, if there is one.
    ///
    /// # Errors
    /// [`ConnectionError`] when the bytes are no message.
    pub fn take(&mut self) -> Result<Option<messages::PgWireBackendMessage>, ConnectionError> {
        Ok(self.reader.take_backend()?)
    }

    /// Runs a simple query and returns its first row, as text columns.
    ///
    /// # Errors
    /// [`ConnectionError`] when the connection fails or the query does. The connection
    /// stays usable only after [`ConnectionError::Failed`].
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
                        code: code_of(&error),
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

    /// The position below which everything lies that was committed so far, with its term.
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

    /// Whether the member has been replaced as primary.
    ///
    /// # Errors
    /// [`ConnectionError`] when the member can't say so.
    pub async fn is_replica(&mut self) -> Result<bool, ConnectionError> {
        let row = self.query(ROLE_QUERY).await?;
        let row = row.ok_or(ConnectionError::BadAnswer)?;
        Ok(row.text(0) == Some(REPLICA))
    }

    /// What a cancel request for this connection needs.
    pub fn cancel_key(&self) -> CancelKey {
        CancelKey {
            address: self.address.clone(),
            pid: self.pid,
            secret: self.secret.clone(),
        }
    }
}

/// Identifies a running statement for a cancel request.
#[derive(Debug, Clone)]
pub struct CancelKey {
    address: String,
    pid: i32,
    secret: startup::SecretKey,
}

impl CancelKey {
    /// Asks the endpoint to cancel what the connection runs.
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

    /// A column as text; none when it is null or missing.
    pub fn text(&self, at: usize) -> Option<&str> {
        self.0.get(at)?.as_deref()
    }

    /// A column as a whole number.
    ///
    /// # Errors
    /// [`ConnectionError::BadAnswer`] when it is none.
    pub fn number(&self, at: usize) -> Result<u64, ConnectionError> {
        let text = self.text(at).ok_or(ConnectionError::BadAnswer)?;
        text.parse().map_err(|_| ConnectionError::BadAnswer)
    }
}

fn startup_of(login: &Login) -> startup::Startup {
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

/// The SQLSTATE of an error message.
pub fn code_of(error: &response::ErrorResponse) -> String {
    let code = error.fields.iter().find(|(field, _)| *field == b'C');
    code.map(|(_, code)| code.clone()).unwrap_or_default()
}
