//! Parses the proxy's own session parameters, as callers write them.

use std::time;

use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::token;

use crate::sqlstate;

/// Prefix of the proxy's own parameters.
pub const PREFIX: &str = "cardamomhold.";

/// Name under which the session token is reported and shown.
pub const TOKEN_NAME: &str = "cardamomhold.session_token";

/// Longest accepted deadline.
pub const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3600);

/// A validated session parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Param {
    /// `cardamomhold.rank`.
    Rank(Option<rank::Rank>),
    /// `cardamomhold.read_kind`; `None` ends the declaration of reads.
    ReadKind(Option<name::KindName>),
    /// `cardamomhold.request_key`; applies to the next transaction only.
    RequestKey(Option<key::RequestKey>),
    /// `cardamomhold.deadline_ms`.
    Deadline(Option<time::Duration>),
    /// `cardamomhold.session_token`; merged into the session's own token.
    Token(token::SessionToken),
}

impl Param {
    /// Parses one parameter; a `value` of `None` or an empty text resets it.
    ///
    /// # Errors
    /// [`sqlstate::BadInput`] when the name is unknown or the value is invalid.
    pub fn parse(
        name: &str,
        value: Option<&str>,
        secret: &token::TokenSecret,
    ) -> Result<Self, sqlstate::BadInput> {
        let value = value.filter(|v| !v.is_empty());
        let invalid = |problem: String| sqlstate::BadInput::Parameter {
            name: name.to_owned(),
            problem,
        };
        match name.strip_prefix(PREFIX) {
            Some("rank") => {
                let rank = value.map(str::parse).transpose();
                Ok(Self::Rank(
                    rank.map_err(|e: rank::RankError| invalid(e.to_string()))?,
                ))
            }
            Some("read_kind") => {
                let kind = value.map(name::KindName::parse).transpose();
                Ok(Self::ReadKind(kind.map_err(|e| invalid(e.to_string()))?))
            }
            Some("request_key") => {
                let key = value.map(str::parse).transpose();
                Ok(Self::RequestKey(
                    key.map_err(|e: key::KeyError| invalid(e.to_string()))?,
                ))
            }
            Some("deadline_ms") => Ok(Self::Deadline(
                value.map(parse_deadline).transpose().map_err(invalid)?,
            )),
            Some("session_token") => {
                let text = value.unwrap_or_default();
                if text.is_empty() {
                    return Ok(Self::Token(token::SessionToken::default()));
                }
                let token = token::SessionToken::decode(text, secret);
                Ok(Self::Token(token.map_err(|e| invalid(e.to_string()))?))
            }
            _ => Err(sqlstate::BadInput::UnknownParameter(name.to_owned())),
        }
    }
}

fn parse_deadline(text: &str) -> Result<time::Duration, String> {
    let limit = MAX_DEADLINE.as_millis() as u64;
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 && ms <= limit => Ok(time::Duration::from_millis(ms)),
        _ => Err(format!(
            "use a whole number of milliseconds from 1 to {limit}"
        )),
    }
}

/// Splits the startup parameter `options` into names and values.
///
/// Accepts `-c name=value` and `--name=value`; a backslash escapes the next character.
pub fn split_options(text: &str) -> Vec<(String, String)> {
    let mut settings = Vec::new();
    let mut expects_setting = false;
    for word in split_words(text) {
        let setting = if expects_setting {
            expects_setting = false;
            word.as_str()
        } else if word == "-c" {
            expects_setting = true;
            continue;
        } else if let Some(rest) = word.strip_prefix("--") {
            rest
        } else if let Some(rest) = word.strip_prefix("-c") {
            rest
        } else {
            continue;
        };
        let Some((name, value)) = setting.split_once('=') else {
            continue;
        };
        settings.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    settings
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => word.extend(chars.next()),
            c if c.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            c => word.push(c),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
