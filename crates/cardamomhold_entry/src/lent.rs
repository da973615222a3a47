//! A borrowed connection: it goes back to its group by itself when it is dropped.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use tokio::sync::mpsc;

use crate::group;
use crate::session;

/// A connection with what it holds of a session.
#[derive(Debug)]
pub struct Wired<L> {
    /// The connection.
    pub link: L,
    /// What it holds.
    pub applied: session::Applied,
}

impl<L> Wired<L> {
    /// A connection that holds nothing.
    pub fn new(link: L) -> Self {
        Self {
            link,
            applied: session::Applied::default(),
        }
    }
}

/// A borrowed connection.
#[derive(Debug)]
pub struct Lent<L> {
    /// The connection.
    pub wired: Option<Wired<L>>,
    /// The member.
    pub member: name::MemberName,
    /// The change of the leadership under which the member was the primary; none when it
    /// was a replica.
    pub change: Option<u64>,
    /// The position that a read must find.
    pub after: Option<position::Position>,
    /// How its use ended so far.
    pub ended: pool::Completion,
    /// The newest position that it gave, and when that statement was sent.
    pub seen: Option<sample::Sample>,
    group: mpsc::UnboundedSender<group::Message<L>>,
}

impl<L> Lent<L> {
    /// Lends a connection of `group`.
    pub fn new(
        wired: Wired<L>,
        grant: pool::Grant<Wired<L>>,
        change: Option<u64>,
        group: mpsc::UnboundedSender<group::Message<L>>,
    ) -> Self {
        Self {
            wired: Some(wired),
            member: grant.member,
            change,
            after: grant.after,
            ended: pool::Completion::Unused,
            seen: None,
            group,
        }
    }

    /// Whether the member was the primary when it was chosen.
    pub fn is_primary(&self) -> bool {
        self.change.is_some()
    }

    /// Closes the connection for what happened on it.
    pub fn close(&mut self, ended: pool::Completion) {
        self.wired = None;
        self.ended = ended;
    }
}

impl<L> Drop for Lent<L> {
    fn drop(&mut self) {
        // A group task that has ended needs nothing back.
        let _ = self.group.send(group::Message::Back {
            member: self.member.clone(),
            wired: self.wired.take(),
            ended: self.ended,
            seen: self.seen,
        });
    }
}
