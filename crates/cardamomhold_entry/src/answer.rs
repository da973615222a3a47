//! Answers of members and of the proxy.

use cardamomhold_core::position;

/// Where a session stands with its transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and waits for its end.
    Failed,
}

/// Why a statement has no regular answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Code {
    /// Not run: no slot, connection or time for it.
    Busy,
    /// Not run: the transaction was rolled back.
    Aborted,
    /// Not run: the replica lacks a position.
    Behind,
    /// Not run: the member is not the primary.
    ReadOnly,
    /// Not run: the address is another member's.
    WrongMember,
    /// Not run: the member has no connection left.
    TooMany,
    /// Run, without success.
    Failed,
    /// Not run: no such prepared statement.
    UnknownStatement,
    /// No answer within the statement's time.
    Timeout,
    /// Not run: no such database.
    UnknownDatabase,
    /// Not run: the message is too long.
    TooBig,
    /// Not run: the message is not understood.
    Malformed,
    /// It may have run and been kept.
    InDoubt,
    /// A code that is not known here.
    Other,
}

impl Code {
    /// The code's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Behind => "behind",
            Self::ReadOnly => "read_only",
            Self::WrongMember => "wrong_member",
            Self::TooMany => "too_many",
            Self::Failed => "failed",
            Self::UnknownStatement => "unknown_statement",
            Self::Timeout => "timeout",
            Self::UnknownDatabase => "unknown_database",
            Self::TooBig => "too_big",
            Self::Malformed => "malformed",
            Self::InDoubt => "in_doubt",
            Self::Other => "other",
        }
    }

    /// Whether a member that gives this code has not run the statement.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Aborted
            | Self::Behind
            | Self::ReadOnly
            | Self::WrongMember
            | Self::TooMany => true,
            Self::Failed
            | Self::UnknownStatement
            | Self::Timeout
            | Self::UnknownDatabase
            | Self::TooBig
            | Self::Malformed
            | Self::InDoubt
            | Self::Other => false,
        }
    }
}

/// How an answer ends.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum End {
    /// Success, with the member's signature; none when the proxy answers itself.
    Done(Option<String>),
    /// No success.
    Refused {
        /// Why.
        code: Code,
        /// For people.
        text: String,
    },
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Rows in the encoding that the front and the link share; not read here.
    pub rows: Vec<u8>,
    /// How it ends.
    pub end: End,
    /// Where the session stands after it.
    pub state: State,
    /// Position of the member's log.
    pub position: Option<position::Position>,
}

impl Answer {
    /// A success that the proxy gives itself.
    pub fn own(state: State) -> Self {
        Self {
            rows: Vec::new(),
            end: End::Done(None),
            state,
            position: None,
        }
    }

    /// A failure that the proxy gives itself.
    pub fn refused(code: Code, text: &str, state: State) -> Self {
        Self {
            rows: Vec::new(),
            end: End::Refused {
                code,
                text: text.to_owned(),
            },
            state,
            position: None,
        }
    }

    /// The code of a failure.
    pub fn code(&self) -> Option<Code> {
        match &self.end {
            End::Done(_) => None,
            End::Refused { code, .. } => Some(*code),
        }
    }
}
