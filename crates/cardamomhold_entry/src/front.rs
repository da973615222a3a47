//! The edge to a caller: a reading and a writing half of one connection.

use std::io;

use crate::answer;
use crate::statement;

/// What a caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incoming<'a> {
    /// A request.
    Request(statement::Request<'a>),
    /// A request that is not understood; the session goes on.
    Malformed,
    /// The caller leaves.
    Leave,
}

/// Reads what a caller sends.
pub trait Reader {
    /// The next message; safe to drop before it is complete.
    ///
    /// # Errors
    /// The connection broke, or what it carries can't be read on.
    fn next(&mut self) -> impl Future<Output = io::Result<Incoming<'_>>>;
}

/// Writes to a caller.
pub trait Writer {
    /// Sends an answer whole.
    ///
    /// # Errors
    /// The connection broke.
    fn answer(&mut self, answer: &answer::Answer) -> impl Future<Output = io::Result<()>>;
}
