//! A statement on its way to a member.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::link;
use crate::session;
use crate::statement;

/// Silence of a member after which a single read goes elsewhere.
const LEAVE_AFTER: time::Duration = time::Duration::from_millis(500);

/// A statement on its way to a member.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The caller's identity of it.
    pub id: &'a str,
    /// What it does.
    pub form: Form<'a>,
    /// What it may do.
    pub access: statement::Access,
    /// Whether it is a single statement or ends a transaction, and so may be kept.
    pub may_keep: bool,
    /// When it is given up.
    pub deadline: Timestamp,
}

/// What a statement does.
#[derive(Debug, Clone, Copy)]
pub enum Form<'a> {
    /// What its text says.
    Text(&'a str),
    /// Runs a prepared statement.
    Prepared(&'a session::Prepared, &'a str),
}

impl<'a> Call<'a> {
    pub(crate) fn command(&self, after: Option<position::Position>) -> link::Command<'a> {
        match self.form {
            Form::Text(text) => link::Command::Pass {
                id: self.id,
                after,
                text,
            },
            Form::Prepared(prepared, arguments) => link::Command::Execute {
                id: self.id,
                after,
                name: &prepared.shared,
                arguments,
            },
        }
    }

    /// When the member's answer is given up: single reads go elsewhere sooner.
    pub(crate) fn limit(&self, sent: Timestamp) -> Timestamp {
        if self.may_keep && self.access == statement::Access::Read {
            self.deadline.min(sent.after(LEAVE_AFTER))
        } else {
            self.deadline
        }
    }

    pub(crate) fn needed(&self) -> Option<&'a session::Prepared> {
        match self.form {
            Form::Text(_) => None,
            Form::Prepared(prepared, _) => Some(prepared),
        }
    }
}
