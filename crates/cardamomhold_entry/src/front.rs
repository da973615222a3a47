//! The edge to a caller: the read half and the write half of one connection.

use std::io;

use crate::answer;
use crate::statement;

/// A message from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incoming<'a> {
    /// A request.
    Request(statement::Request<'a>),
    /// A request that can't be parsed; the session continues.
    Malformed,
    /// The caller closes the session.
    Close,
}

/// Reads a caller's messages.
pub trait Reader {
    /// Reads the next message; cancel-safe.
    ///
    /// # Errors
    /// The connection broke, or its data can't be decoded any further.
    fn next(&mut self) -> impl Future<Output = io::Result<Incoming<'_>>>;
}

/// Writes answers to a caller.
pub trait Writer {
    /// Sends a whole answer.
    ///
    /// # Errors
    /// The connection broke.
    fn answer(&mut self, answer: &answer::Answer) -> impl Future<Output = io::Result<()>>;

    /// Tells a caller between two requests that the session ends: sends the beginning of
    /// `refusal`, which a request that is on its way takes as the beginning of its answer.
    ///
    /// # Errors
    /// The connection broke.
    fn announce_end(&mut self, refusal: &answer::Answer) -> impl Future<Output = io::Result<()>>;

    /// Sends the rest of the refusal for a request that crossed its beginning.
    ///
    /// # Errors
    /// The connection broke.
    fn complete_refusal(
        &mut self,
        refusal: &answer::Answer,
    ) -> impl Future<Output = io::Result<()>>;

    /// Charges what the session keeps, in bytes altogether; the default charges nothing.
    ///
    /// # Errors
    /// The connection must be closed, since memory is short.
    fn keep(&mut self, _bytes: usize) -> impl Future<Output = io::Result<()>> {
        async { Ok(()) }
    }
}
