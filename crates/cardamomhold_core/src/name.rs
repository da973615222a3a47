//! Names of groups, members, instances, zones, callers and read kinds.

use std::borrow;
use std::fmt;
use std::sync;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME_LEN`] bytes.
    TooLong(usize),
    /// The text contains a character outside `a-z`, `A-Z`, `0-9`, `_`, `-` and `.`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "name is empty"),
            Self::TooLong(len) => write!(f, "name has {len} bytes, at most {MAX_NAME_LEN}"),
            Self::BadCharacter(c) => write!(f, "name holds {c:?}; use a-z, 0-9, '_', '-' or '.'"),
        }
    }
}

impl std::error::Error for NameError {}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong(text.len()));
    }
    match text.chars().find(|c| !is_valid(*c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

fn is_valid(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.')
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Validates a text and copies it into a name.
            ///
            /// # Errors
            /// [`NameError`] when the text is empty, too long or contains an invalid character.
            pub fn parse(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// Makes a name of any text: invalid characters become `_`, and the end of a long text
            /// is left out.
            pub fn sanitized(text: &str) -> Self {
                let valid = |c: char| if is_valid(c) { c } else { '_' };
                let mut name: String = text.chars().take(MAX_NAME_LEN).map(valid).collect();
                if name.is_empty() {
                    name.push('_');
                }
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::parse(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

name!(
    /// Name of a database group (one primary and its replicas); callers connect with it as the
    /// database name.
    GroupName
);
name!(
    /// Name of a group member, which is one endpoint; unique in the whole configuration.
    MemberName
);
name!(
    /// Name of a running instance of the daemon.
    InstanceName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
name!(
    /// Name of a caller, or of its workspace where it has one; fair shares are computed by it.
    CallerName
);
name!(
    /// Name of a workspace: the customer in whose name a caller connects.
    WorkspaceName
);
name!(
    /// Name of a kind of read configured by the operators.
    KindName
);
