//! Frames between an instance and an owner of connections.

use std::fmt;
use std::io;
use std::time;

use bytes::Buf;
use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_workspace::access;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::answer;
use crate::connect;
use crate::link;

mod head;

/// Maximum length of a frame, in bytes; one frame carries all rows of an answer.
const MAX_FRAME_LEN: usize = 16 * 1024 * 1024;

/// Length of the length that precedes a frame, in bytes.
const LENGTH_LEN: usize = 4;

/// Smallest buffer for a frame, in bytes; an ordinary request fits.
const MIN_BUFFER_LEN: usize = 2 << 10;

/// Times that a received frame is charged: once for itself, and for its decoded rows, whose buffer
/// may be twice as long as they are.
const DECODED_COPIES: usize = 3;

/// Time in which the other instance must take a frame.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Header of a request; an owner uses it to check out a connection, unless it has one for this
/// client already.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Header {
    /// The group.
    pub group: name::GroupName,
    /// The member.
    pub member: name::MemberName,
    /// The caller.
    pub caller: name::CallerName,
    /// The right to run the request in the name of a workspace; none in a deployment without
    /// workspaces. Encoded beside the header.
    #[serde(skip)]
    pub grant: Option<access::Grant>,
    /// Wait for a slot beyond which another member is expected to be faster. Encoded beside the
    /// header.
    #[serde(skip)]
    pub max_wait: Option<time::Duration>,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Time left until its target, in microseconds.
    pub target_us: u64,
}

/// A request to an owner.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Request<'a> {
    /// The member and the priority; none inside a transaction, whose connection the owner has.
    #[serde(with = "head")]
    pub header: Option<Header>,
    /// Time left until its deadline, in microseconds.
    pub left_us: u64,
    /// The commands to run.
    #[serde(borrow)]
    pub body: Body<'a>,
}

/// Content of a request.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Body<'a> {
    /// Commands that must all succeed.
    #[serde(borrow)]
    Prepare(Vec<link::Command<'a>>),
    /// A statement.
    #[serde(borrow)]
    Call(link::Command<'a>),
    /// Checks that the owner is alive; nothing is sent to the member.
    Ping {
        /// The group.
        group: name::GroupName,
        /// The member that the sender is interested in.
        member: name::MemberName,
    },
}

impl Body<'_> {
    /// Whether a member that runs it has begun an operation.
    pub fn starts_operation(&self) -> bool {
        match self {
            Self::Prepare(commands) => commands
                .iter()
                .any(|c| matches!(c, link::Command::Begin { .. })),
            Self::Call(_) => true,
            Self::Ping { .. } => false,
        }
    }

    /// Name of the kind in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Prepare(_) => "prepare",
            Self::Call(_) => "call",
            Self::Ping { .. } => "ping",
        }
    }
}

/// Reply to a request, with the owner's report.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Load of the member, and the time that the request waited.
    pub report: link::Report,
    /// Result of the request.
    pub result: Outcome,
}

/// Result of a request.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// All commands succeeded; the member's log position, if it is known.
    Prepared(Option<position::Position>),
    /// The member answered the statement.
    Answered(answer::Answer),
    /// The request failed.
    Failed(Failure),
    /// Reply to a ping.
    Pong {
        /// Whether the member answers the statements that the owner sends to it.
        is_answering: bool,
    },
}

impl Outcome {
    /// Name of the kind in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Prepared(_) => "prepared",
            Self::Answered(_) => "answered",
            Self::Failed(Failure::Unreachable) => "unreachable",
            Self::Failed(Failure::Broken) => "broken",
            Self::Failed(Failure::Garbled) => "garbled",
            Self::Failed(Failure::Refused(_)) => "refused",
            Self::Failed(Failure::Overloaded { .. }) => "overloaded",
            Self::Failed(Failure::Limited { .. }) => "limited",
            Self::Failed(Failure::LongWait) => "long_wait",
            Self::Pong { .. } => "pong",
        }
    }
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Failure {
    /// The owner is shutting down or has no connection to the member; nothing ran.
    Unreachable,
    /// The connection to the member broke, or the member did not answer in time.
    Broken,
    /// The member's answer can't be decoded.
    Garbled,
    /// The member refused the request; nothing ran.
    Refused(answer::Code),
    /// The request would wait for too long; nothing ran.
    Overloaded {
        /// Time after which there is room, in milliseconds.
        after_ms: u32,
    },
    /// The workspace is over its limit; nothing ran.
    Limited {
        /// Time after which there may be a token, in milliseconds.
        after_ms: u32,
    },
    /// The request would wait for longer than its header allows; nothing ran.
    LongWait,
}

impl From<Failure> for link::LinkError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable => Self::Unreachable(io::ErrorKind::HostUnreachable.into()),
            Failure::Broken => Self::Broken(io::ErrorKind::ConnectionAborted.into()),
            Failure::Garbled => Self::Garbled,
            Failure::Refused(code) => Self::Refused(code),
            Failure::Overloaded { after_ms } => {
                Self::Overloaded(time::Duration::from_millis(after_ms.into()))
            }
            Failure::Limited { after_ms } => {
                Self::Limited(time::Duration::from_millis(after_ms.into()))
            }
            Failure::LongWait => Self::LongWait,
        }
    }
}

