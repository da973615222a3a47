//! A connection lent to one transaction, and the place in the endpoint's queue with it.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;
use cardamomhold_queue::job;
use tokio::sync::mpsc;

use crate::endpoint;

/// Idle time after which a connection is checked before it is used.
pub const QUIET: time::Duration = time::Duration::from_secs(5);

/// Time within which a check must be answered.
pub const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time without an answer after which the endpoint, not the caller's deadline, is to blame.
const PATIENCE: time::Duration = time::Duration::from_secs(1);

/// A connection lent to one transaction; dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    connection: Option<connection::Connection>,
    quiet_since: Option<tokio::time::Instant>,
    place: Option<job::JobId>,
    requests: mpsc::Sender<endpoint::Request>,
    allowance: time::Duration,
    asked: Option<tokio::time::Instant>,
    busy: time::Duration,
    has_failed: bool,
    is_paused: bool,
}

impl Lease {
    /// A lease whose connection is still to come.
    pub(crate) fn new(place: job::JobId, requests: mpsc::Sender<endpoint::Request>) -> Self {
        Self {
            connection: None,
            quiet_since: None,
            place: Some(place),
            requests,
            allowance: time::Duration::ZERO,
            asked: None,
            busy: time::Duration::ZERO,
            has_failed: false,
            is_paused: false,
        }
    }

    /// Takes a connection that has been quiet for a while.
    pub(crate) fn hold(&mut self, connection: connection::Connection, since: tokio::time::Instant) {
        self.connection = Some(connection);
        self.quiet_since = Some(since);
    }

    /// Sees to it that the lease has a connection that answers.
    ///
    /// # Errors
    /// [`outcome::Refusal::ConnectFailed`] when none could be opened by the deadline.
    pub(crate) async fn connect(
        &mut self,
        login: &connection::Login,
        allowance: time::Duration,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Refusal> {
        self.allowance = allowance;
        if self.check().await {
            return Ok(());
        }
        self.connection = None;
        self.ask();
        let opening = connection::Connection::open(login);
        match tokio::time::timeout_at(deadline, opening).await {
            Ok(Ok(connection)) => {
                self.asked = None;
                self.connection = Some(connection);
                Ok(())
            }
            Ok(Err(_)) => {
                self.has_failed = true;
                Err(outcome::Refusal::ConnectFailed)
            }
            Err(_) => Err(outcome::Refusal::ConnectFailed),
        }
    }

    /// Whether there is a connection, and it answers in case it was quiet for long.
    async fn check(&mut self) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        if self.quiet_since.is_some_and(|at| at.elapsed() < QUIET) {
            return true;
        }
        let reset = connection.query(connection::RESET_QUERY);
        let answer = tokio::time::timeout(CHECK_TIMEOUT, reset).await;
        matches!(answer, Ok(Ok(_)))
    }

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

    /// Takes note that the endpoint has work now.
    pub fn ask(&mut self) {
        self.asked = Some(tokio::time::Instant::now());
        if let Some(id) = self.place
            && std::mem::take(&mut self.is_paused)
        {
            tell(&self.requests, endpoint::Request::Resume(id));
        }
    }

    /// Takes note that the caller thinks, in the middle of its transaction.
    pub fn pause(&mut self) {
        if let Some(id) = self.place
            && !std::mem::replace(&mut self.is_paused, true)
        {
            tell(&self.requests, endpoint::Request::Pause(id));
        }
    }

    /// Takes note that the endpoint has answered.
    pub fn answered(&mut self) {
        if let Some(asked) = self.asked.take() {
            self.busy += asked.elapsed();
        }
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
            tell(&self.requests, endpoint::Request::Return(connection));
        }
    }

    fn ended(&self) -> job::Completion {
        let is_silent = self.asked.is_some_and(|at| at.elapsed() >= PATIENCE);
        if self.has_failed || is_silent {
            return job::Completion::Failed;
        }
        if self.busy.is_zero() {
            return job::Completion::Unused;
        }
        job::Completion::Answered(self.busy)
    }

    fn finish(&mut self) {
        let ended = self.ended();
        if let Some(id) = self.place.take() {
            tell(&self.requests, endpoint::Request::Finish(id, ended));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let is_given_back = self.place.is_none() && self.connection.is_none();
        self.finish();
        if !is_given_back {
            tell(&self.requests, endpoint::Request::Closed);
        }
    }
}

/// Sends without waiting; a full mailbox gets the request a little later.
pub(crate) fn tell(requests: &mpsc::Sender<endpoint::Request>, request: endpoint::Request) {
    if let Err(mpsc::error::TrySendError::Full(request)) = requests.try_send(request) {
        let requests = requests.clone();
        tokio::spawn(async move { requests.send(request).await });
    }
}
