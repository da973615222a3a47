//! Answers from members and from the proxy itself.

use cardamomhold_core::position;

/// State of a session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and must be ended by the caller.
    Failed,
}

/// Code of a failed statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Code {
    /// Not run: no free slot or connection, or not enough time.
    Busy,
    /// Not run: the transaction was rolled back.
    Aborted,
    /// Not run: the replica's log lacks the required position.
    Behind,
    /// Not run: the member is not the primary.
    ReadOnly,
    /// Not run: the address belongs to another member.
    WrongMember,
    /// Not run: the member accepts no more connections.
    TooMany,
    /// Run, but failed.
    Failed,
    /// Not run: no such prepared statement.
    UnknownStatement,
    /// No answer within the statement's time.
    Timeout,
    /// Not run: no such database.
    UnknownDatabase,
    /// Not run: the message is too long.
    TooBig,
    /// Not run: the message can't be parsed.
    Malformed,
    /// It may have run and committed.
    InDoubt,
    /// An unknown code.
    Other,
    /// Not run: no workspace holds the caller's key. The last one, as frames carry the codes by
    /// their order.
    Unauthorized,
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
            Self::Unauthorized => "unauthorized",
            Self::TooBig => "too_big",
            Self::Malformed => "malformed",
            Self::InDoubt => "in_doubt",
            Self::Other => "other",
        }
    }

    /// Whether a statement with this code may be retried: the member has not run it and did not
    /// find the request itself at fault.
    pub fn allows_retry(self) -> bool {
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
            | Self::Unauthorized
            | Self::TooBig
            | Self::Malformed
            | Self::InDoubt
            | Self::Other => false,
        }
    }
}

/// Result of a statement, at the end of its answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum End {
    /// Success, with the member's signature; none when the proxy itself answers.
    Done(Option<String>),
    /// Failure.
    Refused {
        /// Code of the failure.
        code: Code,
        /// Description for people.
        text: String,
    },
}

/// An answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Rows in the encoding that the front and the link share; passed on undecoded.
    pub rows: Vec<u8>,
    /// Its result.
    pub end: End,
    /// State of the session's transaction after it.
    pub state: State,
    /// Log position of the member, if it returned one.
    pub position: Option<position::Position>,
}

impl Answer {
    /// Creates a success that the proxy itself returns.
    pub fn success(state: State) -> Self {
        Self {
            rows: Vec::new(),
            end: End::Done(None),
            state,
            position: None,
        }
    }

    /// Creates a failure that the proxy itself returns.
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

    /// Whether the member has run nothing of a single statement.
    pub fn is_not_run(&self) -> bool {
        let is_refused = self.code().is_some_and(Code::allows_retry);
        is_refused && self.state == State::Idle
    }

    /// Code of the failure; none on success.
    pub fn code(&self) -> Option<Code> {
        match &self.end {
            End::Done(_) => None,
            End::Refused { code, .. } => Some(*code),
        }
    }
}
