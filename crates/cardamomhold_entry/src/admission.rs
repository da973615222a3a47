//! The task of one member at the owner of its connections: decides with [`queue::Queue`] which
//! statement of any instance runs next, and opens the connections for them.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;
use cardamomhold_pool::load;
use cardamomhold_queue::breaker;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::checkout;
use crate::clock;
use crate::link;
use crate::metrics;

mod task;

pub use task::start;

/// Time without an answer after which a member with running statements counts as silent.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// The breaker opens when nearly all statements fail: refusing those that would be answered costs
/// callers more than asking in vain.
const BREAKER_TRIP: breaker::Trip = breaker::Trip::Ratio {
    window: time::Duration::from_secs(2),
    percent: 90,
    min_calls: 5,
};

/// Statements beyond the member's slots that may be sent to it, so that no slot stays free while
/// an answer is on its way.
const EXTRA_STATEMENTS: usize = 1;

/// Maximum number of waiting statements of each rank.
const MAX_WAITING: usize = 256;

/// Guaranteed shares of the member's time, in percent, by rank.
const SHARE_PERCENT: [u32; 3] = [60, 30, 10];

/// Limits and address of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Statements that the member runs at once.
    pub slots: usize,
    /// Connections that the owner may open.
    pub connections: usize,
    /// Target latency of the group's routes, by rank.
    pub targets: [time::Duration; 3],
    /// The member's address.
    pub target: link::Target,
}

impl Bounds {
    fn limits(&self) -> queue::Limits {
        let mut ranks = [queue::RankLimits {
            share_percent: 0,
            max_waiting: MAX_WAITING,
            target: time::Duration::ZERO,
        }; 3];
        for (index, limits) in ranks.iter_mut().enumerate() {
            limits.share_percent = SHARE_PERCENT[index];
            limits.target = self.targets[index];
        }
        queue::Limits {
            max_started: self.connections,
            slots: self.slots + EXTRA_STATEMENTS,
            ranks,
            trip: BREAKER_TRIP,
        }
    }
}

/// Work to be admitted: a single statement or the first one of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Rank of its route.
    pub rank: rank::Rank,
    /// The caller that sent it.
    pub caller: name::CallerName,
    /// The workspace in whose name it runs; none in a deployment without workspaces.
    pub workspace: Option<name::WorkspaceName>,
    /// Wait beyond which another member is expected to be faster.
    pub max_wait: Option<time::Duration>,
    /// Time until which an answer brings its full benefit.
    pub target: Timestamp,
    /// Time from which an answer is no longer useful.
    pub deadline: Timestamp,
}

/// Why work is not admitted; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It would wait for too long; there is room after this time.
    Overloaded(time::Duration),
    /// It would wait for longer than [`Request::max_wait`].
    LongWait,
    /// The member can't be reached from here.
    Unreachable,
}

/// Messages to the task.
#[derive(Debug)]
pub enum Message<L> {
    /// Asks for a connection.
    Admit {
        /// The work.
        request: Request,
        /// Receives the connection, or why there is none.
        reply: oneshot::Sender<Result<Admitted<L>, Refusal>>,
    },
    /// The caller of a transaction has its answer, and the next statement is awaited.
    Pause(job::JobId),
    /// The next statement of a transaction is sent.
    Resume(job::JobId),
    /// Work has ended.
    Finish {
        /// The job.
        id: job::JobId,
        /// How it ended.
        completion: job::Completion,
        /// Its connection; none when it was closed.
        connection: Option<checkout::Connection<L>>,
    },
    /// An attempt to open a connection finished.
    Opened {
        /// The workspace that it is for.
        key: connections::Key,
        /// The connection, or why there is none.
        result: Result<L, link::LinkError>,
    },
    /// The limits or the address changed.
    Configure(Bounds),
    /// This instance leaves.
    Leave,
    /// Checks whether a member that failed can be reached again.
    Check,
}

