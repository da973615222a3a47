//! A member's listener: it can be killed, restarted and given faults.

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

/// What every session of an endpoint shares.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The member's task.
    pub member: member::Handle,
    /// How the member behaves.
    pub options: sync::Arc<member::Options>,
    /// The endpoint's faults.
    pub faults: fault::Faults,
    /// Process numbers whose statement is to be cancelled.
    pub cancels: broadcast::Sender<i32>,
    /// Rows of `STREAM` that were handed to a socket.
    pub streamed: sync::Arc<atomic::AtomicU64>,
    slots: sync::Arc<tokio::sync::Semaphore>,
    open: sync::Arc<atomic::AtomicUsize>,
    served: sync::Arc<atomic::AtomicUsize>,
}

impl Shared {
    /// Waits for a slot and the statement's time in it.
    pub async fn occupy(&self) -> Option<tokio::sync::OwnedSemaphorePermit> {
        self.served.fetch_add(1, atomic::Ordering::SeqCst);
        let permit = self.slots.clone().acquire_owned().await.ok();
        if !self.options.service.is_zero() {
            tokio::time::sleep(self.options.service).await;
        }
        permit
    }

    /// Whether the endpoint takes no further connection.
    pub fn is_full(&self) -> bool {
        self.open.load(atomic::Ordering::SeqCst) > self.options.connections
    }
}

/// A running or killed endpoint.
#[derive(Debug)]
pub struct Endpoint {
    options: member::Options,
    address: std::net::SocketAddr,
    faults: fault::Faults,
    numbers: sync::Arc<atomic::AtomicU64>,
    open: sync::Arc<atomic::AtomicUsize>,
    peak: sync::Arc<atomic::AtomicUsize>,
    streamed: sync::Arc<atomic::AtomicU64>,
    served: sync::Arc<atomic::AtomicUsize>,
    state: State,
}

#[derive(Debug)]
enum State {
    Running {
        member: member::Handle,
        listener: tokio::task::JoinHandle<()>,
        kept: oneshot::Receiver<Box<member::Kept>>,
    },
    Killed(Option<Box<member::Kept>>),
}

/// Why an endpoint could not start.
#[derive(Debug)]
pub enum StartError {
    /// The address can't be listened on.
    Listen(io::Error),
    /// The data can't be set up.
    Data(crate::engine::SqlError),
    /// The endpoint runs already.
    Running,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "can't listen: {error}"),
            Self::Data(error) => write!(f, "can't set up the data: {error}"),
            Self::Running => f.write_str("runs already"),
        }
    }
}

impl std::error::Error for StartError {}

/// The part that a new endpoint plays.
#[derive(Debug, Clone)]
pub enum Part {
    /// The primary of the first term.
    Primary,
    /// A replica of the primary at this address.
    Replica(String),
}

impl Endpoint {
    /// Starts an endpoint at an address; port zero takes any.
    ///
    /// # Errors
    /// [`StartError`] when the address is taken or the data can't be set up.
    pub async fn start(
        options: member::Options,
        address: &str,
        part: Part,
    ) -> Result<Self, StartError> {
        let listener = net::TcpListener::bind(address)
            .await
            .map_err(StartError::Listen)?;
        let address = listener.local_addr().map_err(StartError::Listen)?;
        let role = match part {
            Part::Primary => status::MemberRole::Primary,
            Part::Replica(_) => status::MemberRole::Replica,
        };
        let first = position::Term(1);
        let term = if role == status::MemberRole::Primary {
            first
        } else {
            position::Term(0)
        };
        let (spare, _) = oneshot::channel();
        let kept = member::Kept {
            log: log::Log::default(),
            role,
            term,
            fenced: term,
            sink: spare,
        };
        let mut endpoint = Self {
            options,
            address,
            faults: fault::Faults::default(),
            numbers: sync::Arc::default(),
            open: sync::Arc::default(),
            peak: sync::Arc::default(),
            streamed: sync::Arc::default(),
            served: sync::Arc::default(),
            state: State::Killed(None),
        };
        endpoint.launch(listener, kept)?;
        if let (Part::Replica(primary), Some(member)) = (part, endpoint.member()) {
            let follow = |reply| member::Request::Follow(first, primary, reply);
            crate::replication::ask(member, follow).await;
        }
        Ok(endpoint)
    }

