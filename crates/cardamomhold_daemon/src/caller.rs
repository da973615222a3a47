//! The task of one caller's connection.

use std::sync;
use std::time;

use bytes::BytesMut;
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
use crate::greet;
use crate::lane;
use crate::metrics;
use crate::owner;
use crate::peer;
use crate::seats;
use crate::stop;

/// Version that drivers are told of.
const SERVER_VERSION: &str = "16.0 (cardamomhold)";

/// What every caller's task shares.
#[derive(Debug, Clone)]
pub struct Context {
    /// This instance.
    pub instance: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// The secret that signs session tokens.
    pub secret: token::TokenSecret,
    /// The configuration as it changes.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The fleet as it changes.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// Serves lanes here.
    pub owner: mpsc::Sender<owner::Request>,
    /// Carries lanes to other instances.
    pub peers: mpsc::Sender<peer::Forward>,
    /// Cancel requests of callers.
    pub cancels: broadcast::Sender<CancelTarget>,
    /// Counts each caller's connections.
    pub seats: seats::Handle,
    /// The metrics.
    pub metrics: metrics::Metrics,
    /// How far the instance's end has come.
    pub stop: stop::Stop,
}

/// Whose statement is to be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelTarget {
    /// Number of the connection.
    pub number: i32,
    /// Its secret.
    pub secret: i32,
}

impl CancelTarget {
    /// The target of an instance's connection.
    pub fn new(instance: &name::InstanceName, connection: u32, secret: i32) -> Self {
        let number = u32::from(hash::of(instance)) << MARK_SHIFT | connection & CONNECTION_MASK;
        Self {
            number: number as i32,
            secret,
        }
    }

    /// The mark of the instance that serves the connection.
    pub(crate) fn mark(self) -> u16 {
        (self.number as u32 >> MARK_SHIFT) as u16
    }
}

/// Bits of a number that tell an instance's connections apart.
const MARK_SHIFT: u32 = 16;
const CONNECTION_MASK: u32 = 0xffff;

/// Why a caller's task ends before the caller's farewell.
#[derive(Debug)]
pub enum End {
    /// The caller's connection failed or broke the protocol.
    Frame(frame::FrameError),
    /// The caller went away.
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
    pub(crate) gatherer: batch::Gatherer,
    pub(crate) group: name::GroupName,
    pub(crate) caller: name::CallerName,
    pub(crate) lane: Option<attempt::OpenLane>,
    pub(crate) cancels: broadcast::Receiver<CancelTarget>,
    pub(crate) own: CancelTarget,
    pub(crate) spread: usize,
    pub(crate) budget: budget::Budget,
    pub(crate) shown_token: String,
}

/// Serves a caller's socket to its end.
pub async fn run(context: Context, socket: net::TcpStream, own: CancelTarget) {
    context.metrics.connected();
    let metrics = context.metrics.clone();
    if let Err(end) = greet::greet(context, socket, own).await {
        log::debug!("event=caller_end number={} end=\"{end:?}\"", own.number);
    }
    metrics.disconnected();
}

impl Caller {
    pub(crate) async fn serve(mut self) -> Result<(), End> {
        self.welcome().await?;
        let mut stop = self.context.stop.clone();
        loop {
            let is_idle = self.lane.is_none() && self.gatherer.is_empty();
            let last = if is_idle {
                stop::Phase::Draining
            } else {
                stop::Phase::Ending
            };
            let message = tokio::select! {
                // A request that has arrived is served before the farewell.
                biased;
                message = self.reader.next_frontend() => message,
                () = stop.reached(last) => return self.say_stopping().await,
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
            match self.gatherer.take(message) {
                batch::Gathered::More => {}
                batch::Gathered::Batch(batch) => self.run_batch(batch).await?,
                batch::Gathered::Refused(input) => {
                    answer::put_error(&mut self.out, answer::Severity::Error, &input.report());
                }
                batch::Gathered::RefusedQuery(input) => {
                    answer::put_error(&mut self.out, answer::Severity::Error, &input.report());
                    self.ready().await?;
                }
                batch::Gathered::Resynced => self.ready().await?,
                batch::Gathered::End => return Ok(()),
            }
        }
    }

    async fn welcome(&mut self) -> Result<(), End> {
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
        let secret = startup::SecretKey::I32(self.own.secret);
        answer::put(
            &mut self.out,
            &startup::BackendKeyData::new(self.own.number, secret),
        );
        self.ready().await
    }

    async fn say_stopping(&mut self) -> Result<(), End> {
        let report = sqlstate::report(outcome::Outcome::NotRun(outcome::Refusal::Stopping));
        answer::put_error(&mut self.out, answer::Severity::Fatal, &report);
        self.flush().await?;
        self.writer.shutdown().await.map_err(|_| End::Gone)?;
        // Closing a socket with unread bytes would reset it, and the farewell could be lost.
        let rest = async { while let Ok(Some(_)) = self.reader.next_frontend().await {} };
        // A caller that does not hang up is cut off.
        let _ = tokio::time::timeout(stop::END_MARGIN, rest).await;
        Ok(())
    }

    pub(crate) async fn flush(&mut self) -> Result<(), End> {
        let written = self.writer.write_all(&self.out).await;
        self.out.clear();
        written.map_err(|_| End::Gone)
    }

    /// Sends "ready for query", with the session token when it has changed.
    pub(crate) async fn ready(&mut self) -> Result<(), End> {
        let token = self.session.token.encode(&self.context.secret);
        if token != self.shown_token {
            answer::put_parameter(&mut self.out, param::TOKEN_NAME, &token);
            self.shown_token = token;
        }
        let status = match self.lane.as_ref().map(|lane| lane.status) {
            Some(lane::Status::Transaction) => response::TransactionStatus::Transaction,
            Some(lane::Status::Failed) => response::TransactionStatus::Error,
            Some(lane::Status::Idle) | None => response::TransactionStatus::Idle,
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
            batch.check_keyed(self.lane.is_some())?;
        }
        Ok(())
    }

    /// Whether what comes next is a declared read.
    fn is_read(&self) -> bool {
        match &self.lane {
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

/// Longest wait of a caller's task for the end of a statement beyond its deadline.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(500);
