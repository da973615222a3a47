//! The task itself: starts, refuses and ends work, and opens the connections for it.

use std::collections;
use std::time;

use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;
use cardamomhold_pool::load;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;
use cardamomhold_queue::refusal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::admission::Admitted;
use crate::admission::Context;
use crate::admission::Handle;
use crate::admission::Message;
use crate::admission::Refusal;
use crate::admission::Request;
use crate::admission::Status;
use crate::checkout;
use crate::clock;
use crate::link;

mod serve;

/// Timeout of opening a connection.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

struct Waiting<L> {
    since: Timestamp,
    /// The workspace whose connections it may use.
    key: connections::Key,
    deadline: Timestamp,
    reply: oneshot::Sender<Result<Admitted<L>, Refusal>>,
}

struct Task<C: link::Connector> {
    context: Context<C>,
    queue: queue::Queue,
    connections: connections::Connections<checkout::Connection<C::Link>>,
    waiting: collections::HashMap<job::JobId, Waiting<C::Link>>,
    /// Started jobs that wait for a connection, the oldest first: those without a workspace. Others
    /// start only when there is a connection for them, which the member may have closed.
    starting: collections::VecDeque<job::JobId>,
    /// Workspaces of the jobs that run on a connection.
    running: collections::HashMap<job::JobId, connections::Key>,
    /// Whether waiting jobs need a connection.
    is_short: bool,
    next_id: u64,
    /// When the member last answered a statement or began to run one after a pause.
    last_answer: Timestamp,
    /// Whether the member has failed since it last answered.
    is_failing: bool,
    status: watch::Sender<Status>,
    /// Sends messages to this task; weak, as the task ends with its last handle.
    messages: mpsc::WeakUnboundedSender<Message<C::Link>>,
}

/// Starts the task; it ends when its member is no longer used.
pub fn start<C: link::Connector>(context: Context<C>) -> Handle<C::Link> {
    let (messages, mailbox) = mpsc::unbounded_channel();
    let (status, latest) = watch::channel(Status::default());
    let handle = Handle {
        messages,
        status: latest,
    };
    let task = Task {
        queue: queue::Queue::new(context.bounds.limits()),
        connections: connections::Connections::new(context.bounds.connections),
        context,
        waiting: collections::HashMap::new(),
        starting: collections::VecDeque::new(),
        running: collections::HashMap::new(),
        is_short: false,
        next_id: 0,
        last_answer: Timestamp(0),
        is_failing: false,
        status,
        messages: handle.messages.downgrade(),
    };
    tokio::task::spawn_local(task.run(mailbox));
    handle
}

