//! A pooled connection checked out for one transaction, together with its job in the
//! endpoint's queue.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;
use cardamomhold_queue::job;
use tokio::sync::mpsc;

use crate::endpoint;

/// Idle time after which a connection is checked before use.
pub const MAX_UNCHECKED_IDLE: time::Duration = time::Duration::from_secs(5);

/// Time limit for the answer to a check.
pub const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time without an answer after which an unfinished request counts as a failure of the
/// endpoint, and isn't attributed to the caller's deadline.
const UNRESPONSIVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A connection in use by one transaction; dropping it closes the connection.
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
    /// Creates a checkout without a connection.
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

    /// Attaches a pooled connection that has been idle since `since`.
    pub(crate) fn attach(
        &mut self,
        connection: connection::Connection,
        since: tokio::time::Instant,
    ) {
        self.connection = Some(connection);
        self.idle_since = Some(since);
    }

    /// Ensures that the checkout has a live connection.
    ///
    /// # Errors
    /// [`outcome::Refusal::ConnectFailed`] if no connection could be opened by the deadline.
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

    /// Whether there is a connection; one that was idle for long must answer a reset.
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
    /// Never: [`endpoint::Handle::admit`] returns a checkout only once it is connected.
    pub fn connection(&mut self) -> &mut connection::Connection {
        match &mut self.connection {
            Some(connection) => connection,
            None => unreachable!("a checkout has its connection until it is released"),
        }
    }

    /// Timeout of each statement.
    pub fn statement_timeout(&self) -> time::Duration {
        self.statement_timeout
    }

    /// Records that a request is sent to the endpoint, and resumes the job after a pause.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(tokio::time::Instant::now());
        if let Some(id) = self.job
            && std::mem::take(&mut self.is_paused)
        {
            send_detached(&self.requests, endpoint::Request::Resume(id));
        }
    }

    /// Pauses the job while the endpoint waits for the caller's next batch.
    pub fn mark_paused(&mut self) {
        if let Some(id) = self.job
            && !std::mem::replace(&mut self.is_paused, true)
        {
            send_detached(&self.requests, endpoint::Request::Pause(id));
        }
    }

    /// Records that the endpoint has answered.
    pub fn mark_answered(&mut self) {
        if let Some(sent_at) = self.sent_at.take() {
            self.service_time += sent_at.elapsed();
        }
    }

    /// Ends the job, resets the connection's session state and returns it to the pool.
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

    fn completion(&self) -> job::Completion {
        let is_unresponsive = self
            .sent_at
            .is_some_and(|at| at.elapsed() >= UNRESPONSIVE_TIMEOUT);
        if self.has_failed || is_unresponsive {
            return job::Completion::Failed;
        }
        if self.service_time.is_zero() {
            return job::Completion::Unused;
        }
        job::Completion::Answered(self.service_time)
    }

    fn finish_job(&mut self) {
        let completion = self.completion();
        if let Some(id) = self.job.take() {
            send_detached(&self.requests, endpoint::Request::Finish(id, completion));
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

/// Sends without waiting; if the mailbox is full, a separate task sends the request.
pub(crate) fn send_detached(
    requests: &mpsc::Sender<endpoint::Request>,
    request: endpoint::Request,
) {
    if let Err(mpsc::error::TrySendError::Full(request)) = requests.try_send(request) {
        let requests = requests.clone();
        tokio::spawn(async move { requests.send(request).await });
    }
}
