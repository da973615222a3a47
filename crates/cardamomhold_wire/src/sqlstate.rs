//! Maps outcomes and rejected input to SQLSTATEs.

use cardamomhold_core::outcome;

/// An error that is sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Five-character SQLSTATE.
    pub code: &'static str,
    /// One sentence that describes the error.
    pub message: String,
    /// What the caller can do; may be empty.
    pub hint: &'static str,
}

/// Input that the proxy rejects before it makes any routing or queueing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BadInput {
    /// A session parameter has a bad value.
    Parameter {
        /// The parameter's name.
        name: String,
        /// What is wrong with the value.
        problem: String,
    },
    /// The parameter is not known.
    UnknownParameter(String),
    /// COPY is not supported.
    Copy,
    /// LISTEN, UNLISTEN and NOTIFY are not supported.
    Listen,
    /// The statement leaves state on a connection that a pool can't preserve.
    SessionState(&'static str),
    /// One of the proxy's own parameters is set or shown together with other statements.
    NotAlone(String),
    /// A request key is set inside a transaction, or a batch with a key starts or ends a
    /// transaction that the key would cover only in part.
    KeyedControl,
    /// A statement would allow writes in a declared read.
    WriteInDeclaredRead,
    /// The message violates the protocol.
    Protocol(String),
    /// No prepared statement has this name.
    UnknownStatement(String),
    /// The caller's group does not exist.
    UnknownGroup(String),
    /// The caller has too many connections.
    TooManyConnections,
}

impl BadInput {
    /// Returns the error to send to the caller.
    pub fn report(&self) -> Report {
        let (code, message, hint) = match self {
            Self::Parameter { name, problem } => (
                "22023",
                format!("invalid value for parameter \"{name}\": {problem}"),
                "",
            ),
            Self::UnknownParameter(name) => (
                "42704",
                format!("unrecognized configuration parameter \"{name}\""),
                "",
            ),
            Self::Copy => (
                "0A000",
                "COPY is not supported through the proxy".to_owned(),
                "use INSERT",
            ),
            Self::Listen => (
                "0A000",
                "LISTEN and NOTIFY are not supported through the proxy".to_owned(),
                "poll a table instead",
            ),
            Self::SessionState(statement) => (
                "0A000",
                format!(
                    "{statement} is not supported through the proxy: connections are shared between transactions"
                ),
                "",
            ),
            Self::NotAlone(name) => (
                "0A000",
                format!("parameter \"{name}\" must be set or shown by a statement sent alone"),
                "",
            ),
            Self::KeyedControl => (
                "0A000",
                "a request key covers one transaction: send BEGIN alone and end it last".to_owned(),
                "",
            ),
            Self::WriteInDeclaredRead => (
                "25006",
                "a declared read stays read-only".to_owned(),
                "end the declaration first",
            ),
            Self::Protocol(problem) => ("08P01", format!("protocol violation: {problem}"), ""),
            Self::UnknownStatement(name) => (
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
                "",
            ),
            Self::UnknownGroup(name) => (
                "3D000",
                format!("database group \"{name}\" does not exist"),
                "",
            ),
            Self::TooManyConnections => (
                "53300",
                "too many connections of this caller".to_owned(),
                "",
            ),
        };
        Report {
            code,
            message,
            hint,
        }
    }
}

/// Returns the error that reports an outcome.
pub fn report(outcome: outcome::Outcome) -> Report {
    match outcome {
        outcome::Outcome::NotRun(refusal) => not_run(refusal),
        outcome::Outcome::Ran => Report {
            code: "23505",
            message: "a request with this request key has already run".to_owned(),
            hint: "do not repeat it",
        },
        outcome::Outcome::Unknown(doubt) => Report {
            code: "08007",
            message: format!("transaction resolution unknown: {doubt}"),
            hint: "repeat it only with the same request key",
        },
    }
}

fn not_run(refusal: outcome::Refusal) -> Report {
    let code = match refusal {
        outcome::Refusal::UnknownGroup => "3D000",
        outcome::Refusal::DeadlineUnmet | outcome::Refusal::QueueFull => "53300",
        outcome::Refusal::Stopping => "57P01",
        outcome::Refusal::IdleTransaction => "25P03",
        outcome::Refusal::NoPrimary
        | outcome::Refusal::StaleView
        | outcome::Refusal::ReplicaBehind
        | outcome::Refusal::EndpointDown
        | outcome::Refusal::EndpointLeaving
        | outcome::Refusal::OwnerUnreachable
        | outcome::Refusal::ConnectFailed
        | outcome::Refusal::Rejoining => "57P03",
    };
    Report {
        code,
        message: format!("not run: {refusal}"),
        hint: "it is safe to try again",
    }
}
