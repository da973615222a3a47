//! The task of one caller's connection.

use std::sync;
use std::time;

use bytes::BytesMut;
use cardamomhold_budget::accounts;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::token;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::hash;
use cardamomhold_queue::budget;
use cardamomhold_session::session;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use cardamomhold_wire::param;
use cardamomhold_wire::sqlstate;
use cardamomhold_wire::statement;

use pgwire::messages::response;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::attempt;
use crate::batch;
use crate::caller_limit;
use crate::handshake;
use crate::metrics;
use crate::owner;
use crate::peer;
use crate::stop;
use crate::stream;

/// Version that is reported to drivers.
const SERVER_VERSION: &str = "16.0 (cardamomhold)";

/// Time in which a caller must take what is sent to it. A row of 16 MiB takes 14 s on the slowest
/// link of the deployments, 10 Mbit/s.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Largest output buffer that an idle session keeps, in bytes.
const MAX_IDLE_OUT: usize = accounts::FREE_BYTES;

/// Copies of the settings: in the session, in a transaction's ticket, and encoded.
const SETTING_COPIES: usize = 3;

/// Context that all caller tasks share.
#[derive(Debug, Clone)]
pub struct Context {
    /// This instance.
    pub instance: name::InstanceName,
    /// Zone of this instance.
    pub zone: name::ZoneName,
    /// The secret that signs session tokens.
    pub secret: token::TokenSecret,
    /// The latest configuration.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// Task that serves streams on this instance.
    pub owner: mpsc::Sender<owner::Request>,
    /// Task that forwards streams to other instances.
    pub peers: mpsc::Sender<peer::Forward>,
    /// Cancel requests of callers.
    pub cancels: broadcast::Sender<CancelTarget>,
    /// Enforces each caller's connection limit.
    pub caller_limit: caller_limit::Handle,
    /// The metrics.
    pub metrics: metrics::Metrics,
    /// Phase of the instance's shutdown.
    pub stop: stop::Stop,
}

/// Identifies a caller's connection in cancel requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelTarget {
    /// The instance's hash and the low bits of the connection's number; sent as the process id.
    pub number: i32,
    /// Secret of the connection.
    pub secret: i32,
}

impl CancelTarget {
    /// Creates the target of a connection of `instance`.
    pub fn new(instance: &name::InstanceName, connection: u32, secret: i32) -> Self {
        let number = u32::from(hash::of(instance)) << HASH_SHIFT | connection & CONNECTION_MASK;
        Self {
            number: number as i32,
            secret,
        }
    }

    /// Hash of the instance that serves the connection.
    pub(crate) fn instance_hash(self) -> u16 {
        (self.number as u32 >> HASH_SHIFT) as u16
    }
}

/// Number of low bits that identify a connection of an instance; the bits above hold the
/// instance's hash.
const HASH_SHIFT: u32 = 16;
const CONNECTION_MASK: u32 = 0xffff;

/// Reason why a caller's task ends early.
#[derive(Debug)]
pub enum End {
    /// The caller's connection failed or broke the protocol.
    Frame(frame::FrameError),
    /// The caller is gone, or sent an unexpected message before its startup message.
    Gone,
}

impl From<frame::FrameError> for End {
    fn from(error: frame::FrameError) -> Self {
        Self::Frame(error)
    }
}

/// A caller's connection.
pub struct Caller {
    pub(crate) context: Context,
    pub(crate) reader: frame::Reader<tcp::OwnedReadHalf>,
    pub(crate) writer: tcp::OwnedWriteHalf,
    pub(crate) out: BytesMut,
    pub(crate) session: session::Session,
    pub(crate) builder: batch::Builder,
    pub(crate) group: name::GroupName,
    pub(crate) caller: name::CallerName,
    pub(crate) transaction: Option<attempt::OpenTransaction>,
    pub(crate) cancels: broadcast::Receiver<CancelTarget>,
    pub(crate) cancel_target: CancelTarget,
    /// Attempt counter that distributes reads over the replicas.
    pub(crate) rotation: usize,
    pub(crate) budget: budget::Budget,
    pub(crate) sent_token: String,
    /// Charged with what the session keeps.
    pub(crate) kept: accounts::Account,
}

/// Serves a caller's socket until it closes.
pub async fn run(
    context: Context,
    socket: net::TcpStream,
    account: accounts::Account,
    cancel_target: CancelTarget,
) {
    context.metrics.record_connect();
    let metrics = context.metrics.clone();
    if let Err(end) = handshake::run(context, socket, account, cancel_target).await {
        log::debug!(
            "event=caller_end number={} end=\"{end:?}\"",
            cancel_target.number
        );
    }
    metrics.record_disconnect();
}

