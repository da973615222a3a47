//! Outcome of a conditional update whose answer was lost.
//!
//! The stored object shows it, because each object names the change that wrote it and the
//! changes before that one. The operator must not get "conflict" for a change that took effect,
//! so an outcome that the object doesn't prove stays undecided.

use crate::config;
use crate::object;

/// A conditional update whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// Version that the update required the object to have.
    pub expected: config::Version,
    /// Identifier of the change; none for a removal, which leaves no content to store it in.
    pub change: Option<&'a str>,
}

/// Outcome of an attempt, as far as the stored object shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The update took effect and is the current version.
    Accepted,
    /// The update took effect, and a later change replaced it.
    Superseded,
    /// The update did not take effect and never will, because another change came first.
    Conflict,
    /// The update has not taken effect so far; the same update may be sent again.
    Retry,
    /// The object does not show the outcome.
    Undecided,
}

/// Determines the outcome of an attempt from the currently stored object.
pub fn determine(attempt: &Attempt<'_>, current: &config::Change) -> Verdict {
    if current.version <= attempt.expected {
        return Verdict::Retry;
    }
    if current.removed {
        // Removals are idempotent: this one or an equal one has removed the object.
        return match attempt.change {
            None => Verdict::Accepted,
            Some(_) => Verdict::Undecided,
        };
    }
    let parsed = serde_json::from_slice::<object::Envelope>(&current.value);
    let Ok(envelope) = parsed else {
        return Verdict::Undecided;
    };
    if attempt.change == Some(&envelope.change) {
        return Verdict::Accepted;
    }
    for past in &envelope.history {
        if attempt.change == Some(&past.change) {
            return Verdict::Superseded;
        }
        // Another change replaced the expected version.
        if past.version <= attempt.expected {
            return Verdict::Conflict;
        }
    }
    Verdict::Undecided
}
