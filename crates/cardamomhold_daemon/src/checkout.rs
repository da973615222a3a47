//! A connection lent to one transaction, and the place in the endpoint's queue with it.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;
use cardamomhold_queue::job;
use tokio::sync::mpsc;

use crate::endpoint;

/// Idle time after which a connection is checked before it is used.
pub const MAX_UNCHECKED_IDLE: time::Duration = time::Duration::from_secs(5);

/// Time within which a check must be answered.
pub const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time without an answer after which the endpoint, not the caller's deadline, is to blame.
const UNRESPONSIVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A connection lent to one transaction; dropping it closes the connection.
#[derive(Debug)]
pub struct Checkout {
    connection: Option<connection::Connection>,
    idle_since: Option<tokio::time::Instant>,
    job: Option<job::JobId>,
    requests: mpsc::Sender<endpoint::Request>,
    statement_timeout: time::Duration,
    sent_at: Option<tokio::time::Instant>,
    service_time: time::Duration,
    has_failed: bool,
    is_paused: bool,
}

impl Checkout {
    /// A lease whose connection is still to come.
    pub(crate) fn new(job: job::JobId, requests: mpsc::Sender<endpoint::Request>) -> Self {
        Self {
            connection: None,
            idle_since: None,
            job: Some(job),
            requests,
            statement_timeout: time::Duration::ZERO,
            sent_at: None,
            service_time: time::Duration::ZERO,
            has_failed: false,
            is_paused: false,
        }
    }

    /// Takes a connection that has been quiet for a while.
    pub(crate) fn attach(
        &mut self,
        connection: connection::Connection,
        since: tokio::time::Instant,
    ) {
        self.connection = Some(connection);
        self.idle_since = Some(since);
    }

    /// Sees to it that the lease has a connection that answers.
    ///
    /// # Errors
    /// [`outcome::Refusal::ConnectFailed`] when none could be opened by the deadline.
    pub(crate) async fn connect(
        &mut self,
        login: &connection::Login,
        statement_timeout: time::Duration,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Refusal> {
        self.statement_timeout = statement_timeout;
        if self.has_live_connection().await {
            return Ok(());
        }
        self.connection = None;
        self.mark_sent();
        let opening = connection::Connection::open(login);
        match tokio::time::timeout_at(deadline, opening).await {
            Ok(Ok(connection)) => {
                self.sent_at = None;
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
    async fn has_live_connection(&mut self) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        if self
            .idle_since
            .is_some_and(|at| at.elapsed() < MAX_UNCHECKED_IDLE)
        {
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
    pub fn statement_timeout(&self) -> time::Duration {
        self.statement_timeout
    }

    /// Takes note that the endpoint has work now.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(tokio::time::Instant::now());
        if let Some(id) = self.job
            && std::mem::take(&mut self.is_paused)
        {
            send_detached(&self.requests, endpoint::Request::Resume(id));
        }
    }

    /// Takes note that the caller thinks, in the middle of its transaction.
    pub fn mark_paused(&mut self) {
        if let Some(id) = self.job
            && !std::mem::replace(&mut self.is_paused, true)
        {
            send_detached(&self.requests, endpoint::Request::Pause(id));
        }
    }

    /// Takes note that the endpoint has answered.
    pub fn mark_answered(&mut self) {
        if let Some(sent_at) = self.sent_at.take() {
            self.service_time += sent_at.elapsed();
        }
    }

    /// Ends the transaction and hands the connection back, without its session state.
    pub async fn release(mut self) {
        self.finish_job();
        let reset = self.connection().query(connection::RESET_QUERY);
        let is_clean = matches!(
            tokio::time::timeout(connection::OPEN_TIMEOUT, reset).await,
            Ok(Ok(_))
        );
        if is_clean && let Some(connection) = self.connection.take() {
            send_detached(&self.requests, endpoint::Request::Release(connection));
        }
    }

    fn job_end(&self) -> job::Ended {
        let is_unresponsive = self
            .sent_at
            .is_some_and(|at| at.elapsed() >= UNRESPONSIVE_TIMEOUT);
        if self.has_failed || is_unresponsive {
            return job::Ended::Failed;
        }
        if self.service_time.is_zero() {
            return job::Ended::Unused;
        }
        job::Ended::Answered(self.service_time)
    }

    fn finish_job(&mut self) {
        let job_end = self.job_end();
        if let Some(id) = self.job.take() {
            send_detached(&self.requests, endpoint::Request::Finish(id, job_end));
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let is_released = self.job.is_none() && self.connection.is_none();
        self.finish_job();
        if !is_released {
            send_detached(&self.requests, endpoint::Request::Closed);
        }
    }
}

/// Sends without waiting; a full mailbox gets the request a little later.
pub(crate) fn send_detached(
    requests: &mpsc::Sender<endpoint::Request>,
    request: endpoint::Request,
) {
    if let Err(mpsc::error::TrySendError::Full(request)) = requests.try_send(request) {
        let requests = requests.clone();
        tokio::spawn(async move { requests.send(request).await });
    }
}
