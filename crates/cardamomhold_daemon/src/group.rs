//! Requests to a group's task, and its handle.

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
    /// A monitor's observation.
    Observed(monitor::Observation),
    /// Waits until a position of the primary is confirmed.
    Confirm {
        /// The primary.
        member: name::MemberName,
        /// The position.
        position: position::Position,
        /// Answered when the position is confirmed; dropped if it can't be confirmed.
        reply: oneshot::Sender<()>,
    },
    /// Waits until a replica is fresh enough.
    AwaitFresh {
        /// Required freshness.
        freshness: Freshness,
        /// Answered when the replica is fresh enough, or with a refusal.
        reply: oneshot::Sender<Result<(), outcome::Refusal>>,
    },
    /// Admits a write transaction once the member is the primary of the term.
    AdmitWrite {
        /// The member.
        member: name::MemberName,
        /// Term that the transaction expects.
        term: position::Term,
        /// Receives the admission; dropped if the term is over.
        reply: oneshot::Sender<write_gate::Admission>,
    },
    /// An admitted write transaction has ended.
    WriteEnded,
    /// A step of a change of primary has ended.
    StepEnded(change::StepResult),
    /// A call to the platform has ended; `None` if it failed.
    Stored(Option<leaderships::Stored>),
    /// Returns the members.
    Members(oneshot::Sender<Vec<MemberView>>),
}

/// Freshness that a read requires of a replica.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// The replica.
    pub member: name::MemberName,
    /// Position that it must have applied.
    pub seen: Option<position::Position>,
    /// Maximum age of its data.
    pub staleness: time::Duration,
}

/// The group task's view of a member.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its name.
    pub name: name::MemberName,
    /// Its latest status; `None` while it is unreachable.
    pub status: Option<status::MemberStatus>,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
}

/// Dependencies of the task.
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
    /// Task that reads and writes the leaderships at the platform.
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
    /// [`outcome::Doubt::Unconfirmed`] if the position can't be confirmed or the deadline passes.
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

    /// Waits until the member accepts writes as the primary of the term.
    ///
    /// # Errors
    /// [`outcome::Refusal::StaleView`] if the term is over, [`outcome::Refusal::NoPrimary`] if the
    /// deadline passes, [`outcome::Refusal::Stopping`] if the task has ended.
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
    /// [`outcome::Refusal::ReplicaBehind`] if the wait is or would be too long,
    /// [`outcome::Refusal::EndpointLeaving`] if the replica accepts no new work,
    /// [`outcome::Refusal::Stopping`] if the task has ended.
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

    /// The task's view of the members.
    pub async fn members(&self) -> Vec<MemberView> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Members(reply)).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// Maximum wait for a replica before a read goes to the primary.
pub const MAX_FRESHNESS_WAIT: time::Duration = wait::MAX_WAIT;
