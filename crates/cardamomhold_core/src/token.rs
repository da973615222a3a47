//! Session tokens: a session's newest confirmed positions as signed text, which callers pass
//! back to the proxy.

use std::collections;
use std::fmt;

use hmac::KeyInit;
use hmac::Mac;

use crate::name;
use crate::position;

/// Maximum number of groups in one token.
pub const MAX_TOKEN_GROUPS: usize = 16;

/// Maximum length of an encoded token, in bytes.
pub const MAX_TOKEN_LEN: usize = 2048;

/// Version of the encoding; the first part of every token.
const VERSION: &str = "v1";

/// Length of the truncated signature, in bytes.
const MAC_LEN: usize = 16;

/// A session's newest confirmed position in each group that it wrote to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionToken {
    positions: collections::BTreeMap<name::GroupName, position::Position>,
}

/// Reason why a token can't be decoded or extended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The token is longer than [`MAX_TOKEN_LEN`] bytes.
    TooLong(usize),
    /// The token does not have the expected parts.
    Malformed,
    /// This release does not support the token's version.
    UnknownVersion,
    /// The signature does not match: the token was changed, truncated or signed with another
    /// secret.
    BadSignature,
    /// The token contains more than [`MAX_TOKEN_GROUPS`] groups.
    TooManyGroups,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(len) => {
                write!(f, "session token has {len} bytes, at most {MAX_TOKEN_LEN}")
            }
            Self::Malformed => f.write_str("session token is malformed"),
            Self::UnknownVersion => f.write_str("session token has an unknown version"),
            Self::BadSignature => f.write_str("session token has a bad signature"),
            Self::TooManyGroups => {
                write!(f, "session token names more than {MAX_TOKEN_GROUPS} groups")
            }
        }
    }
}

impl std::error::Error for TokenError {}

/// Secret with which all instances sign tokens.
#[derive(Clone)]
pub struct TokenSecret(hmac::Hmac<sha2::Sha256>);

impl fmt::Debug for TokenSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSecret")
    }
}

impl TokenSecret {
    /// Creates the secret from bytes of any length.
    pub fn new(bytes: &[u8]) -> Self {
        match hmac::Hmac::new_from_slice(bytes) {
            Ok(mac) => Self(mac),
            Err(_) => unreachable!("HMAC accepts keys of any length"),
        }
    }

    fn sign(&self, body: &str) -> String {
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        let tag = mac.finalize().into_bytes();
        let mut hex = String::with_capacity(MAC_LEN * 2);
        for byte in &tag[..MAC_LEN] {
            hex.push_str(&format!("{byte:02x}"));
        }
        hex
    }
}

impl SessionToken {
    /// Position that the session's reads in `group` must include.
    pub fn position(&self, group: &str) -> Option<position::Position> {
        self.positions.get(group).copied()
    }

    /// Raises the position of `group` to `position`; never lowers it.
    ///
    /// # Errors
    /// [`TokenError::TooManyGroups`] when the token is full and does not contain `group`.
    pub fn observe(
        &mut self,
        group: &name::GroupName,
        position: position::Position,
    ) -> Result<(), TokenError> {
        if let Some(current) = self.positions.get_mut(group) {
            *current = position.max(*current);
            return Ok(());
        }
        if self.positions.len() >= MAX_TOKEN_GROUPS {
            return Err(TokenError::TooManyGroups);
        }
        self.positions.insert(group.clone(), position);
        Ok(())
    }

    /// Raises every group's position to that of `other`.
    ///
    /// # Errors
    /// [`TokenError::TooManyGroups`] when both tokens together contain too many groups.
    pub fn merge(&mut self, other: &Self) -> Result<(), TokenError> {
        for (group, position) in &other.positions {
            self.observe(group, *position)?;
        }
        Ok(())
    }

    /// Encodes the token as signed text.
    pub fn encode(&self, secret: &TokenSecret) -> String {
        let mut body = String::from(VERSION);
        for (group, position) in &self.positions {
            body.push_str(&format!(";{group}={}/{}", position.term, position.log));
        }
        let mac = secret.sign(&body);
        format!("{body};{mac}")
    }

    /// Decodes a token and checks its signature.
    ///
    /// # Errors
    /// Any [`TokenError`]; the result depends only on the text and the secret.
    pub fn decode(text: &str, secret: &TokenSecret) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_LEN {
            return Err(TokenError::TooLong(text.len()));
        }
        let (body, mac) = text.rsplit_once(';').ok_or(TokenError::Malformed)?;
        let mut parts = body.split(';');
        if parts.next() != Some(VERSION) {
            return Err(TokenError::UnknownVersion);
        }
        if secret.sign(body) != mac {
            return Err(TokenError::BadSignature);
        }
        let mut token = Self::default();
        for entry in parts {
            let (group, position) = parse_entry(entry).ok_or(TokenError::Malformed)?;
            token.observe(&group, position)?;
        }
        Ok(token)
    }
}

/// Parses `<group>=<term>/<log>`.
fn parse_entry(entry: &str) -> Option<(name::GroupName, position::Position)> {
    let (group, value) = entry.split_once('=')?;
    let (term, log) = value.split_once('/')?;
    let group = name::GroupName::parse(group).ok()?;
    let term = position::Term(term.parse().ok()?);
    let log = position::LogPosition(log.parse().ok()?);
    Some((group, position::Position::new(term, log)))
}
