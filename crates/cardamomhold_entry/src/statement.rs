//! Callers' statements, as a front decodes them.

/// Whether a statement may change data.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A statement of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Reads or writes, and is passed on as text.
    Direct(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement for the session.
    Prepare {
        /// The session's name for it.
        name: &'a str,
        /// Whether it may write.
        access: Access,
        /// The statement itself, passed on undecoded.
        shape: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: &'a str,
        /// Its arguments.
        arguments: &'a str,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: &'a str,
    },
    /// A statement that isn't supported.
    Unknown,
}

/// A caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// Identity that the caller gave it.
    pub id: &'a str,
    /// The text, which is passed to a member unchanged.
    pub text: &'a str,
    /// The decoded statement.
    pub statement: Statement<'a>,
}
