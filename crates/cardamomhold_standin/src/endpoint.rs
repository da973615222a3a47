//! Listener of a member, which a test can kill, restart or subject to faults.

use std::io;
use std::sync;
use std::sync::atomic;

use cardamomhold_core::position;
use cardamomhold_group::status;
use tokio::net;
use tokio::sync::broadcast;
use tokio::sync::oneshot;

use crate::fault;
use crate::log;
use crate::member;
use crate::session;

/// State shared by the sessions of an endpoint.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Handle of the member's task.
    pub member: member::Handle,
    /// Options of the member.
    pub options: sync::Arc<member::Options>,
    /// Injected faults.
    pub faults: fault::Faults,
    /// Backend process IDs whose current statement is to be cancelled.
    pub cancels: broadcast::Sender<i32>,
    /// Number of `STREAM` rows generated for a client.
    pub streamed_rows: sync::Arc<atomic::AtomicU64>,
    slots: sync::Arc<tokio::sync::Semaphore>,
    open_connections: sync::Arc<atomic::AtomicUsize>,
    slot_requests: sync::Arc<atomic::AtomicUsize>,
}

impl Shared {
    /// Waits for a free slot, then for the service time of a statement. Returns the slot's permit.
    pub async fn acquire_slot(&self) -> Option<tokio::sync::OwnedSemaphorePermit> {
        self.slot_requests.fetch_add(1, atomic::Ordering::SeqCst);
        let permit = self.slots.clone().acquire_owned().await.ok();
        if !self.options.service_time.is_zero() {
            tokio::time::sleep(self.options.service_time).await;
        }
        permit
    }

    /// Returns whether more connections are open than the member allows.
    pub fn is_over_limit(&self) -> bool {
        self.open_connections.load(atomic::Ordering::SeqCst) > self.options.connections
    }
}

/// A running or killed endpoint.
#[derive(Debug)]
pub struct Endpoint {
    options: member::Options,
    address: std::net::SocketAddr,
    faults: fault::Faults,
    last_number: sync::Arc<atomic::AtomicU64>,
    open_connections: sync::Arc<atomic::AtomicUsize>,
    peak_connections: sync::Arc<atomic::AtomicUsize>,
    streamed_rows: sync::Arc<atomic::AtomicU64>,
    slot_requests: sync::Arc<atomic::AtomicUsize>,
    state: State,
}

#[derive(Debug)]
enum State {
    Running {
        member: member::Handle,
        listener: tokio::task::JoinHandle<()>,
        saved: oneshot::Receiver<Box<member::SavedState>>,
    },
    Killed(Option<Box<member::SavedState>>),
}

/// Error at the start of an endpoint.
#[derive(Debug)]
pub enum StartError {
    /// Listening on the address failed.
    Listen(io::Error),
    /// Creating the database or replaying the log failed.
    Data(crate::engine::SqlError),
    /// The endpoint is already running.
    Running,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "can't listen: {error}"),
            Self::Data(error) => write!(f, "can't create the database: {error}"),
            Self::Running => f.write_str("already running"),
        }
    }
}

impl std::error::Error for StartError {}

/// Initial role of an endpoint.
#[derive(Debug, Clone)]
pub enum InitialRole {
    /// The primary of the first term.
    Primary,
    /// A replica that follows the primary at this address.
    Replica(String),
}

impl Endpoint {
    /// Starts an endpoint at an address; port 0 selects any free port.
    ///
    /// # Errors
    /// [`StartError`] when the address is in use or the database can't be created.
    pub async fn start(
        options: member::Options,
        address: &str,
        initial_role: InitialRole,
    ) -> Result<Self, StartError> {
        let listener = net::TcpListener::bind(address)
            .await
            .map_err(StartError::Listen)?;
        let address = listener.local_addr().map_err(StartError::Listen)?;
        let role = match initial_role {
            InitialRole::Primary => status::MemberRole::Primary,
            InitialRole::Replica(_) => status::MemberRole::Replica,
        };
        let first = position::Term(1);
        let term = if role == status::MemberRole::Primary {
            first
        } else {
            position::Term(0)
        };
        let (unused, _) = oneshot::channel();
        let saved = member::SavedState {
            log: log::Log::default(),
            role,
            term,
            fenced: term,
            sink: unused,
        };
        let mut endpoint = Self {
            options,
            address,
            faults: fault::Faults::default(),
            last_number: sync::Arc::default(),
            open_connections: sync::Arc::default(),
            peak_connections: sync::Arc::default(),
            streamed_rows: sync::Arc::default(),
            slot_requests: sync::Arc::default(),
            state: State::Killed(None),
        };
        endpoint.launch(listener, saved)?;
        if let (InitialRole::Replica(primary), Some(member)) = (initial_role, endpoint.member()) {
            let follow = |reply| member::Request::Follow(first, primary, reply);
            crate::replication::request(member, follow).await;
        }
        Ok(endpoint)
    }

