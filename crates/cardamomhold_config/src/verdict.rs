//! What became of a conditional update whose answer was lost.
//!
//! The store itself tells: each object names the change that wrote it and the ones before.
//! An operator must not hear "conflict" for a change that took effect, so everything that the
//! object doesn't prove stays undecided.

use crate::config;
use crate::object;

/// A conditional update whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// Version that the update was conditional on.
    pub expected: config::Version,
    /// Identity of the change; none for a removal, which leaves no content to carry one.
    pub change: Option<&'a str>,
}

/// What the store's object says of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect, and is current.
    Accepted,
    /// It took effect, and another change has followed.
    Superseded,
    /// It did not take effect and never will: another change came first.
    Conflict,
    /// It has not taken effect so far; the same update may be sent again.
    Retry,
    /// The object does not tell.
    Undecided,
}

/// Judges an attempt by the object as the store holds it now.
pub fn judge(attempt: &Attempt<'_>, current: &config::Change) -> Verdict {
    if current.version <= attempt.expected {
        return Verdict::Retry;
    }
    if current.removed {
        // Removals are idempotent: the object is gone by this one or by an equal one.
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
        // Another change followed the version that was to be replaced.
        if past.version <= attempt.expected {
            return Verdict::Conflict;
        }
    }
    Verdict::Undecided
}