impl Caller {
    pub(crate) async fn serve(mut self) -> Result<(), End> {
        self.send_startup().await?;
        let mut stop = self.context.stop.clone();
        loop {
            self.charge_kept().await?;
            if self.builder.is_empty() {
                self.reader.release();
            }
            let is_idle = self.transaction.is_none() && self.builder.is_empty();
            let stop_phase = if is_idle {
                stop::Phase::Draining
            } else {
                stop::Phase::Ending
            };
            let message = tokio::select! {
                // A request that has already arrived is served before the stop is reported.
                biased;
                message = self.reader.next_frontend() => message,
                () = stop.await_phase(stop_phase) => return self.send_stopping().await,
            };
            let message = match message {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(error) => {
                    let input = sqlstate::BadInput::Protocol(error.to_string());
                    answer::put_error(&mut self.out, answer::Severity::Fatal, &input.report());
                    self.flush().await?;
                    return Err(error.into());
                }
            };
            match self.builder.push(message) {
                batch::Action::Incomplete => {}
                batch::Action::Batch(batch) => self.run_batch(batch).await?,
                batch::Action::Refused(input) => {
                    answer::put_error(&mut self.out, answer::Severity::Error, &input.report());
                }
                batch::Action::RefusedQuery(input) => {
                    answer::put_error(&mut self.out, answer::Severity::Error, &input.report());
                    self.send_ready().await?;
                }
                batch::Action::Resynced => self.send_ready().await?,
                batch::Action::Terminate => return Ok(()),
            }
        }
    }

    /// Charges prepared statements and settings, the latter once more for the copies that go with
    /// each transaction.
    async fn charge_kept(&mut self) -> Result<(), End> {
        let settings = self.session.setting_bytes();
        let kept = self.builder.kept_bytes() + SETTING_COPIES * settings;
        self.kept
            .reserve(kept)
            .await
            .map_err(frame::FrameError::from)?;
        self.kept.release_to(kept);
        Ok(())
    }

    async fn send_startup(&mut self) -> Result<(), End> {
        answer::put(&mut self.out, &startup::Authentication::Ok);
        for (name, value) in [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ] {
            answer::put_parameter(&mut self.out, name, value);
        }
        let secret = startup::SecretKey::I32(self.cancel_target.secret);
        answer::put(
            &mut self.out,
            &startup::BackendKeyData::new(self.cancel_target.number, secret),
        );
        self.send_ready().await
    }

    async fn send_stopping(&mut self) -> Result<(), End> {
        let report = sqlstate::report(outcome::Outcome::NotRun(outcome::Refusal::Stopping));
        answer::put_error(&mut self.out, answer::Severity::Fatal, &report);
        self.flush().await?;
        self.writer.shutdown().await.map_err(|_| End::Gone)?;
        // Closing a socket with unread bytes would reset it, and the error message could be lost.
        let drain = async { while let Ok(Some(_)) = self.reader.next_frontend().await {} };
        // A caller that doesn't close its connection is disconnected.
        let _ = tokio::time::timeout(stop::FINAL_REPORT_TIMEOUT, drain).await;
        Ok(())
    }

    pub(crate) async fn flush(&mut self) -> Result<(), End> {
        let writing = tokio::time::timeout(ANSWER_TIMEOUT, self.writer.write_all(&self.out));
        let written = tokio::select! {
            biased;
            written = writing => matches!(written, Ok(Ok(()))),
            _ = self.kept.notified() => false,
        };
        self.out.clear();
        if self.out.capacity() > MAX_IDLE_OUT {
            self.out = BytesMut::new();
        }
        written.then_some(()).ok_or(End::Gone)
    }

    /// Sends "ready for query", with the session token when it has changed.
    pub(crate) async fn send_ready(&mut self) -> Result<(), End> {
        let token = self.session.token.encode(&self.context.secret);
        if token != self.sent_token {
            answer::put_parameter(&mut self.out, param::TOKEN_NAME, &token);
            self.sent_token = token;
        }
        let status = match self.transaction.as_ref().map(|open| open.status) {
            Some(stream::Status::Transaction) => response::TransactionStatus::Transaction,
            Some(stream::Status::Failed) => response::TransactionStatus::Error,
            Some(stream::Status::Idle) | None => response::TransactionStatus::Idle,
        };
        answer::put_ready(&mut self.out, status);
        self.flush().await
    }

    async fn run_batch(&mut self, batch: batch::Batch) -> Result<(), End> {
        if let Err(input) = self.check(&batch) {
            return self.refuse(&batch, &input).await;
        }
        match batch.class() {
            statement::Class::Set(setting) if setting.name.starts_with(param::PREFIX) => {
                if !batch.executes() {
                    return self.answer_locally(&batch, "SET", None).await;
                }
                match self.set_param(&setting.name, setting.value.as_deref()) {
                    Ok(()) => self.answer_locally(&batch, "SET", None).await,
                    Err(input) => self.refuse(&batch, &input).await,
                }
            }
            statement::Class::Show(name) => {
                let value = self.show(name);
                match value {
                    Ok(value) => {
                        self.answer_locally(&batch, "SHOW", Some((name, &value)))
                            .await
                    }
                    Err(input) => self.refuse(&batch, &input).await,
                }
            }
            _ => self.transact(&batch).await,
        }
    }

    fn check(&self, batch: &batch::Batch) -> Result<(), sqlstate::BadInput> {
        batch.check()?;
        if self.is_read() {
            batch.check_read()?;
        }
        if self.session.request_key.is_some() && batch.executes() {
            batch.check_keyed(self.transaction.is_some())?;
        }
        Ok(())
    }

    /// Whether the next batch belongs to a declared read.
    fn is_read(&self) -> bool {
        match &self.transaction {
            Some(open) => open.is_read(),
            None => self.session.read_kind.is_some(),
        }
    }

    async fn refuse(
        &mut self,
        batch: &batch::Batch,
        input: &sqlstate::BadInput,
    ) -> Result<(), End> {
        self.fail(batch, &input.report()).await
    }
}

/// Time that a caller's task waits for an answer beyond the statement's deadline.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(500);
