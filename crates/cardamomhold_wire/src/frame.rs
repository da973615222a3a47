//! Reads protocol messages from a socket and limits their size.

use std::fmt;
use std::io;
use std::panic;

use bytes::Buf;
use bytes::BytesMut;
use pgwire::messages;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

/// Longest accepted message from a caller, in bytes.
pub const MAX_CALLER_MESSAGE_LEN: usize = 16 * 1024 * 1024;

/// Longest accepted message from an endpoint, in bytes; one row must fit.
pub const MAX_ENDPOINT_MESSAGE_LEN: usize = 64 * 1024 * 1024;

/// Bytes of buffer space reserved for each read.
const READ_SIZE: usize = 16 * 1024;
/// Length of a message's type and length field, in bytes.
const HEADER_LEN: usize = 5;
/// Length of the length field, in bytes; the announced length includes it.
const LENGTH_LEN: usize = 4;

/// Why no message could be read.
#[derive(Debug)]
pub enum FrameError {
    /// The socket failed.
    Io(io::Error),
    /// The peer closed the connection in the middle of a message.
    Truncated,
    /// The message is longer than the limit.
    TooLarge {
        /// Length that the message announces, in bytes.
        len: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The announced length is shorter than the length field itself.
    TooShort(usize),
    /// The message is too short for its fields.
    MissingFields,
    /// The bytes aren't a message of the protocol.
    Malformed(pgwire::error::PgWireError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "socket failed: {error}"),
            Self::Truncated => f.write_str("connection closed in the middle of a message"),
            Self::TooLarge { len, limit } => write!(f, "message of {len} bytes, at most {limit}"),
            Self::TooShort(len) => write!(f, "message of {len} bytes, at least {LENGTH_LEN}"),
            Self::MissingFields => f.write_str("malformed message: it ends before its fields do"),
            Self::Malformed(error) => write!(f, "malformed message: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Reads messages from one half of a socket.
#[derive(Debug)]
pub struct Reader<R> {
    io: R,
    buf: BytesMut,
    context: messages::DecodeContext,
    limit: usize,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader of a caller's messages, the first of which is the startup packet.
    pub fn for_caller(io: R) -> Self {
        Self::new(
            io,
            messages::DecodeContext::default(),
            MAX_CALLER_MESSAGE_LEN,
        )
    }

    /// Creates a reader of an endpoint's messages.
    pub fn for_endpoint(io: R) -> Self {
        let mut context = messages::DecodeContext::default();
        context.protocol_version = messages::ProtocolVersion::PROTOCOL3_0;
        Self::new(io, context, MAX_ENDPOINT_MESSAGE_LEN)
    }

    fn new(io: R, context: messages::DecodeContext, limit: usize) -> Self {
        Self {
            io,
            buf: BytesMut::new(),
            context,
            limit,
        }
    }

    /// Reads a caller's next message; `None` when the connection ended between two messages.
    ///
    /// Cancel safe: bytes that were read stay in the buffer.
    ///
    /// # Errors
    /// [`FrameError`] when the socket fails or the bytes aren't an acceptable message.
    pub async fn next_frontend(
        &mut self,
    ) -> Result<Option<messages::PgWireFrontendMessage>, FrameError> {
        loop {
            self.check_size()?;
            let decoded = decode_guarded(|| {
                messages::PgWireFrontendMessage::decode(&mut self.buf, &self.context)
            })?;
            if let Some(message) = decoded {
                self.update_context(&message);
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads an endpoint's next message; `None` when the connection ended between two messages.
    ///
    /// # Errors
    /// [`FrameError`] when the socket fails or the bytes aren't an acceptable message.
    pub async fn next_backend(
        &mut self,
    ) -> Result<Option<messages::PgWireBackendMessage>, FrameError> {
        loop {
            if let Some(message) = self.try_next_backend()? {
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Returns an endpoint's next message if all of it is in the buffer.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes aren't an acceptable message.
    pub fn try_next_backend(
        &mut self,
    ) -> Result<Option<messages::PgWireBackendMessage>, FrameError> {
        self.check_size()?;
        decode_guarded(|| messages::PgWireBackendMessage::decode(&mut self.buf, &self.context))
    }

    /// Whether the buffer has bytes that belong to no returned message.
    pub fn has_buffered(&self) -> bool {
        self.buf.has_remaining()
    }

    async fn fill(&mut self) -> Result<bool, FrameError> {
        self.buf.reserve(READ_SIZE);
        let n = self.io.read_buf(&mut self.buf).await?;
        if n > 0 {
            return Ok(true);
        }
        if self.buf.is_empty() {
            return Ok(false);
        }
        Err(FrameError::Truncated)
    }

    fn check_size(&self) -> Result<(), FrameError> {
        // A caller's startup packet has no type byte, so its length is at another offset. Only a
        // reader of caller messages has this limit.
        if self.context.awaiting_frontend_startup && self.limit == MAX_CALLER_MESSAGE_LEN {
            return Ok(());
        }
        if self.buf.len() < HEADER_LEN {
            return Ok(());
        }
        let len = (&self.buf[1..HEADER_LEN]).get_u32() as usize;
        if len < LENGTH_LEN {
            return Err(FrameError::TooShort(len));
        }
        if len > self.limit {
            return Err(FrameError::TooLarge {
                len,
                limit: self.limit,
            });
        }
        Ok(())
    }

    fn update_context(&mut self, message: &messages::PgWireFrontendMessage) {
        match message {
            messages::PgWireFrontendMessage::SslNegotiation(
                messages::SslNegotiationMetaMessage::None,
            ) => {
                self.context.awaiting_frontend_ssl = false;
            }
            messages::PgWireFrontendMessage::Startup(_) => {
                self.context.awaiting_frontend_ssl = false;
                self.context.awaiting_frontend_startup = false;
            }
            _ => {}
        }
    }
}

/// Decodes a message and turns a panic into an error: the codec panics on some messages that
/// are too short for their fields. The connection then ends, so the buffer isn't used again.
fn decode_guarded<M>(
    decode: impl FnOnce() -> pgwire::error::PgWireResult<Option<M>>,
) -> Result<Option<M>, FrameError> {
    match panic::catch_unwind(panic::AssertUnwindSafe(decode)) {
        Ok(decoded) => decoded.map_err(FrameError::Malformed),
        Err(_) => Err(FrameError::MissingFields),
    }
}
