//! Determines the outcome of an execution: confirmed, not run or unknown.

use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_endpoint::connection;

use crate::execution::Execution;
use crate::relay;
use crate::stream;

impl Execution {
    /// Failure of a transaction whose term is over: a batch in flight can't be confirmed.
    pub(crate) fn term_end_failure(&self) -> stream::Failure {
        if self.is_between_batches {
            return stream::Failure::NotRun(outcome::Refusal::NoPrimary);
        }
        self.failure_after(&connection::ConnectionError::Closed.into())
    }

    /// Whether the member reports that it is a replica; false if it doesn't answer.
    pub(crate) async fn is_replica(&mut self) -> bool {
        let request = self.checkout.connection().is_replica();
        let answer = tokio::time::timeout_at(self.deadline, request).await;
        matches!(answer, Ok(Ok(true)))
    }

    /// Failure after an error: not run if the transaction had no effect, or else unknown.
    pub(crate) fn failure_after(&self, error: &relay::RelayError) -> stream::Failure {
        if !self.may_have_run || (self.is_read && !self.progress.forwarded) {
            return stream::Failure::NotRun(outcome::Refusal::ConnectFailed);
        }
        stream::Failure::Unknown(match error {
            relay::RelayError::Connection(connection::ConnectionError::Timeout) => {
                outcome::Doubt::DeadlinePassed
            }
            _ => outcome::Doubt::ConnectionLost,
        })
    }

    /// Waits until the commit is confirmed, and returns its position; `None` if there was no
    /// commit.
    pub(crate) async fn confirm(
        &mut self,
        ticket: &stream::Ticket,
        status: stream::Status,
        summary: &relay::Summary,
    ) -> Result<Option<position::Position>, stream::Failure> {
        if self.is_read || status != stream::Status::Idle {
            return Ok(None);
        }
        if summary.failed && !summary.is_commit_held {
            return Ok(None);
        }
        self.confirmed_position(ticket).await.map(Some)
    }

    pub(crate) async fn confirmed_position(
        &mut self,
        ticket: &stream::Ticket,
    ) -> Result<position::Position, stream::Failure> {
        let unconfirmed = stream::Failure::Unknown(outcome::Doubt::Unconfirmed);
        let request = self.checkout.connection().position();
        let position = match tokio::time::timeout_at(self.deadline, request).await {
            Ok(Ok(position)) if position.term == ticket.term => position,
            _ => return Err(unconfirmed),
        };
        let confirmed = self
            .context
            .group
            .confirm(&ticket.member, position, self.deadline)
            .await;
        confirmed.map_err(|_| unconfirmed)?;
        Ok(position)
    }
}
