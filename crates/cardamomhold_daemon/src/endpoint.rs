//! The task that owns an endpoint's request queue and connection pool.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_endpoint::connection;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::checkout;
use crate::clock;
use crate::metrics;
use crate::stream;

/// Minimum number of idle connections while the endpoint is in use and its pool isn't full.
const SPARE_CONNECTIONS: usize = 1;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Requests to the task.
#[derive(Debug)]
pub(crate) enum Request {
    /// Queues a job and waits for its start and a connection.
    Admit {
        /// The job's parameters.
        request: JobRequest,
        /// Receives the checkout or the refusal.
        reply: oneshot::Sender<Result<checkout::Checkout, outcome::Refusal>>,
    },
    /// Ends a job.
    Finish(job::JobId, job::Completion),
    /// Pauses a job while the endpoint waits for its caller.
    Pause(job::JobId),
    /// Resumes a paused job.
    Resume(job::JobId),
    /// Returns a connection to the pool.
    Release(connection::Connection),
    /// A checked-out connection is closed, or could not be opened.
    Closed,
    /// A spare connection has been opened; `None` if that failed.
    Opened(Option<connection::Connection>),
    /// Changes the bounds.
    Resize(Bounds),
    /// Returns the load.
    Counts(oneshot::Sender<Counts>),
}

/// Parameters of the job of a transaction.
#[derive(Debug)]
pub(crate) struct JobRequest {
    rank: rank::Rank,
    caller: name::CallerName,
    weight: u32,
    deadline: Timestamp,
}

/// Load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Number of waiting transactions.
    pub waiting: usize,
    /// Number of running transactions.
    pub running: usize,
    /// Maximum number of running transactions.
    pub limit: usize,
    /// Number of open connections.
    pub connections: usize,
}

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    since: tokio::time::Instant,
}

/// Bounds of an endpoint's pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bounds of the queue.
    pub limits: queue::Limits,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
    login: connection::Login,
    clock: clock::Clock,
}

/// Dependencies of the task.
#[derive(Debug)]
pub struct Context {
    /// The group.
    pub group: name::GroupName,
    /// Member that the endpoint belongs to.
    pub member: name::MemberName,
    /// Login for new connections.
    pub login: connection::Login,
    /// Bounds of the pool.
    pub bounds: Bounds,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Metrics for the load and the queue time.
    pub metrics: metrics::Metrics,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start(context: Context) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let handle = Handle {
        requests: requests.clone(),
        login: context.login.clone(),
        clock: context.clock,
    };
    let task = Task {
        queue: queue::Queue::new(context.bounds.limits),
        requests: requests.downgrade(),
        context,
        idle: Vec::new(),
        open: 0,
        opening: 0,
        is_healthy: false,
        next_id: 0,
        waiting: collections::HashMap::new(),
        starting: collections::VecDeque::new(),
    };
    tokio::spawn(task.run(mailbox));
    handle
}

/// A job that waits for its start or for a connection.
#[derive(Debug)]
struct Waiter {
    rank: rank::Rank,
    since: Timestamp,
    reply: oneshot::Sender<Result<checkout::Checkout, outcome::Refusal>>,
}

