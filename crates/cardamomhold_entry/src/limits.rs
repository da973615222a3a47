//! Limits of workspaces: the handle through which an operation gets its permit. The [`task`] owns
//! this instance's state.

use std::collections;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;
use cardamomhold_limit::allowance;
use cardamomhold_limit::message;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock;

pub mod report;
pub mod task;

pub use task::start;

/// Longest time for which an operation waits for a token.
const MAX_WAIT: time::Duration = time::Duration::from_millis(100);

/// Wait of an operation whose target latency has passed already, as after a retry.
const MIN_WAIT: time::Duration = time::Duration::from_millis(20);

/// Longest time for which an instance refuses operations since an owner has refused one: the owner
/// may have tokens again.
const MAX_REFUSAL: time::Duration = time::Duration::from_millis(250);

/// Spread of the times at which operations return that this instance refuses by itself.
const RETURN_SPREAD_US: u64 = 50_000;

/// Until when operations of workspaces are refused.
pub type Refusals = sync::Arc<collections::BTreeMap<name::WorkspaceName, Timestamp>>;

/// Messages to the task.
#[derive(Debug)]
pub enum Command {
    /// A message of another instance.
    Received(name::InstanceName, message::Message),
    /// The voters that this instance has adopted.
    Voters(voters::Voters),
    /// This instance may vote: its leaderships were confirmed since its start, so its voters are at
    /// least as new as those that it had adopted when it stopped.
    Votes,
    /// Asks for the token of an operation.
    Take {
        /// The workspace.
        workspace: name::WorkspaceName,
        /// How long the operation may wait for it.
        until: Timestamp,
        /// Receives the token, none where the workspace has no limit, or the time after which there
        /// may be one.
        reply: oneshot::Sender<Result<Option<allowance::Permit>, time::Duration>>,
    },
    /// Returns the token of an operation that has not run.
    PutBack(name::WorkspaceName, allowance::Permit),
    /// An owner has refused an operation for this time.
    Refused(name::WorkspaceName, time::Duration),
}

/// Sends messages to the task; the default is that of a deployment without limits.
#[derive(Debug, Clone, Default)]
pub struct Handle {
    task: Option<(mpsc::UnboundedSender<Command>, watch::Receiver<Refusals>)>,
}

impl Handle {
    /// Sends a message.
    pub fn send(&self, command: Command) {
        if let Some((commands, _)) = &self.task {
            // The task ends only with the process.
            let _ = commands.send(command);
        }
    }

    /// Whether operations in this name need a permit.
    pub fn may_limit(&self, workspace: Option<&name::WorkspaceName>) -> bool {
        self.task.is_some() && workspace.is_some()
    }

    /// Time for which this instance refuses operations of a workspace, as an owner has; none when
    /// it doesn't.
    pub fn refusal(&self, workspace: Option<&name::WorkspaceName>) -> Option<time::Duration> {
        let (_, refusals) = self.task.as_ref()?;
        let until = *refusals.borrow().get(workspace?)?;
        let now = clock::now();
        let spread = time::Duration::from_micros(now.0 % RETURN_SPREAD_US);
        (until > now).then(|| until.since(now) + spread)
    }

    /// Waits for the permit of an operation, at most until its target.
    ///
    /// # Errors
    /// The time after which there may be one.
    pub async fn acquire(
        &self,
        workspace: Option<&name::WorkspaceName>,
        target: Timestamp,
        deadline: Timestamp,
    ) -> Result<Permit, time::Duration> {
        let now = clock::now();
        let until = target.max(now.after(MIN_WAIT)).min(now.after(MAX_WAIT));
        let token = self.take(workspace, until.min(deadline)).await?;
        Ok(Permit {
            handle: self.clone(),
            workspace: workspace.cloned(),
            token,
            progress: Progress::Unused,
        })
    }

    async fn take(
        &self,
        workspace: Option<&name::WorkspaceName>,
        until: Timestamp,
    ) -> Result<Option<allowance::Permit>, time::Duration> {
        let Some(workspace) = workspace.filter(|w| self.may_limit(Some(w))).cloned() else {
            return Ok(None);
        };
        let (reply, taken) = oneshot::channel();
        self.send(Command::Take {
            workspace,
            until,
            reply,
        });
        taken.await.unwrap_or(Err(MAX_WAIT))
    }
}

/// How far an operation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Progress {
    /// Nothing has been sent to a member.
    #[default]
    Unused,
    /// It has been sent, and may run.
    Sent,
    /// It has run.
    Used,
}

/// The right to send one operation to a member; dropping it returns the token if the operation has
/// not run. The default is that of an operation without a limit.
#[derive(Debug, Default)]
pub struct Permit {
    handle: Handle,
    workspace: Option<name::WorkspaceName>,
    /// None where the workspace has no limit.
    token: Option<allowance::Permit>,
    progress: Progress,
}

impl Permit {
    /// Whether the operation may still be sent.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.progress != Progress::Unused || self.token.is_none_or(|t| now < t.until)
    }

    /// Takes another token if the first has expired, as the operation has waited in a queue.
    ///
    /// # Errors
    /// The time after which there may be one.
    pub async fn renew(&mut self) -> Result<(), time::Duration> {
        let now = clock::now();
        if !self.is_valid(now) {
            self.token = None;
            let until = now.after(MIN_WAIT);
            self.token = self.handle.take(self.workspace.as_ref(), until).await?;
        }
        Ok(())
    }

    /// Records that a command of the operation is about to be sent to a member.
    pub fn mark_sent(&mut self) {
        if self.progress == Progress::Unused {
            self.progress = Progress::Sent;
        }
    }

    /// Records the end of a command: `has_run` is false only where the member has certainly run
    /// nothing.
    pub fn record(&mut self, has_run: bool) {
        self.progress = match (self.progress, has_run) {
            (Progress::Sent, false) => Progress::Unused,
            (Progress::Sent, true) => Progress::Used,
            (progress, _) => progress,
        };
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let token = self.token.filter(|_| self.progress == Progress::Unused);
        if let Some((workspace, token)) = self.workspace.take().zip(token) {
            self.handle.send(Command::PutBack(workspace, token));
        }
    }
}