impl From<&link::LinkError> for Failure {
    fn from(error: &link::LinkError) -> Self {
        match error {
            link::LinkError::Unreachable(_) => Self::Unreachable,
            link::LinkError::Broken(_) | link::LinkError::OwnerLost(_) => Self::Broken,
            link::LinkError::Garbled => Self::Garbled,
            link::LinkError::Refused(code) => Self::Refused(*code),
            link::LinkError::Overloaded(after) => Self::Overloaded {
                after_ms: after.as_millis() as u32,
            },
            link::LinkError::Limited(after) => Self::Limited {
                after_ms: after.as_millis() as u32,
            },
            link::LinkError::LongWait => Self::LongWait,
        }
    }
}

/// Why a frame could not be sent or received.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Io(io::Error),
    /// The other side closed the connection.
    Closed,
    /// A frame can't be encoded or decoded.
    Codec(postcard::Error),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Closed => f.write_str("closed"),
            Self::Codec(error) => write!(f, "unreadable frame: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A connection between two instances that carries length-delimited frames.
#[derive(Debug)]
pub struct Frames {
    stream: TcpStream,
    input: bytes::BytesMut,
    /// Charged with the frame that is received, and with its decoded form.
    received: accounts::Account,
    /// Charged with the frame that is sent, and with its content.
    sent: accounts::Account,
}

impl Frames {
    /// Sends and receives frames on a stream; nothing is charged.
    pub fn new(stream: TcpStream) -> Self {
        Self::charged(stream, accounts::Account::default())
    }

    /// Sends and receives frames on a stream, charged to `account`.
    pub fn charged(stream: TcpStream, account: accounts::Account) -> Self {
        Self {
            stream,
            input: bytes::BytesMut::new(),
            sent: account.share(),
            received: account,
        }
    }

    /// Sends small frames without a delay.
    ///
    /// # Errors
    /// The connection failed.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }

    /// Whether the connection is open and nothing waits to be read on it.
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && connect::is_idle(&self.stream)
    }

    /// Encodes and sends a frame; returns its length in bytes.
    ///
    /// # Errors
    /// [`FrameError`].
    pub async fn send<T: serde::Serialize>(&mut self, content: &T) -> Result<usize, FrameError> {
        let size = postcard::ser_flavors::Size::default();
        let len = postcard::serialize_with_flavor(content, size).map_err(FrameError::Codec)?;
        if len > MAX_FRAME_LEN {
            return Err(FrameError::Io(io::ErrorKind::InvalidData.into()));
        }
        self.sent.hold(len);
        let reserved = self.sent.reserve(2 * len).await;
        reserved.map_err(|gave_way| FrameError::Io(gave_way.into()))?;
        let mut frame = Vec::with_capacity(LENGTH_LEN + len);
        frame.extend_from_slice(&(len as u32).to_be_bytes());
        let frame = postcard::to_extend(content, frame).map_err(FrameError::Codec)?;
        let sending = tokio::time::timeout(SEND_TIMEOUT, self.stream.write_all(&frame));
        let sent = tokio::select! {
            biased;
            sent = sending => sent.unwrap_or_else(|elapsed| Err(elapsed.into())),
            gave_way = self.sent.notified() => Err(gave_way.into()),
        };
        drop(frame);
        self.sent.release_to(0);
        sent.map_err(FrameError::Io)?;
        Ok(len)
    }

    /// Receives the next frame, undecoded; it stays charged until [`Frames::release`] or the next
    /// call. Cancel safe.
    ///
    /// # Errors
    /// [`FrameError`].
    pub async fn next(&mut self) -> Result<bytes::BytesMut, FrameError> {
        if self.input.is_empty() {
            self.release();
        }
        loop {
            let needed = match self.input.first_chunk::<LENGTH_LEN>() {
                Some(len) => LENGTH_LEN + u32::from_be_bytes(*len) as usize,
                None => LENGTH_LEN,
            };
            if needed > LENGTH_LEN + MAX_FRAME_LEN {
                return Err(FrameError::Io(io::ErrorKind::InvalidData.into()));
            }
            if needed > LENGTH_LEN && self.input.len() >= needed {
                self.input.advance(LENGTH_LEN);
                let frame = self.input.split_to(needed - LENGTH_LEN);
                if self.input.is_empty() {
                    // The frame alone keeps the buffer.
                    self.input = bytes::BytesMut::new();
                }
                return Ok(frame);
            }
            self.receive(needed).await?;
        }
    }

    /// Reads more of a frame of `needed` bytes.
    async fn receive(&mut self, needed: usize) -> Result<(), FrameError> {
        if self.input.capacity() < needed.max(MIN_BUFFER_LEN) {
            let next = needed.max(MIN_BUFFER_LEN);
            let reserved = self.received.reserve(DECODED_COPIES * next).await;
            reserved.map_err(|gave_way| FrameError::Io(gave_way.into()))?;
            let mut input = bytes::BytesMut::with_capacity(next);
            input.extend_from_slice(&self.input);
            self.input = input;
        }
        let read = tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => read.map_err(FrameError::Io)?,
            gave_way = self.received.notified() => return Err(FrameError::Io(gave_way.into())),
        };
        match (read, self.input.is_empty()) {
            (0, true) => Err(FrameError::Closed),
            (0, false) => Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Releases what is charged for the last received frame.
    pub fn release(&mut self) {
        self.received.release_to(0);
    }
}

/// Decodes a frame.
///
/// # Errors
/// [`FrameError::Codec`].
pub fn decode<'a, T: serde::Deserialize<'a>>(frame: &'a [u8]) -> Result<T, FrameError> {
    postcard::from_bytes(frame).map_err(FrameError::Codec)
}
