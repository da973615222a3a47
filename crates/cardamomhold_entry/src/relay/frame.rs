//! Frames between an instance and an owner of connections.

use std::fmt;
use std::io;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_workspace::access;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_util::codec;

use crate::answer;
use crate::connect;
use crate::link;

/// Maximum length of a frame, in bytes; one frame carries all rows of an answer.
const MAX_FRAME_LEN: usize = 16 * 1024 * 1024;

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
    /// workspaces.
    pub grant: Option<access::Grant>,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Time left until its target, in microseconds.
    pub target_us: u64,
}

/// A request to an owner.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Request<'a> {
    /// The member and the priority; none inside a transaction, whose connection the owner has.
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
pub struct Frames(codec::Framed<TcpStream, codec::LengthDelimitedCodec>);

impl Frames {
    /// Sends and receives frames on a stream.
    pub fn new(stream: TcpStream) -> Self {
        let codec = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_LEN)
            .new_codec();
        Self(codec::Framed::new(stream, codec))
    }

    /// Whether the connection is open and nothing waits to be read on it.
    pub fn is_idle(&self) -> bool {
        connect::is_idle(self.0.get_ref())
    }

    /// Encodes and sends a frame; returns its length in bytes.
    ///
    /// # Errors
    /// [`FrameError`].
    pub async fn send<T: serde::Serialize>(&mut self, content: &T) -> Result<usize, FrameError> {
        let bytes = postcard::to_stdvec(content).map_err(FrameError::Codec)?;
        let bytes = bytes::Bytes::from(bytes);
        let len = bytes.len();
        self.0.send(bytes).await.map_err(FrameError::Io)?;
        Ok(len)
    }

    /// Receives the next frame, undecoded.
    ///
    /// # Errors
    /// [`FrameError`].
    pub async fn next(&mut self) -> Result<bytes::BytesMut, FrameError> {
        match self.0.next().await {
            Some(frame) => frame.map_err(FrameError::Io),
            None => Err(FrameError::Closed),
        }
    }
}

/// Decodes a frame.
///
/// # Errors
/// [`FrameError::Codec`].
pub fn decode<'a, T: serde::Deserialize<'a>>(frame: &'a [u8]) -> Result<T, FrameError> {
    postcard::from_bytes(frame).map_err(FrameError::Codec)
}