    fn launch(&mut self, listener: net::TcpListener, kept: member::Kept) -> Result<(), StartError> {
        let (sink, kept_later) = oneshot::channel();
        let kept = member::Kept { sink, ..kept };
        let member = member::start(self.options.clone(), kept).map_err(StartError::Data)?;
        let shared = Shared {
            member: member.clone(),
            options: sync::Arc::new(self.options.clone()),
            faults: self.faults.clone(),
            cancels: broadcast::Sender::new(64),
            streamed: self.streamed.clone(),
            slots: sync::Arc::new(tokio::sync::Semaphore::new(self.options.slots)),
            open: self.open.clone(),
            served: self.served.clone(),
        };
        let accepting = accept(listener, shared, self.numbers.clone(), self.peak.clone());
        let listener = tokio::spawn(accepting);
        self.state = State::Running {
            member,
            listener,
            kept: kept_later,
        };
        Ok(())
    }

    /// Ends the process: every connection breaks, the log is kept.
    pub async fn kill(&mut self) {
        let State::Running {
            member,
            listener,
            kept,
        } = std::mem::replace(&mut self.state, State::Killed(None))
        else {
            return;
        };
        listener.abort();
        drop(member);
        self.state = State::Killed(kept.await.ok());
    }

    /// Starts a killed endpoint again with the log it kept.
    ///
    /// # Errors
    /// [`StartError`] when it runs, its address is taken or its log can't be replayed.
    pub async fn restart(&mut self) -> Result<(), StartError> {
        let State::Killed(kept) = &mut self.state else {
            return Err(StartError::Running);
        };
        let kept = kept.take().ok_or(StartError::Running)?;
        let listener = net::TcpListener::bind(self.address)
            .await
            .map_err(StartError::Listen)?;
        self.launch(listener, *kept)
    }

    /// The member's task; none while the endpoint is killed.
    pub fn member(&self) -> Option<&member::Handle> {
        match &self.state {
            State::Running { member, .. } => Some(member),
            State::Killed(_) => None,
        }
    }

    /// Where the endpoint listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// The endpoint's faults.
    pub fn faults(&self) -> &fault::Faults {
        &self.faults
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.load(atomic::Ordering::SeqCst)
    }

    /// Most connections that were open at once.
    pub fn peak(&self) -> usize {
        self.peak.load(atomic::Ordering::SeqCst)
    }

    /// Rows of `STREAM` that were handed to a socket.
    pub fn streamed(&self) -> u64 {
        self.streamed.load(atomic::Ordering::SeqCst)
    }

    /// Statements that have asked for a slot so far.
    pub fn served(&self) -> usize {
        self.served.load(atomic::Ordering::SeqCst)
    }

    /// Makes the member ask for no new work, or for work again.
    pub async fn set_leaving(&self, leaving: bool) {
        if let Some(member) = self.member() {
            let leave = |reply| member::Request::Leave(leaving, reply);
            crate::replication::ask(member, leave).await;
        }
    }

    /// Lets every connection that is open now go silent for good.
    pub fn silence_open(&self) {
        let next = self.numbers.load(atomic::Ordering::SeqCst);
        self.faults.deafen_below(next + 1);
    }
}

async fn accept(
    listener: net::TcpListener,
    shared: Shared,
    numbers: sync::Arc<atomic::AtomicU64>,
    peak: sync::Arc<atomic::AtomicUsize>,
) {
    // The sessions end with this task, as they would with their process.
    let mut sessions = tokio::task::JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        while sessions.try_join_next().is_some() {}
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let number = numbers.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let count = Count::new(shared.open.clone());
        peak.fetch_max(
            shared.open.load(atomic::Ordering::SeqCst),
            atomic::Ordering::SeqCst,
        );
        let session = session::Session::new(shared.clone(), socket, number);
        sessions.spawn(async move {
            let _count = count;
            if let Err(end) = session.run().await {
                ::log::debug!("event=session_end number={number} end={end:?}");
            }
        });
    }
}

/// Counts a connection for as long as it lives.
#[derive(Debug)]
struct Count(sync::Arc<atomic::AtomicUsize>);

impl Count {
    fn new(open: sync::Arc<atomic::AtomicUsize>) -> Self {
        open.fetch_add(1, atomic::Ordering::SeqCst);
        Self(open)
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
