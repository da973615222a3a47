//! A pooled connection in use, which is returned to its group when it is dropped.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use tokio::sync::watch;

use crate::admission;
use crate::group;
use crate::limits;
use crate::link;
use crate::session;

/// A connection with the session state that has been applied to it.
#[derive(Debug)]
pub struct Connection<L> {
    /// The connection.
    pub link: L,
    /// The owner to which it leads; none for one to the member itself.
    pub owner: Option<name::InstanceName>,
    /// The workspace that a connection to the member itself serves; none for one to an owner.
    pub workspace: Option<name::WorkspaceName>,
    /// Session state that has been applied to it.
    pub applied: session::Applied,
}

impl<L> Connection<L> {
    /// Creates a connection without session state.
    pub fn new(link: L, owner: Option<name::InstanceName>) -> Self {
        Self {
            link,
            owner,
            workspace: None,
            applied: session::Applied::default(),
        }
    }

    /// The same connection, which serves this workspace.
    pub fn with_workspace(self, workspace: Option<name::WorkspaceName>) -> Self {
        Self { workspace, ..self }
    }
}

/// The group's task, to which a connection is returned.
#[derive(Debug)]
pub struct Group<L> {
    /// Sends messages to the task.
    pub handle: group::Handle<L>,
    /// Owners that don't answer now.
    pub silent: watch::Receiver<collections::BTreeSet<name::InstanceName>>,
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
    /// The work that this instance's own queue admitted; none on a connection to an owner.
    job: Option<admission::Job<L>>,
    /// The right to run an operation; an owner has its own for a connection to it.
    pub permit: limits::Permit,
    group: Group<L>,
}

impl<L> Checkout<L> {
    /// Checks out a connection of `group`; `job` is the work that is admitted with it.
    pub fn new(
        connection: Connection<L>,
        job: Option<admission::Job<L>>,
        grant: pool::Grant<Connection<L>>,
        change: Option<u64>,
        group: Group<L>,
    ) -> Self {
        Self {
            connection: Some(connection),
            member: grant.member,
            change,
            after: grant.after,
            completion: pool::Completion::Unused,
            sample: None,
            job,
            permit: limits::Permit::default(),
            group,
        }
    }

    /// Records that the caller has its answer, and that the next statement is awaited.
    pub fn pause(&mut self) {
        if let Some(job) = &mut self.job {
            job.pause();
        }
    }

    /// Records that the next statement is sent.
    pub fn resume(&mut self) {
        if let Some(job) = &mut self.job {
            job.resume();
        }
    }

    /// Whether the member was the primary when it was chosen.
    pub fn is_primary(&self) -> bool {
        self.change.is_some()
    }

    /// A watch on whether the owner of the connection stops answering.
    pub fn owner_watch(&self) -> OwnerWatch {
        OwnerWatch {
            owner: self.connection.as_ref().and_then(|c| c.owner.clone()),
            silent: self.group.silent.clone(),
        }
    }

    /// Closes the connection and sets the result of its use.
    pub fn close(&mut self, completion: pool::Completion) {
        self.connection = None;
        self.completion = completion;
    }
}

/// Tells when the owner of a connection stops answering.
#[derive(Debug)]
pub struct OwnerWatch {
    owner: Option<name::InstanceName>,
    silent: watch::Receiver<collections::BTreeSet<name::InstanceName>>,
}

impl OwnerWatch {
    /// Waits until the owner counts as silent; forever for a connection without an owner.
    pub async fn silent(mut self) {
        if let Some(owner) = &self.owner {
            let silenced = self.silent.wait_for(|s| s.contains(owner)).await;
            if silenced.is_ok() {
                return;
            }
        }
        std::future::pending().await
    }
}

/// Whether the member answered; none when nothing was sent to it or it ran nothing.
fn is_answered(completion: pool::Completion) -> Option<bool> {
    match completion {
        pool::Completion::Answered(_) | pool::Completion::StatementFailed => Some(true),
        pool::Completion::Failed | pool::Completion::TimedOut => Some(false),
        pool::Completion::NoSlot
        | pool::Completion::NoConnection
        | pool::Completion::Behind(_)
        | pool::Completion::OwnerLost
        | pool::Completion::Unserved
        | pool::Completion::Unused => None,
    }
}

impl<L> Drop for Checkout<L> {
    fn drop(&mut self) {
        let mut connection = self.connection.take();
        if let Some(connection) = &mut connection {
            connection.applied.trim();
        }
        let report = self.job.take().map(|job| {
            let report = link::Report {
                load: job.load(),
                waited_us: job.waited.as_micros() as u32,
            };
            job.finish(is_answered(self.completion), connection.take());
            report
        });
        // The receiver is gone when the group's task has ended.
        let _ = self.group.handle.send(group::Message::Release {
            member: self.member.clone(),
            connection,
            completion: self.completion,
            sample: self.sample,
            report,
        });
    }
}
