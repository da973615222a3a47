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

    /// Whether something has arrived that [`Reader::next`] hasn't returned: a message, a part of
    /// one, or the end of the connection.
    fn has_input(&self) -> bool;
}

/// Writes answers to a caller.
pub trait Writer {
    /// Sends a whole answer.
    ///
    /// # Errors
    /// The connection broke.
    fn answer(&mut self, answer: &answer::Answer) -> impl Future<Output = io::Result<()>>;

    /// Holds back the last part of an answer until the connection is ended or this is undone, so
    /// that the caller receives both together and sends nothing in between.
    fn hold(&mut self, is_held: bool);

    /// Ends the connection in the direction of the caller.
    ///
    /// # Errors
    /// The connection broke.
    fn end(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Charges what the session keeps, in bytes altogether; the default charges nothing.
    ///
    /// # Errors
    /// The connection must be closed, since memory is short.
    fn keep(&mut self, _bytes: usize) -> impl Future<Output = io::Result<()>> {
        async { Ok(()) }
    }
}