/// State of a member, as its owner sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// Expected waits.
    pub load: load::Load,
    /// When the member last answered, if statements are running.
    pub unanswered_since: Option<Timestamp>,
    /// Whether it has failed since it last answered.
    pub is_failing: bool,
}

impl Status {
    /// Whether the member answers statements, as far as the owner can tell.
    pub fn is_answering(&self, now: Timestamp) -> bool {
        let is_silent = self
            .unanswered_since
            .is_some_and(|since| now >= since.after(SILENCE_TIMEOUT));
        !is_silent && !self.is_failing
    }
}

/// Sends messages to a member's task.
#[derive(Debug)]
pub struct Handle<L> {
    messages: mpsc::UnboundedSender<Message<L>>,
    status: watch::Receiver<Status>,
}

impl<L> Clone for Handle<L> {
    fn clone(&self) -> Self {
        Self {
            messages: self.messages.clone(),
            status: self.status.clone(),
        }
    }
}

impl<L> Handle<L> {
    /// Whether the task has ended.
    pub fn is_closed(&self) -> bool {
        self.messages.is_closed()
    }

    /// Sends a message.
    pub fn send(&self, message: Message<L>) {
        // The task ends when the member leaves; its connections are then closed anyway.
        let _ = self.messages.send(message);
    }

    /// The member's newest state, for another instance; a member that has failed is tried again.
    pub fn check(&self) -> Status {
        let status = self.status();
        if status.is_failing {
            self.send(Message::Check);
        }
        status
    }

    /// The member's newest state.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }
}

/// Work that runs on a connection of the owner; dropping it ends the work.
#[derive(Debug)]
pub struct Job<L> {
    id: job::JobId,
    handle: Handle<L>,
    /// Since when a statement has been running; none while the caller of the transaction is
    /// idle.
    running_since: Option<Timestamp>,
    /// Time for which earlier statements ran.
    busy: time::Duration,
    /// How long the work waited.
    pub waited: time::Duration,
    is_finished: bool,
}

impl<L> Job<L> {
    /// Records that the caller has its answer, and that the next statement is awaited.
    pub fn pause(&mut self) {
        let Some(since) = self.running_since.take() else {
            return;
        };
        self.busy += clock::now().since(since);
        self.handle.send(Message::Pause(self.id));
    }

    /// Records that the next statement is sent.
    pub fn resume(&mut self) {
        if self.running_since.is_none() {
            self.running_since = Some(clock::now());
            self.handle.send(Message::Resume(self.id));
        }
    }

    /// The member's newest load.
    pub fn load(&self) -> load::Load {
        self.handle.status().load
    }

    /// Ends the work and returns its connection; `is_answered` tells whether the member answered
    /// its statements, none when nothing was sent.
    pub fn finish(
        mut self,
        is_answered: Option<bool>,
        connection: Option<checkout::Connection<L>>,
    ) {
        if let Some(since) = self.running_since.take() {
            self.busy += clock::now().since(since);
        }
        let completion = match is_answered {
            Some(true) => job::Completion::Answered(self.busy),
            Some(false) => job::Completion::Failed,
            None => job::Completion::Unused,
        };
        self.is_finished = true;
        self.handle.send(Message::Finish {
            id: self.id,
            completion,
            connection,
        });
    }
}

impl<L> Drop for Job<L> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.handle.send(Message::Finish {
                id: self.id,
                completion: job::Completion::Unused,
                connection: None,
            });
        }
    }
}

/// Admitted work with its connection.
#[derive(Debug)]
pub struct Admitted<L> {
    /// The connection.
    pub connection: checkout::Connection<L>,
    /// The work.
    pub job: Job<L>,
}

/// Dependencies of the task.
#[derive(Debug)]
pub struct Context<C> {
    /// Opens connections.
    pub connector: C,
    /// Limits and address of the member.
    pub bounds: Bounds,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
}
