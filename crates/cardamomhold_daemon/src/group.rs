//! What the other tasks ask of a group's task, and the handle by which they do.

use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_fleet::fleet;
use cardamomhold_group::status;
use cardamomhold_session::wait;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::change;
use crate::clock;
use crate::leaderships;
use crate::members;
use crate::monitor;
use crate::write_gate;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Requests to the task.
#[derive(Debug)]
pub enum Request {
    /// From a monitor.
    Observed(monitor::Observed),
    /// Tells when a position that the primary holds is confirmed.
    Confirm {
        /// The primary.
        member: name::MemberName,
        /// The position.
        position: position::Position,
        /// Told when it is confirmed; dropped when it can't be.
        reply: oneshot::Sender<()>,
    },
    /// Tells when a replica is fresh enough.
    AwaitFresh {
        /// What is asked of the replica.
        freshness: Freshness,
        /// Told when it is so, or that the replica takes no new work.
        reply: oneshot::Sender<Result<(), outcome::Refusal>>,
    },
    /// Lets a write transaction in once the member is the primary of the term.
    AdmitWrite {
        /// The member.
        member: name::MemberName,
        /// Term of the caller's view.
        term: position::Term,
        /// Told when it may run; dropped when the term is over.
        reply: oneshot::Sender<write_gate::Admission>,
    },
    /// A write transaction that was let in has ended.
    WriteEnded,
    /// A command of a change of primary has ended.
    StepEnded(change::StepResult),
    /// A call of the platform has ended; `None` when the answer was lost.
    Stored(Option<leaderships::Stored>),
    /// Shows the members.
    Members(oneshot::Sender<Vec<MemberView>>),
}

/// What a read asks of a replica.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// The replica.
    pub member: name::MemberName,
    /// What it must have applied.
    pub seen: Option<position::Position>,
    /// Greatest accepted age of its data.
    pub staleness: time::Duration,
}

/// A member as the group's task sees it.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its name.
    pub name: name::MemberName,
    /// Its latest status; `None` while it is out of reach.
    pub status: Option<status::MemberStatus>,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
}

/// What the task needs from its instance.
#[derive(Debug, Clone)]
pub struct Context {
    /// The group.
    pub group: name::GroupName,
    /// This instance.
    pub instance: name::InstanceName,
    /// The latest configuration.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// The task that calls the platform.
    pub leaderships: mpsc::Sender<leaderships::Call>,
}

/// Starts the task; it ends when its last handle is dropped or the group is removed.
pub fn start(context: Context) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    members::start(context, requests.downgrade(), mailbox);
    Handle { requests }
}

impl Handle {
    /// Waits until a position is confirmed.
    ///
    /// # Errors
    /// [`outcome::Doubt::Unconfirmed`] when it can't be confirmed or the deadline passes.
    pub async fn confirm(
        &self,
        member: &name::MemberName,
        position: position::Position,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Doubt> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Confirm {
            member: member.clone(),
            position,
            reply,
        };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Doubt::Unconfirmed)?;
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(outcome::Doubt::Unconfirmed),
        }
    }

    /// Waits until the member takes writes as the primary of the term.
    ///
    /// # Errors
    /// The refusal when the term is over, or nothing comes of it in time.
    pub async fn admit_write(
        &self,
        member: &name::MemberName,
        term: position::Term,
        deadline: tokio::time::Instant,
    ) -> Result<write_gate::Admission, outcome::Refusal> {
        let (reply, answer) = oneshot::channel();
        let request = Request::AdmitWrite {
            member: member.clone(),
            term,
            reply,
        };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Refusal::Stopping)?;
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(admission)) => Ok(admission),
            Ok(Err(_)) => Err(outcome::Refusal::StaleView),
            Err(_) => Err(outcome::Refusal::NoPrimary),
        }
    }

    /// Waits until a replica is fresh enough.
    ///
    /// # Errors
    /// [`outcome::Refusal::ReplicaBehind`] when it takes longer than is worth waiting, and
    /// [`outcome::Refusal::EndpointLeaving`] when the replica takes no new work.
    pub async fn await_fresh(
        &self,
        freshness: Freshness,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Refusal> {
        let (reply, answer) = oneshot::channel();
        let request = Request::AwaitFresh { freshness, reply };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Refusal::Stopping)?;
        let latest = tokio::time::Instant::now() + MAX_FRESHNESS_WAIT;
        match tokio::time::timeout_at(deadline.min(latest), answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(outcome::Refusal::ReplicaBehind),
        }
    }

    /// The members as the task sees them.
    pub async fn members(&self) -> Vec<MemberView> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Members(reply)).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// Longest wait for a replica before a read goes to the primary.
pub const MAX_FRESHNESS_WAIT: time::Duration = wait::MAX_WAIT;
