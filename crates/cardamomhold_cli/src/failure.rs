//! Errors of commands: cause, advice and exit code.

use std::fmt;

use crate::diff;

/// Exit code for bad usage and rejected fields; `xflags` uses it too.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for an instance that can't be reached or can't answer.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Exit code for a change that conflicts with another change.
pub const EXIT_CONFLICT: u8 = 4;

/// Exit code for a change that may or may not have taken effect.
pub const EXIT_UNDECIDED: u8 = 5;

/// Exit code for a change that took effect and was then replaced by another change.
pub const EXIT_SUPERSEDED: u8 = 6;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The kind is not known.
    UnknownKind(String),
    /// The kind needs a name.
    NameNeeded(String),
    /// Neither a file nor a field was given.
    NothingToSet,
    /// A field is not of the form `field=value`.
    BadPair(String),
    /// The file can't be read.
    File {
        /// Its path.
        path: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// A field is rejected.
    Field {
        /// Its path.
        path: String,
        /// Why it is rejected.
        problem: String,
    },
    /// The object does not exist.
    NotFound(String),
    /// The instance can't be reached.
    Unreachable {
        /// Its address.
        address: String,
        /// What went wrong.
        problem: String,
    },
    /// The instance answered with an error.
    Refused(String),
    /// The object was changed after the version that the change is based on.
    Conflict(Box<Conflict>),
    /// The platform did not answer; the change may have taken effect.
    Undecided {
        /// Object to be changed.
        object: String,
        /// Identity of the change.
        change: String,
    },
    /// The change took effect, and another change replaced it.
    Superseded {
        /// Object that was changed.
        object: String,
        /// The current version.
        current: u64,
        /// Author of the current version.
        author: String,
    },
}

/// Both sides of a conflict.
#[derive(Debug)]
pub struct Conflict {
    /// Object to be changed.
    pub object: String,
    /// The version that the change is based on.
    pub version: u64,
    /// The current version.
    pub current: u64,
    /// Author of the current version.
    pub author: String,
    /// Differences from the current to the new content; empty for drains and switchovers.
    pub lines: Vec<diff::Line>,
}

impl Failure {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::UnknownKind(_)
            | Self::NameNeeded(_)
            | Self::NothingToSet
            | Self::BadPair(_)
            | Self::File { .. }
            | Self::Field { .. }
            | Self::NotFound(_) => EXIT_USAGE,
            Self::Unreachable { .. } | Self::Refused(_) => EXIT_UNREACHABLE,
            Self::Conflict(_) => EXIT_CONFLICT,
            Self::Undecided { .. } => EXIT_UNDECIDED,
            Self::Superseded { .. } => EXIT_SUPERSEDED,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKind(kind) => write!(
                f,
                "{kind}: no such kind; use group, rank, read-kind, caller, stop-rule or leadership"
            ),
            Self::NameNeeded(kind) => {
                write!(
                    f,
                    "{kind}: name the object; `cardamomhold list {kind}` shows them"
                )
            }
            Self::NothingToSet => {
                f.write_str("nothing to set; give --file content.json or --field name=value")
            }
            Self::BadPair(pair) => write!(f, "{pair}: use field=value, such as queue=500"),
            Self::File { path, error } => write!(f, "{path}: {error}; check the path"),
            Self::Field { path, problem } => write!(f, "refused: {path}: {problem}"),
            Self::NotFound(subject) => {
                write!(
                    f,
                    "{subject}: not found; `cardamomhold list` shows what there is"
                )
            }
            Self::Unreachable { address, problem } => write!(
                f,
                "{address}: {problem}; is the instance running? Name another one with --address"
            ),
            Self::Refused(problem) => write!(f, "{problem}; try again or another --address"),
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Undecided { object, change } => write!(
                f,
                "{object}: undecided, the platform's answer did not come; look for change \
                 {change} in `cardamomhold history` before you repeat it"
            ),
            Self::Superseded {
                object,
                current,
                author,
            } => write!(
                f,
                "{object}: took effect, and {author} has replaced it since with version {current}; \
                 look at `cardamomhold history`"
            ),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            object,
            version,
            current,
            author,
            lines,
        } = self;
        writeln!(
            f,
            "{object}: conflict, yours was made from version {version}, current is {current} by {author}"
        )?;
        if !lines.is_empty() {
            writeln!(f, "from the current content to yours:")?;
        }
        for line in lines {
            writeln!(f, "  {line}")?;
        }
        write!(
            f,
            "look at it, and repeat with --version {current} if yours is still wanted"
        )
    }
}

impl std::error::Error for Failure {}
