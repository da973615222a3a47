//! Statements by class, as a front decodes them.

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
    /// Ends a transaction and keeps what it wrote.
    Commit,
    /// Ends a transaction and keeps nothing.
    Rollback,
    /// Reads or writes by its own text.
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
        /// What it may do.
        access: Access,
        /// What it does.
        shape: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: &'a str,
        /// Its arguments.
        arguments: &'a str,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: &'a str,
    },
    /// Nothing that is known here.
    Unknown,
}

/// A caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// Identity, as the caller gave it.
    pub id: &'a str,
    /// The text, which a member gets unchanged.
    pub text: &'a str,
    /// What it is.
    pub statement: Statement<'a>,
}
