//! The task that owns an endpoint's queue and its idle connections.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_endpoint::connection;
use cardamomhold_queue::queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::lane;

/// Idle time after which a connection is checked before it is used.
pub const QUIET: time::Duration = time::Duration::from_secs(5);

/// Time within which a check must be answered.
pub const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Messages that wait for the task.
const MAILBOX: usize = 1024;

/// What the task is asked.
#[derive(Debug)]
enum Request {
    Admit {
        asked: Asked,
        reply: oneshot::Sender<Result<Grant, outcome::Refusal>>,
    },
    Finish(queue::JobId),
    Return(connection::Connection),
    Closed,
    Counts(oneshot::Sender<Counts>),
}

/// A transaction that asks for a place.
#[derive(Debug)]
struct Asked {
    rank: rank::Rank,
    caller: name::CallerName,
    deadline: Timestamp,
}

/// How much an endpoint has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Transactions that wait.
    pub waiting: usize,
    /// Transactions that run.
    pub running: usize,
    /// Connections that are open.
    pub connections: usize,
}

#[derive(Debug)]
struct Grant {
    id: queue::JobId,
    idle: Option<Idle>,
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

/// Starts the task; it ends when its last handle is dropped.
pub fn start(login: connection::Login, bounds: Bounds, clock: clock::Clock) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let task = Task {
        queue: queue::Queue::new(bounds.limits),
        clock,
        idle: Vec::new(),
        open: 0,
        next_id: 0,
        waiting: collections::HashMap::new(),
    };
    tokio::spawn(task.run(mailbox));
    Handle {
        requests,
        login,
        clock,
    }
}

struct Task {
    queue: queue::Queue,
    clock: clock::Clock,
    idle: Vec<Idle>,
    open: usize,
    next_id: u64,
    waiting: collections::HashMap<queue::JobId, oneshot::Sender<Result<Grant, outcome::Refusal>>>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        loop {
            let wake = self.queue.wake().map(|at| self.clock.instant(at));
            tokio::select! {
                request = mailbox.recv() => match request {
                    Some(request) => self.handle(request),
                    None => return,
                },
                () = sleep_until(wake) => {}
            }
            self.decide();
        }
    }

    fn handle(&mut self, request: Request) {
        // Whoever asked may have stopped waiting.
        match request {
            Request::Admit { asked, reply } => self.offer(asked, reply),
            Request::Finish(id) => self.queue.finish(id),
            Request::Return(connection) => {
                self.idle.push(Idle {
                    connection,
                    since: tokio::time::Instant::now(),
                });
            }
            Request::Closed => self.open = self.open.saturating_sub(1),
            Request::Counts(reply) => {
                let _ = reply.send(Counts {
                    waiting: self.queue.waiting(),
                    running: self.queue.running(),
                    connections: self.open,
                });
            }
        }
    }

    fn offer(&mut self, asked: Asked, reply: oneshot::Sender<Result<Grant, outcome::Refusal>>) {
        let id = queue::JobId(self.next_id);
        self.next_id += 1;
        let Asked {
            rank,
            caller,
            deadline,
        } = asked;
        let job = queue::Job {
            id,
            rank,
            caller,
            deadline,
        };
        match self.queue.offer(self.clock.now(), job) {
            Ok(()) => {
                self.waiting.insert(id, reply);
            }
            Err(refusal) => {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn decide(&mut self) {
        for decision in self.queue.poll(self.clock.now()) {
            match decision {
                queue::Decision::Start(id) => self.grant(id),
                queue::Decision::Refuse(id, refusal) => {
                    if let Some(reply) = self.waiting.remove(&id) {
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    fn grant(&mut self, id: queue::JobId) {
        let Some(reply) = self.waiting.remove(&id) else {
            self.queue.finish(id);
            return;
        };
        let idle = self.idle.pop();
        if idle.is_none() {
            self.open += 1;
        }
        if let Err(Ok(Grant { id, idle })) = reply.send(Ok(Grant { id, idle })) {
            self.queue.finish(id);
            match idle {
                Some(idle) => self.idle.push(idle),
                None => self.open -= 1,
            }
        }
    }
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
        deadline: tokio::time::Instant,
    ) -> Result<Lease, outcome::Refusal> {
        let asked = Asked {
            rank: ticket.rank,
            caller: ticket.caller.clone(),
            deadline: self.clock.now().after(ticket.deadline),
        };
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.send(Request::Admit { asked, reply }).await;
        sent.map_err(|_| outcome::Refusal::Stopping)?;
        let grant = answer.await.unwrap_or(Err(outcome::Refusal::Stopping))?;
        let lease = Lease {
            connection: None,
            place: Some(grant.id),
            requests: self.requests.clone(),
            allowance: ticket.deadline,
        };
        self.connect(lease, grant, deadline).await
    }

    async fn connect(
        &self,
        mut lease: Lease,
        grant: Grant,
        deadline: tokio::time::Instant,
    ) -> Result<Lease, outcome::Refusal> {
        if let Some(idle) = grant.idle
            && let Some(connection) = check(idle).await
        {
            lease.connection = Some(connection);
            return Ok(lease);
        }
        let opening = connection::Connection::open(&self.login);
        match tokio::time::timeout_at(deadline, opening).await {
            Ok(Ok(connection)) => {
                lease.connection = Some(connection);
                Ok(lease)
            }
            Ok(Err(_)) | Err(_) => {
                lease.tell(Request::Closed);
                Err(outcome::Refusal::ConnectFailed)
            }
        }
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

/// A connection that was quiet for long must answer before it is used.
async fn check(idle: Idle) -> Option<connection::Connection> {
    let mut connection = idle.connection;
    if idle.since.elapsed() < QUIET {
        return Some(connection);
    }
    match tokio::time::timeout(CHECK_TIMEOUT, connection.query(connection::RESET_QUERY)).await {
        Ok(Ok(_)) => Some(connection),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// A connection lent to one transaction; dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    connection: Option<connection::Connection>,
    place: Option<queue::JobId>,
    requests: mpsc::Sender<Request>,
    allowance: time::Duration,
}

impl Lease {
    /// The connection.
    ///
    /// # Panics
    /// Never: a lease holds its connection until it is given back.
    pub fn connection(&mut self) -> &mut connection::Connection {
        match &mut self.connection {
            Some(connection) => connection,
            None => unreachable!("a lease holds its connection until it is given back"),
        }
    }

    /// Time that each statement may take.
    pub fn allowance(&self) -> time::Duration {
        self.allowance
    }

    /// Ends the transaction and hands the connection back, without its session state.
    pub async fn give_back(mut self) {
        self.finish();
        let reset = self.connection().query(connection::RESET_QUERY);
        let is_clean = matches!(
            tokio::time::timeout(connection::OPEN_TIMEOUT, reset).await,
            Ok(Ok(_))
        );
        if is_clean && let Some(connection) = self.connection.take() {
            self.tell(Request::Return(connection));
        }
    }

    fn finish(&mut self) {
        if let Some(id) = self.place.take() {
            self.tell(Request::Finish(id));
        }
    }

    fn tell(&self, request: Request) {
        if let Err(mpsc::error::TrySendError::Full(request)) = self.requests.try_send(request) {
            let requests = self.requests.clone();
            tokio::spawn(async move { requests.send(request).await });
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.finish();
        if self.connection.take().is_some() {
            self.tell(Request::Closed);
        }
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
