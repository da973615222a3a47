//! A pooled connection in use, which is returned to its group when it is dropped.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use tokio::sync::mpsc;

use crate::group;
use crate::session;

/// A connection with the session state that has been applied to it.
#[derive(Debug)]
pub struct Connection<L> {
    /// The connection.
    pub link: L,
    /// Session state that has been applied to it.
    pub applied: session::Applied,
}

impl<L> Connection<L> {
    /// Creates a connection without session state.
    pub fn new(link: L) -> Self {
        Self {
            link,
            applied: session::Applied::default(),
        }
    }
}

/// A pooled connection in use.
#[derive(Debug)]
pub struct Checkout<L> {
    /// The connection; none once it is closed.
    pub connection: Option<Connection<L>>,
    /// The member.
    pub member: name::MemberName,
    /// Change number of the leadership under which the member was the primary; none when it
    /// was a replica.
    pub change: Option<u64>,
    /// Log position that a read requires.
    pub after: Option<position::Position>,
    /// Result of its last use.
    pub completion: pool::Completion,
    /// The newest log position it returned, with the time at which that statement was sent.
    pub sample: Option<sample::Sample>,
    group: mpsc::UnboundedSender<group::Message<L>>,
}

impl<L> Checkout<L> {
    /// Checks out a connection of `group`.
    pub fn new(
        connection: Connection<L>,
        grant: pool::Grant<Connection<L>>,
        change: Option<u64>,
        group: mpsc::UnboundedSender<group::Message<L>>,
    ) -> Self {
        Self {
            connection: Some(connection),
            member: grant.member,
            change,
            after: grant.after,
            completion: pool::Completion::Unused,
            sample: None,
            group,
        }
    }

    /// Whether the member was the primary when it was chosen.
    pub fn is_primary(&self) -> bool {
        self.change.is_some()
    }

    /// Closes the connection and sets the result of its use.
    pub fn close(&mut self, completion: pool::Completion) {
        self.connection = None;
        self.completion = completion;
    }
}

impl<L> Drop for Checkout<L> {
    fn drop(&mut self) {
        // The receiver is gone when the group's task has ended.
        let _ = self.group.send(group::Message::Release {
            member: self.member.clone(),
            connection: self.connection.take(),
            completion: self.completion,
            sample: self.sample,
        });
    }
}
