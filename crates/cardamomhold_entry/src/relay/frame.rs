//! What an instance and an owner say to each other.

use std::fmt;
use std::io;

use cardamomhold_core::name;
use cardamomhold_core::position;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_util::codec;

use crate::answer;
use crate::link;

/// Longest frame, in bytes; an answer holds several rows.
const MAX_FRAME: usize = 16 * 1024 * 1024;

/// The work that a command belongs to, for an owner that lends no connection for it yet.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// The group.
    pub group: name::GroupName,
    /// The member.
    pub member: name::MemberName,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Time left for it, in microseconds.
    pub left_us: u64,
}

/// Commands to a member.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Request<'a> {
    /// The work.
    pub work: Work,
    /// What the member is told.
    #[serde(borrow)]
    pub order: Order<'a>,
}

/// What the member is told.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Order<'a> {
    /// Each of these must succeed.
    #[serde(borrow)]
    Prepare(Vec<link::Command<'a>>),
    /// A statement.
    #[serde(borrow)]
    Call(link::Command<'a>),
    /// Nothing; the owner says that it lives.
    Ping,
}

/// What came of it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// All commands succeeded.
    Prepared(Option<position::Position>),
    /// The member answered the statement.
    Answered(answer::Answer),
    /// There is no answer.
    Failed(Failure),
    /// The owner lives.
    Pong,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Failure {
    /// The owner has no connection to the member; nothing ran.
    Unreachable,
    /// The connection to the member broke, or its answer did not come in time.
    Broken,
    /// The member sent what can't be read.
    Garbled,
    /// The owner or the member refused; nothing ran.
    Refused(answer::Code),
}

impl From<Failure> for link::LinkError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable => Self::Unreachable(io::ErrorKind::HostUnreachable.into()),
            Failure::Broken => Self::Broken(io::ErrorKind::ConnectionAborted.into()),
            Failure::Garbled => Self::Garbled,
            Failure::Refused(code) => Self::Refused(code),
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
        }
    }
}

/// Why no frame could be exchanged.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Io(io::Error),
    /// The other side closed it.
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

/// A connection between two instances.
#[derive(Debug)]
pub struct Frames(codec::Framed<TcpStream, codec::LengthDelimitedCodec>);

impl Frames {
    /// Frames on a stream.
    pub fn new(stream: TcpStream) -> Self {
        let codec = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_codec();
        Self(codec::Framed::new(stream, codec))
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// [`FrameError`].
    pub async fn send<T: serde::Serialize>(&mut self, content: &T) -> Result<(), FrameError> {
        let bytes = postcard::to_stdvec(content).map_err(FrameError::Codec)?;
        let bytes = bytes::Bytes::from(bytes);
        self.0.send(bytes).await.map_err(FrameError::Io)
    }

    /// The next frame, undecoded.
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