impl<C: link::Connector> Task<C> {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message<C::Link>>) {
        loop {
            let now = clock::now();
            let wakeup = self.next_wakeup(now);
            tokio::select! {
                message = mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep_until(clock::instant(wakeup.unwrap_or(now))),
                    if wakeup.is_some() => {}
            }
            self.decide();
            self.publish();
        }
    }

    fn handle_to_self(&self) -> Option<Handle<C::Link>> {
        Some(Handle {
            messages: self.messages.upgrade()?,
            status: self.status.subscribe(),
        })
    }

    fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let starting = self.starting.iter().filter_map(|id| self.waiting.get(id));
        let times = [
            self.queue.next_wakeup(),
            self.connections.next_wakeup(now, self.is_short),
            starting.map(|w| w.deadline).min(),
        ];
        times.into_iter().flatten().min()
    }

    fn handle(&mut self, message: Message<C::Link>) {
        let now = clock::now();
        match message {
            Message::Admit { request, reply } => self.offer(now, request, reply),
            Message::Pause(id) => {
                self.record_answer(now);
                self.queue.pause(now, id);
            }
            Message::Resume(id) => {
                self.record_start(now);
                self.queue.resume(now, id);
            }
            Message::Finish {
                id,
                completion,
                connection,
            } => {
                match completion {
                    job::Completion::Answered(_) => self.record_answer(now),
                    job::Completion::Failed => self.is_failing = true,
                    job::Completion::Unused => {}
                }
                self.queue.finish(now, id, completion);
                let key = self.running.remove(&id).unwrap_or_default();
                match connection {
                    Some(connection) => self.connections.put_back(now, &key, connection),
                    None => self.connections.record_closed(&key),
                }
            }
            Message::Opened {
                key,
                result: Ok(link),
            } => {
                self.record_answer(now);
                let connection = checkout::Connection::new(link, None);
                self.connections.record_opened(now, &key, connection);
            }
            Message::Opened {
                key,
                result: Err(error),
            } => self.handle_failed_open(now, &key, &error),
            Message::Check => self.check(now),
            Message::Leave => self.connections.leave(),
            Message::Configure(bounds) => {
                self.queue.set_limits(bounds.limits());
                self.connections.set_max(bounds.connections);
                self.context.bounds = bounds;
            }
        }
    }

    fn offer(
        &mut self,
        now: Timestamp,
        request: Request,
        reply: oneshot::Sender<Result<Admitted<C::Link>, Refusal>>,
    ) {
        let wait = self.queue.expected_wait(now, request.rank);
        if request.max_wait.is_some_and(|max| wait > max) {
            // The requester may have gone.
            let _ = reply.send(Err(Refusal::LongWait));
            return;
        }
        self.next_id += 1;
        let id = job::JobId(self.next_id);
        let deadline = request.deadline;
        let key = request.workspace;
        let job = job::Job {
            id,
            rank: request.rank,
            caller: request.caller,
            weight: 1,
            target: request.target,
            deadline,
        };
        match self.queue.offer(now, job) {
            Ok(()) => {
                let waiting = Waiting {
                    since: now,
                    key,
                    deadline,
                    reply,
                };
                self.waiting.insert(id, waiting);
            }
            Err(refused) => {
                // The requester may have gone.
                let _ = reply.send(Err(convert(refused)));
            }
        }
    }

    fn handle_failed_open(
        &mut self,
        now: Timestamp,
        key: &connections::Key,
        error: &link::LinkError,
    ) {
        log::info!(
            "event=open_failed group={} member={} error=\"{error}\"",
            self.context.bounds.target.group,
            self.context.bounds.target.member
        );
        self.connections.record_failed(now, key, error.is_full());
        if error.is_full() && !self.connections.is_hopeless() {
            return;
        }
        self.is_failing = true;
        for id in std::mem::take(&mut self.starting) {
            self.queue.finish(now, id, job::Completion::Failed);
            self.refuse(id, Refusal::Unreachable);
        }
        self.fail_short(now);
    }

    fn refuse(&mut self, id: job::JobId, refusal: Refusal) {
        if let Some(waiting) = self.waiting.remove(&id) {
            // The requester may have gone.
            let _ = waiting.reply.send(Err(refusal));
        }
    }

    fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = now;
        self.is_failing = false;
    }

    /// Opens a connection to a member that has failed, to see whether it is back.
    fn check(&mut self, now: Timestamp) {
        let handle = self.handle_to_self().filter(|_| self.is_failing);
        if let Some(handle) = handle
            && let Some(key) = self.connections.start_check(now)
        {
            self.open(handle, key);
        }
    }

    /// Records that a statement starts; silence is measured from the start of the first one.
    fn record_start(&mut self, now: Timestamp) {
        if self.queue.running() <= 1 {
            self.last_answer = now;
        }
    }

    fn publish(&self) {
        let now = clock::now();
        let mut waits_ms = [0; load::RANKS];
        for (wait_ms, rank) in waits_ms.iter_mut().zip(rank::Rank::ALL) {
            *wait_ms = self.queue.expected_wait(now, rank).as_millis() as u32;
        }
        let status = Status {
            load: load::Load { waits_ms },
            unanswered_since: (self.queue.running() > 0).then_some(self.last_answer),
            is_failing: self.is_failing,
        };
        self.status.send_replace(status);
    }
}

fn convert(refused: refusal::Refused) -> Refusal {
    match refused.reason {
        outcome::Refusal::EndpointDown => Refusal::Unreachable,
        _ => Refusal::Overloaded(refused.return_after),
    }
}