struct Task {
    context: Context,
    queue: queue::Queue,
    requests: mpsc::WeakSender<Request>,
    idle: Vec<Idle>,
    /// Number of connections that are idle, checked out or being opened.
    open: usize,
    /// Number of spare connections that are being opened.
    opening: usize,
    /// Whether the last finished job was answered; cleared if a spare connection can't be opened.
    is_healthy: bool,
    next_id: u64,
    waiting: collections::HashMap<job::JobId, Waiter>,
    /// Started jobs that wait for a connection, the oldest first.
    starting: collections::VecDeque<job::JobId>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        loop {
            let wakeup = self
                .queue
                .next_wakeup()
                .map(|at| self.context.clock.instant(at));
            tokio::select! {
                request = mailbox.recv() => match request {
                    Some(request) => self.handle(request),
                    None => break,
                },
                () = sleep_until(wakeup) => {}
            }
            self.run_decisions();
            self.open_spares();
            self.context
                .metrics
                .set_load(&self.context.member, &self.counts());
        }
        self.context.metrics.remove_load(&self.context.member);
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Admit { request, reply } => self.enqueue(request, reply),
            Request::Finish(id, completion) => {
                self.is_healthy = matches!(completion, job::Completion::Answered(_));
                self.queue.finish(self.context.clock.now(), id, completion);
            }
            Request::Pause(id) => self.queue.pause(self.context.clock.now(), id),
            Request::Resume(id) => self.queue.resume(self.context.clock.now(), id),
            Request::Release(connection) => self.keep_idle(connection),
            Request::Closed => self.open = self.open.saturating_sub(1),
            Request::Opened(opened) => {
                self.opening = self.opening.saturating_sub(1);
                match opened {
                    Some(connection) => self.keep_idle(connection),
                    None => {
                        self.is_healthy = false;
                        self.open = self.open.saturating_sub(1);
                    }
                }
            }
            Request::Resize(bounds) => {
                self.context.bounds = bounds;
                self.queue.set_limits(bounds.limits);
            }
            Request::Counts(reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.counts());
            }
        }
    }

    fn counts(&self) -> Counts {
        Counts {
            waiting: self.queue.waiting(),
            running: self.queue.running(),
            limit: self.queue.limit(),
            connections: self.open,
        }
    }

    /// Keeps a connection for the next transaction, or closes it if there are too many.
    fn keep_idle(&mut self, connection: connection::Connection) {
        if self.open > self.context.bounds.connections {
            self.open -= 1;
            return;
        }
        self.idle.push(Idle {
            connection,
            since: tokio::time::Instant::now(),
        });
    }

    fn enqueue(
        &mut self,
        request: JobRequest,
        reply: oneshot::Sender<Result<checkout::Checkout, outcome::Refusal>>,
    ) {
        let id = job::JobId(self.next_id);
        self.next_id += 1;
        let now = self.context.clock.now();
        let rank = request.rank;
        let job = job::Job {
            id,
            rank,
            caller: request.caller,
            weight: request.weight,
            // Callers set one limit, until which an answer is of use.
            target: request.deadline,
            deadline: request.deadline,
        };
        match self.queue.offer(now, job) {
            Ok(()) => {
                let since = now;
                self.waiting.insert(id, Waiter { rank, since, reply });
            }
            Err(refused) => {
                // The requester may have stopped waiting.
                let _ = reply.send(Err(refused.reason));
            }
        }
    }

    fn run_decisions(&mut self) {
        for decision in self.queue.poll(self.context.clock.now()) {
            match decision {
                queue::Decision::Start(id) => self.starting.push_back(id),
                queue::Decision::Refuse(id, refused) => {
                    if let Some(waiter) = self.waiting.remove(&id) {
                        let _ = waiter.reply.send(Err(refused.reason));
                    }
                }
            }
        }
        while let Some(id) = self.starting.pop_front() {
            if self.idle.is_empty() && self.open >= self.context.bounds.connections {
                // The job waits until a connection is returned.
                self.starting.push_front(id);
                return;
            }
            self.start_job(id);
        }
    }

    fn start_job(&mut self, id: job::JobId) {
        let now = self.context.clock.now();
        let Some(waiter) = self.waiting.remove(&id) else {
            self.queue.finish(now, id, job::Completion::Unused);
            return;
        };
        let waited = now.since(waiter.since);
        self.context
            .metrics
            .record_wait(&self.context.group, waiter.rank, waited);
        let Some(requests) = self.requests.upgrade() else {
            return;
        };
        let mut checkout = checkout::Checkout::new(id, requests);
        match self.idle.pop() {
            Some(idle) => checkout.attach(idle.connection, idle.since),
            None => self.open += 1,
        }
        // The requester may have stopped waiting; the dropped checkout ends the job.
        let _ = waiter.reply.send(Ok(checkout));
    }

    /// Opens spare connections while the endpoint is in use and healthy.
    fn open_spares(&mut self) {
        let is_used = self.is_healthy && self.queue.running() > 0;
        let max = self.context.bounds.connections;
        while is_used && self.idle.len() + self.opening < SPARE_CONNECTIONS && self.open < max {
            let Some(requests) = self.requests.upgrade() else {
                return;
            };
            self.open += 1;
            self.opening += 1;
            tokio::spawn(open_spare(self.context.login.clone(), requests));
        }
    }
}

async fn open_spare(login: connection::Login, requests: mpsc::Sender<Request>) {
    let opening = connection::Connection::open(&login);
    let opened = tokio::time::timeout(connection::OPEN_TIMEOUT, opening).await;
    let opened = opened.ok().and_then(Result::ok);
    // If the task has ended, the connection is dropped.
    let _ = requests.send(Request::Opened(opened)).await;
}

/// Sleeps until an instant; forever if there is none.
pub(crate) async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Handle {
    /// Queues a job and waits for its start and a connection.
    ///
    /// # Errors
    /// [`outcome::Refusal`]; nothing has run.
    pub async fn admit(
        &self,
        ticket: &stream::Ticket,
        weight: u32,
        deadline: tokio::time::Instant,
    ) -> Result<checkout::Checkout, outcome::Refusal> {
        let request = JobRequest {
            rank: ticket.rank,
            caller: ticket.caller.clone(),
            weight,
            deadline: self.clock.now().after(ticket.deadline),
        };
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.send(Request::Admit { request, reply }).await;
        sent.map_err(|_| outcome::Refusal::Stopping)?;
        let mut checkout = match tokio::time::timeout_at(deadline, answer).await {
            Ok(answer) => answer.unwrap_or(Err(outcome::Refusal::Stopping))?,
            Err(_) => return Err(outcome::Refusal::DeadlineUnmet),
        };
        checkout
            .connect(&self.login, ticket.deadline, deadline)
            .await?;
        Ok(checkout)
    }

    /// Changes the bounds.
    pub fn resize(&self, bounds: Bounds) {
        checkout::send_detached(&self.requests, Request::Resize(bounds));
    }

    /// Load of the endpoint.
    pub async fn counts(&self) -> Counts {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Counts(reply)).await.is_err() {
            return Counts::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// Returns the login of an instance at a member.
pub fn login(
    address: &str,
    group: &name::GroupName,
    instance: &name::InstanceName,
) -> connection::Login {
    connection::Login {
        address: address.to_owned(),
        database: group.to_string(),
        application: format!("cardamomhold/{instance}"),
    }
}
