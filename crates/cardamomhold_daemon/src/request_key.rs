//! Request keys: each is recorded in its own transaction, so that a repeated request is
//! detected.

use cardamomhold_core::key;
use cardamomhold_core::outcome;
use cardamomhold_endpoint::connection;

use crate::clock;
use crate::execution;
use crate::relay;
use crate::stream;

/// SQLSTATE of a duplicate key.
const UNIQUE_VIOLATION: &str = "23505";

/// SQLSTATE class of integrity constraint violations.
const INTEGRITY_CLASS: &str = "23";

const SERIALIZATION_FAILURE: &str = "40001";
const DEADLOCK: &str = "40P01";

/// Whether an error code proves that a COMMIT was rolled back.
fn is_abort(code: &str) -> bool {
    code.starts_with(INTEGRITY_CLASS) || code == SERIALIZATION_FAILURE || code == DEADLOCK
}

/// Result of recording a request key.
enum KeyRecord {
    /// The key is new; the transaction may continue.
    Inserted,
    /// A transaction with this key ran before.
    Duplicate(stream::Failure),
}

impl execution::Execution {
    pub(crate) fn check_age(&self, key: key::RequestKey) -> Result<(), stream::Failure> {
        if key.is_expired(clock::unix_now(), self.context.retention) {
            return Err(stream::Failure::Unknown(outcome::Doubt::KeyExpired));
        }
        Ok(())
    }

    /// Records the transaction's key; fails if it is recorded already.
    pub(crate) async fn record_key(
        &mut self,
        ticket: &stream::Ticket,
        key: Option<key::RequestKey>,
    ) -> Result<(), stream::Failure> {
        let Some(key) = key else {
            return Ok(());
        };
        match self.insert_key(ticket, key).await? {
            KeyRecord::Inserted => Ok(()),
            KeyRecord::Duplicate(failure) => Err(failure),
        }
    }

    async fn insert_key(
        &mut self,
        ticket: &stream::Ticket,
        key: key::RequestKey,
    ) -> Result<KeyRecord, stream::Failure> {
        let insert =
            format!("INSERT INTO cardamomhold_request_key (request_key, tag) VALUES ('{key}', '')");
        match self.query(&insert).await {
            Ok(_) => Ok(KeyRecord::Inserted),
            Err(connection::ConnectionError::Failed { code }) if code == UNIQUE_VIOLATION => {
                Ok(KeyRecord::Duplicate(self.earlier_run(ticket, key).await?))
            }
            Err(error) => Err(self.failure_after(&error.into())),
        }
    }

    /// The answer for a key that ran before: its recorded tag, once the commit is confirmed.
    async fn earlier_run(
        &mut self,
        ticket: &stream::Ticket,
        key: key::RequestKey,
    ) -> Result<stream::Failure, stream::Failure> {
        let select =
            format!("SELECT tag FROM cardamomhold_request_key WHERE request_key = '{key}'");
        let row = match self.query("ROLLBACK").await {
            Ok(_) => self.query(&select).await,
            Err(error) => Err(error),
        };
        let Ok(Some(row)) = row else {
            return Err(stream::Failure::Unknown(outcome::Doubt::ConnectionLost));
        };
        let written = self.confirmed_position(ticket).await?;
        Ok(stream::Failure::Ran {
            tag: row.text(0).unwrap_or_default().to_owned(),
            written,
        })
    }

    /// Ends the transaction that wraps a single statement with its key.
    pub(crate) async fn commit_keyed(
        &mut self,
        ticket: &stream::Ticket,
        summary: &relay::Summary,
    ) -> Result<stream::Status, stream::Failure> {
        match summary.status {
            stream::Status::Idle => return Ok(stream::Status::Idle),
            stream::Status::Failed => {
                let rolled_back = self.query("ROLLBACK").await;
                rolled_back.map_err(|e| self.failure_after(&e.into()))?;
                return Ok(stream::Status::Idle);
            }
            stream::Status::Transaction => {}
        }
        let Some(key) = ticket.request_key else {
            return Ok(stream::Status::Idle);
        };
        let tag = self.stored_tag(&summary.tag);
        let update = format!(
            "UPDATE cardamomhold_request_key SET tag = '{tag}' WHERE request_key = '{key}'"
        );
        self.query(&update)
            .await
            .map_err(|e| self.failure_after(&e.into()))?;
        self.may_have_run = true;
        match self.query("COMMIT").await {
            Ok(_) => Ok(stream::Status::Idle),
            Err(connection::ConnectionError::Failed { code }) if is_abort(&code) => {
                Err(stream::Failure::NotRun(outcome::Refusal::ConnectFailed))
            }
            Err(error) => Err(self.failure_after(&error.into())),
        }
    }

    /// The tag to store for a repeated request; empty if the answer has rows or several
    /// commands, which the tag can't reproduce.
    fn stored_tag(&self, tag: &str) -> String {
        if self.progress.has_rows || self.progress.completed != 1 {
            return String::new();
        }
        tag.replace('\'', "")
    }
}
