//! The task that owns an endpoint's queue and its idle connections.

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

use crate::clock;
use crate::lane;
use crate::lease;
use crate::metrics;

/// Connections that are kept open and idle while the endpoint is in use.
const SPARES: usize = 1;

/// Messages that wait for the task.
const MAILBOX: usize = 1024;

/// What the task is asked.
#[derive(Debug)]
pub(crate) enum Request {
    /// Waits for a place and a connection.
    Admit {
        /// Who asks for what.
        asked: Asked,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<lease::Lease, outcome::Refusal>>,
    },
    /// Gives a place back.
    Finish(job::JobId, job::Completion),
    /// Leaves the endpoint idle while the caller thinks.
    Pause(job::JobId),
    /// Goes on after a pause.
    Resume(job::JobId),
    /// Gives a connection back.
    Return(connection::Connection),
    /// A lent connection, or one that was to be opened, is no more.
    Closed,
    /// A spare connection is open, or could not be opened.
    Opened(Option<connection::Connection>),
    /// Takes new bounds.
    Resize(Bounds),
    /// Shows the load.
    Counts(oneshot::Sender<Counts>),
}

/// A transaction that asks for a place.
#[derive(Debug)]
pub(crate) struct Asked {
    rank: rank::Rank,
    caller: name::CallerName,
    weight: u32,
    deadline: Timestamp,
}

/// How much an endpoint has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Transactions that wait.
    pub waiting: usize,
    /// Transactions that run.
    pub running: usize,
    /// Transactions that may run at once.
    pub limit: usize,
    /// Connections that are open.
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
    /// Most open connections.
    pub connections: usize,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
    login: connection::Login,
    clock: clock::Clock,
}

/// What the task needs to know.
#[derive(Debug)]
pub struct Setting {
    /// The group.
    pub group: name::GroupName,
    /// The member whose endpoint this is.
    pub member: name::MemberName,
    /// How to log in.
    pub login: connection::Login,
    /// Bounds of the pool.
    pub bounds: Bounds,
    /// The clock.
    pub clock: clock::Clock,
    /// Where the load is shown.
    pub metrics: metrics::Metrics,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start(setting: Setting) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let handle = Handle {
        requests: requests.clone(),
        login: setting.login.clone(),
        clock: setting.clock,
    };
    let task = Task {
        queue: queue::Queue::new(setting.bounds.limits),
        own: requests.downgrade(),
        setting,
        idle: Vec::new(),
        open: 0,
        opening: 0,
        answers: false,
        next_id: 0,
        waiting: collections::HashMap::new(),
        granted: collections::VecDeque::new(),
    };
    tokio::spawn(task.run(mailbox));
    handle
}

/// Someone who waits for a place.
#[derive(Debug)]
struct Waiter {
    rank: rank::Rank,
    since: Timestamp,
    reply: oneshot::Sender<Result<lease::Lease, outcome::Refusal>>,
}

