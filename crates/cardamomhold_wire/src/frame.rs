//! Reads protocol messages from a socket and limits their size.

use std::fmt;
use std::io;
use std::panic;

use bytes::Buf;
use bytes::BytesMut;
use cardamomhold_budget::accounts;
use pgwire::messages;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

/// Longest accepted message from a caller, in bytes.
pub const MAX_CALLER_MESSAGE_LEN: usize = 16 * 1024 * 1024;

/// Longest accepted message from an endpoint, in bytes; one row must fit.
pub const MAX_ENDPOINT_MESSAGE_LEN: usize = 64 * 1024 * 1024;

/// Longest startup message, in bytes: names, and some parameters such as a session token.
pub const MAX_STARTUP_LEN: usize = 16 * 1024;

/// Bytes of buffer space reserved for each read; an idle connection's free allowance.
const READ_SIZE: usize = accounts::FREE_BYTES;

/// Times that a message is charged while it is handled: decoded, classified by its tokens,
/// encoded again, and in the buffers of a stream.
const HANDLED_COPIES: usize = 5;

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
    /// The connection has to be closed, since memory is short.
    GaveWay,
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
            Self::GaveWay => accounts::GaveWay.fmt(f),
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

impl From<accounts::GaveWay> for FrameError {
    fn from(_: accounts::GaveWay) -> Self {
        Self::GaveWay
    }
}

/// Reads messages from one half of a socket.
#[derive(Debug)]
pub struct Reader<R> {
    io: R,
    buf: BytesMut,
    context: messages::DecodeContext,
    limit: usize,
    /// Charged with the buffer and the messages that are being handled.
    account: accounts::Account,
    /// Charge of the messages since the last release, in bytes.
    handled: usize,
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
            account: accounts::Account::default(),
            handled: 0,
        }
    }

    /// Charges the buffer and the messages that are being handled to `account`, from now on.
    pub fn charge_to(&mut self, account: accounts::Account) {
        self.account = account;
        self.handled = 0;
    }

    /// Releases the charge of the messages that have been read, as they have been handled, and the
    /// buffer if it is empty.
    pub fn release(&mut self) {
        self.handled = 0;
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
        self.account.release_to(self.charge(self.buf.capacity()));
    }

    /// Charge for a buffer of this size and the messages that are being handled.
    fn charge(&self, capacity: usize) -> usize {
        let buffer = if capacity <= READ_SIZE { 0 } else { capacity };
        buffer + self.handled
    }

    /// Charges the handling of the next message once all of it is in the buffer.
    async fn charge_handling(&mut self) -> Result<(), FrameError> {
        let Some(len) = self.announced_len().filter(|len| self.buf.len() > *len) else {
            return Ok(());
        };
        let added = HANDLED_COPIES * len;
        let total = self.charge(self.buf.capacity()) + added;
        self.account.reserve(total).await?;
        self.handled += added;
        Ok(())
    }

    /// Length that the next message announces; none for a startup message, or before it is known.
    fn announced_len(&self) -> Option<usize> {
        if self.is_starting() || self.buf.len() < HEADER_LEN {
            return None;
        }
        Some((&self.buf[1..HEADER_LEN]).get_u32() as usize)
    }

    /// Whether a caller's startup message is awaited, which has no type byte. Only a reader of
    /// caller messages has this limit.
    fn is_starting(&self) -> bool {
        self.context.awaiting_frontend_startup && self.limit == MAX_CALLER_MESSAGE_LEN
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
            self.charge_handling().await?;
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
            self.charge_handling().await?;
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
        self.make_room().await?;
        let n = tokio::select! {
            biased;
            read = self.io.read_buf(&mut self.buf) => read?,
            gave_way = self.account.notified() => return Err(gave_way.into()),
        };
        if n > 0 {
            return Ok(true);
        }
        if self.buf.is_empty() {
            return Ok(false);
        }
        Err(FrameError::Truncated)
    }

    /// Makes room for a read. A larger buffer is charged first, together with the old one.
    async fn make_room(&mut self) -> Result<(), FrameError> {
        let len = self.buf.len();
        if self.buf.capacity() - len >= READ_SIZE {
            return Ok(());
        }
        let message = self.announced_len().map_or(0, |announced| announced + 1);
        let next = (2 * len).min(message).max(len) + READ_SIZE;
        let next = if len == 0 { READ_SIZE } else { next };
        self.account.reserve(self.charge(next) + len).await?;
        let mut buf = BytesMut::with_capacity(next);
        buf.extend_from_slice(&self.buf);
        self.buf = buf;
        Ok(())
    }

    fn check_size(&self) -> Result<(), FrameError> {
        if self.is_starting() {
            let len = self.buf.len();
            let limit = MAX_STARTUP_LEN;
            return match len > limit {
                true => Err(FrameError::TooLarge { len, limit }),
                false => Ok(()),
            };
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