    fn launch(
        &mut self,
        listener: net::TcpListener,
        saved: member::SavedState,
    ) -> Result<(), StartError> {
        let (sink, saved_receiver) = oneshot::channel();
        let saved = member::SavedState { sink, ..saved };
        let member = member::start(self.options.clone(), saved).map_err(StartError::Data)?;
        let shared = Shared {
            member: member.clone(),
            options: sync::Arc::new(self.options.clone()),
            faults: self.faults.clone(),
            cancels: broadcast::Sender::new(64),
            streamed_rows: self.streamed_rows.clone(),
            slots: sync::Arc::new(tokio::sync::Semaphore::new(self.options.slots)),
            open_connections: self.open_connections.clone(),
            slot_requests: self.slot_requests.clone(),
        };
        let accept_loop = accept(
            listener,
            shared,
            self.last_number.clone(),
            self.peak_connections.clone(),
        );
        let listener = tokio::spawn(accept_loop);
        self.state = State::Running {
            member,
            listener,
            saved: saved_receiver,
        };
        Ok(())
    }

    /// Simulates the end of the process: closes every connection and keeps the log.
    pub async fn kill(&mut self) {
        let State::Running {
            member,
            listener,
            saved,
        } = std::mem::replace(&mut self.state, State::Killed(None))
        else {
            return;
        };
        listener.abort();
        drop(member);
        self.state = State::Killed(saved.await.ok());
    }

    /// Restarts a killed endpoint with the log it had.
    ///
    /// # Errors
    /// [`StartError`] when it is running, its address is in use or its log can't be replayed.
    pub async fn restart(&mut self) -> Result<(), StartError> {
        let State::Killed(saved) = &mut self.state else {
            return Err(StartError::Running);
        };
        let saved = saved.take().ok_or(StartError::Running)?;
        let listener = net::TcpListener::bind(self.address)
            .await
            .map_err(StartError::Listen)?;
        self.launch(listener, *saved)
    }

    /// Returns the handle of the member's task, or `None` while the endpoint is killed.
    pub fn member(&self) -> Option<&member::Handle> {
        match &self.state {
            State::Running { member, .. } => Some(member),
            State::Killed(_) => None,
        }
    }

    /// Returns the listen address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Returns the switches for the endpoint's faults.
    pub fn faults(&self) -> &fault::Faults {
        &self.faults
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(atomic::Ordering::SeqCst)
    }

    /// Returns the highest number of connections that were open at the same time.
    pub fn peak_connections(&self) -> usize {
        self.peak_connections.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of `STREAM` rows generated for clients.
    pub fn streamed_rows(&self) -> u64 {
        self.streamed_rows.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of statements that have requested a slot.
    pub fn slot_requests(&self) -> usize {
        self.slot_requests.load(atomic::Ordering::SeqCst)
    }

    /// Sets whether the member reports that it is leaving and wants no new transactions.
    pub async fn set_leaving(&self, leaving: bool) {
        if let Some(member) = self.member() {
            let set_leaving = |reply| member::Request::SetLeaving(leaving, reply);
            crate::replication::request(member, set_leaving).await;
        }
    }

    /// Makes every connection that is open now unresponsive, permanently.
    pub fn hang_connections(&self) {
        let next = self.last_number.load(atomic::Ordering::SeqCst);
        self.faults.hang_below(next + 1);
    }
}

async fn accept(
    listener: net::TcpListener,
    shared: Shared,
    last_number: sync::Arc<atomic::AtomicU64>,
    peak_connections: sync::Arc<atomic::AtomicUsize>,
) {
    // Dropping the set aborts the sessions together with this task, like the end of a process.
    let mut sessions = tokio::task::JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        while sessions.try_join_next().is_some() {}
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let number = last_number.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let guard = ConnectionGuard::new(shared.open_connections.clone());
        peak_connections.fetch_max(
            shared.open_connections.load(atomic::Ordering::SeqCst),
            atomic::Ordering::SeqCst,
        );
        let session = session::Session::new(shared.clone(), socket, number);
        sessions.spawn(async move {
            let _guard = guard;
            if let Err(end) = session.run().await {
                ::log::debug!("event=session_end number={number} end={end:?}");
            }
        });
    }
}

/// Counts an open connection until dropped.
#[derive(Debug)]
struct ConnectionGuard(sync::Arc<atomic::AtomicUsize>);

impl ConnectionGuard {
    fn new(open_connections: sync::Arc<atomic::AtomicUsize>) -> Self {
        open_connections.fetch_add(1, atomic::Ordering::SeqCst);
        Self(open_connections)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