struct Task {
    setting: Setting,
    queue: queue::Queue,
    own: mpsc::WeakSender<Request>,
    idle: Vec<Idle>,
    /// Connections that are idle, lent or being opened.
    open: usize,
    /// Spare connections that are being opened.
    opening: usize,
    /// Whether the endpoint answered last.
    answers: bool,
    next_id: u64,
    waiting: collections::HashMap<job::JobId, Waiter>,
    /// Jobs with a place that wait for a connection, the oldest first.
    granted: collections::VecDeque<job::JobId>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        loop {
            let wake = self
                .queue
                .next_wakeup()
                .map(|at| self.setting.clock.instant(at));
            tokio::select! {
                request = mailbox.recv() => match request {
                    Some(request) => self.handle(request),
                    None => break,
                },
                () = sleep_until(wake) => {}
            }
            self.decide();
            self.prepare();
            self.setting
                .metrics
                .load(&self.setting.member, &self.counts());
        }
        self.setting.metrics.forget(&self.setting.member);
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Admit { asked, reply } => self.offer(asked, reply),
            Request::Finish(id, ended) => {
                self.answers = matches!(ended, job::Completion::Answered(_));
                self.queue.finish(self.setting.clock.now(), id, ended);
            }
            Request::Pause(id) => self.queue.pause(self.setting.clock.now(), id),
            Request::Resume(id) => self.queue.resume(self.setting.clock.now(), id),
            Request::Return(connection) => self.keep(connection),
            Request::Closed => self.open = self.open.saturating_sub(1),
            Request::Opened(opened) => {
                self.opening = self.opening.saturating_sub(1);
                match opened {
                    Some(connection) => self.keep(connection),
                    None => {
                        self.answers = false;
                        self.open = self.open.saturating_sub(1);
                    }
                }
            }
            Request::Resize(bounds) => {
                self.setting.bounds = bounds;
                self.queue.set_limits(bounds.limits);
            }
            Request::Counts(reply) => {
                // Whoever asked may have stopped waiting.
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

    /// Keeps a connection for the next transaction, or closes it when there are too many.
    fn keep(&mut self, connection: connection::Connection) {
        if self.open > self.setting.bounds.connections {
            self.open -= 1;
            return;
        }
        self.idle.push(Idle {
            connection,
            since: tokio::time::Instant::now(),
        });
    }

    fn offer(
        &mut self,
        asked: Asked,
        reply: oneshot::Sender<Result<lease::Lease, outcome::Refusal>>,
    ) {
        let id = job::JobId(self.next_id);
        self.next_id += 1;
        let now = self.setting.clock.now();
        let rank = asked.rank;
        let job = job::Job {
            id,
            rank,
            caller: asked.caller,
            weight: asked.weight,
            deadline: asked.deadline,
        };
        match self.queue.offer(now, job) {
            Ok(()) => {
                let since = now;
                self.waiting.insert(id, Waiter { rank, since, reply });
            }
            Err(refusal) => {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn decide(&mut self) {
        for decision in self.queue.poll(self.setting.clock.now()) {
            match decision {
                queue::Decision::Start(id) => self.granted.push_back(id),
                queue::Decision::Refuse(id, refusal) => {
                    if let Some(waiter) = self.waiting.remove(&id) {
                        let _ = waiter.reply.send(Err(refusal));
                    }
                }
            }
        }
        while let Some(id) = self.granted.pop_front() {
            if self.idle.is_empty() && self.open >= self.setting.bounds.connections {
                // A connection that is on its way back comes first.
                self.granted.push_front(id);
                return;
            }
            self.grant(id);
        }
    }

    fn grant(&mut self, id: job::JobId) {
        let now = self.setting.clock.now();
        let Some(waiter) = self.waiting.remove(&id) else {
            self.queue.finish(now, id, job::Completion::Unused);
            return;
        };
        let waited = now.since(waiter.since);
        self.setting
            .metrics
            .waited(&self.setting.group, waiter.rank, waited);
        let Some(own) = self.own.upgrade() else {
            return;
        };
        let mut lease = lease::Lease::new(id, own);
        match self.idle.pop() {
            Some(idle) => lease.hold(idle.connection, idle.since),
            None => self.open += 1,
        }
        // Whoever asked may have stopped waiting; the lease gives its place back itself.
        let _ = waiter.reply.send(Ok(lease));
    }

    /// Opens spare connections while the endpoint is in use and answers.
    fn prepare(&mut self) {
        let is_used = self.answers && self.queue.running() > 0;
        let most = self.setting.bounds.connections;
        while is_used && self.idle.len() + self.opening < SPARES && self.open < most {
            let Some(own) = self.own.upgrade() else {
                return;
            };
            self.open += 1;
            self.opening += 1;
            tokio::spawn(open_spare(self.setting.login.clone(), own));
        }
    }
}

async fn open_spare(login: connection::Login, owner: mpsc::Sender<Request>) {
    let opening = connection::Connection::open(&login);
    let opened = tokio::time::timeout(connection::OPEN_TIMEOUT, opening).await;
    let opened = opened.ok().and_then(Result::ok);
    // A task that has ended needs no connection.
    let _ = owner.send(Request::Opened(opened)).await;
}

/// Sleeps until an instant; for ever when there is none.
pub(crate) async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Handle {
    /// Waits for a place and a connection.
    ///
    /// # Errors
    /// The refusal; nothing has run.
    pub async fn admit(
        &self,
        ticket: &lane::Ticket,
        weight: u32,
        deadline: tokio::time::Instant,
    ) -> Result<lease::Lease, outcome::Refusal> {
        let asked = Asked {
            rank: ticket.rank,
            caller: ticket.caller.clone(),
            weight,
            deadline: self.clock.now().after(ticket.deadline),
        };
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.send(Request::Admit { asked, reply }).await;
        sent.map_err(|_| outcome::Refusal::Stopping)?;
        let mut lease = match tokio::time::timeout_at(deadline, answer).await {
            Ok(answer) => answer.unwrap_or(Err(outcome::Refusal::Stopping))?,
            Err(_) => return Err(outcome::Refusal::DeadlineUnmet),
        };
        lease
            .connect(&self.login, ticket.deadline, deadline)
            .await?;
        Ok(lease)
    }

    /// Takes new bounds.
    pub fn resize(&self, bounds: Bounds) {
        lease::tell(&self.requests, Request::Resize(bounds));
    }

    /// How much the endpoint has to do.
    pub async fn counts(&self) -> Counts {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Counts(reply)).await.is_err() {
            return Counts::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// The login of a member for this instance.
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
