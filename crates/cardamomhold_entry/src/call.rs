//! A statement to be run at a member.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_workspace::access;

use crate::link;
use crate::session;
use crate::statement;

/// Time without an answer after which a single read is retried at another member.
const READ_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A statement to be run at a member.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Identity that the caller gave it.
    pub id: &'a str,
    /// The caller.
    pub caller: &'a name::CallerName,
    /// The right to run it in the name of a workspace; none in a deployment without workspaces.
    pub grant: Option<&'a access::Grant>,
    /// Its text, or the prepared statement to execute.
    pub form: Form<'a>,
    /// Whether it may write.
    pub access: statement::Access,
    /// Whether it may commit: it is a single statement or the end of a transaction.
    pub may_commit: bool,
    /// Time until which an answer brings its full benefit.
    pub target: Timestamp,
    /// When the attempts to run it end.
    pub deadline: Timestamp,
}

/// Form in which a statement is sent.
#[derive(Debug, Clone, Copy)]
pub enum Form<'a> {
    /// The statement's text.
    Text(&'a str),
    /// A prepared statement and its arguments.
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
                name: &prepared.shared_name,
                arguments,
            },
        }
    }

    /// Deadline for the member's answer: earlier for single reads, which can be retried.
    pub(crate) fn answer_deadline(&self, sent: Timestamp) -> Timestamp {
        if self.may_commit && self.access == statement::Access::Read {
            self.deadline.min(sent.after(READ_ANSWER_TIMEOUT))
        } else {
            self.deadline
        }
    }

    pub(crate) fn prepared(&self) -> Option<&'a session::Prepared> {
        match self.form {
            Form::Text(_) => None,
            Form::Prepared(prepared, _) => Some(prepared),
        }
    }
}
