//! The task of one caller's connection.

use std::sync;
use std::time;

use bytes::BytesMut;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::token;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::mark;
use cardamomhold_queue::budget;
use cardamomhold_session::session;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use cardamomhold_wire::param;
use cardamomhold_wire::sqlstate;
use cardamomhold_wire::statement;
use pgwire::messages;
use pgwire::messages::data;
use pgwire::messages::extendedquery;
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
        let number = u32::from(mark::of(instance)) << MARK_SHIFT | connection & CONNECTION_MASK;
        Self {
            number: number as i32,
            secret,
        }
    }

    /// The mark of the instance that serves the connection.
    fn mark(self) -> u16 {
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
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    pub(crate) out: BytesMut,
    pub(crate) session: session::Session,
    gatherer: batch::Gatherer,
    pub(crate) group: name::GroupName,
    pub(crate) caller: name::CallerName,
    pub(crate) lane: Option<attempt::OpenLane>,
    pub(crate) cancels: broadcast::Receiver<CancelTarget>,
    pub(crate) own: CancelTarget,
    pub(crate) spread: usize,
    pub(crate) budget: budget::Budget,
    shown_token: String,
}

/// Serves a caller's socket to its end.
pub async fn run(context: Context, socket: net::TcpStream, own: CancelTarget) {
    context.metrics.connected();
    let metrics = context.metrics.clone();
    if let Err(end) = greet(context, socket, own).await {
        log::debug!("event=caller_end number={} end=\"{end:?}\"", own.number);
    }
    metrics.disconnected();
}

async fn greet(context: Context, socket: net::TcpStream, own: CancelTarget) -> Result<(), End> {
    let (read, mut writer) = socket.into_split();
    let mut reader = frame::Reader::for_caller(read);
    let mut stop = context.stop.clone();
    let startup = loop {
        let message = tokio::select! {
            biased;
            message = reader.next_frontend() => message,
            // Whoever has said nothing yet, such as a balancer's probe, waits for nothing.
            () = stop.reached(stop::Phase::Draining) => return Ok(()),
        };
        let message = match message {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(()),
            Err(error) => {
                let input = sqlstate::BadInput::Protocol(error.to_string());
                turn_away(&mut writer, &input).await?;
                return Err(error.into());
            }
        };
        match message {
            messages::PgWireFrontendMessage::SslNegotiation(
                messages::SslNegotiationMetaMessage::None,
            ) => {}
            messages::PgWireFrontendMessage::SslNegotiation(_) => {
                writer.write_all(b"N").await.map_err(|_| End::Gone)?;
            }
            messages::PgWireFrontendMessage::CancelRequest(request) => {
                if let Some(secret) = secret_of(&request.secret_key) {
                    let target = CancelTarget {
                        number: request.pid,
                        secret,
                    };
                    pass_on(&context, target).await;
                }
                return Ok(());
            }
            messages::PgWireFrontendMessage::Startup(startup) => break startup,
            _ => return Err(End::Gone),
        }
    };
    let seats = context.seats.clone();
    let mut caller = match admit(context, reader, writer, own, &startup) {
        Ok(caller) => caller,
        Err(refused) => {
            let (input, mut writer) = *refused;
            return turn_away(&mut writer, &input).await;
        }
    };
    let limit = caller
        .context
        .config
        .borrow()
        .caller_rule(&caller.caller)
        .connections;
    let Some(_seat) = seats.take(&caller.caller, limit as usize).await else {
        return turn_away(&mut caller.writer, &sqlstate::BadInput::TooManyConnections).await;
    };
    caller.serve().await
}

/// The secret of a cancel request; its form depends on a version that the request
/// does not name.
fn secret_of(key: &startup::SecretKey) -> Option<i32> {
    match key {
        startup::SecretKey::I32(secret) => Some(*secret),
        startup::SecretKey::Bytes(bytes) => {
            let bytes = bytes.as_ref().try_into().ok()?;
            Some(i32::from_be_bytes(bytes))
        }
    }
}

/// Brings a cancel request to the instance that serves the connection.
async fn pass_on(context: &Context, target: CancelTarget) {
    // Without a subscriber there is nothing to cancel.
    let _ = context.cancels.send(target);
    let fleet = context.fleet.borrow().clone();
    for instance in fleet.instances() {
        let is_other = instance.name != context.instance;
        if is_other && mark::of(&instance.name) == target.mark() {
            peer::cancel(&instance.address, target).await;
        }
    }
}

async fn turn_away(
    writer: &mut tcp::OwnedWriteHalf,
    input: &sqlstate::BadInput,
) -> Result<(), End> {
    let mut out = BytesMut::new();
    answer::put_error(&mut out, answer::Severity::Fatal, &input.report());
    writer.write_all(&out).await.map_err(|_| End::Gone)
}

type Refused = (sqlstate::BadInput, tcp::OwnedWriteHalf);

fn admit(
    context: Context,
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    own: CancelTarget,
    startup: &startup::Startup,
) -> Result<Caller, Box<Refused>> {
    let (group, caller) = match identify(&context, startup) {
        Ok(names) => names,
        Err(input) => return Err(Box::new((input, writer))),
    };
    let mut admitted = Caller {
        cancels: context.cancels.subscribe(),
        context,
        reader,
        writer,
        out: BytesMut::new(),
        session: session::Session::default(),
        gatherer: batch::Gatherer::default(),
        group,
        caller,
        lane: None,
        own,
        spread: own.number as usize,
        budget: budget::Budget::default(),
        shown_token: String::new(),
    };
    match admitted.take_options(startup) {
        Ok(()) => Ok(admitted),
        Err(input) => Err(Box::new((input, admitted.writer))),
    }
}

fn identify(
    context: &Context,
    startup: &startup::Startup,
) -> Result<(name::GroupName, name::CallerName), sqlstate::BadInput> {
    let text = |name: &str| {
        startup
            .parameters
            .get(name)
            .map(String::as_str)
            .unwrap_or_default()
    };
    let user = text("user");
    let database = if text("database").is_empty() {
        user
    } else {
        text("database")
    };
    let unknown = || sqlstate::BadInput::UnknownGroup(database.to_owned());
    let group = name::GroupName::parse(database).map_err(|_| unknown())?;
    if context.config.borrow().group(&group).is_none() {
        return Err(unknown());
    }
    let caller = name::CallerName::parse(user).map_err(|error| sqlstate::BadInput::Parameter {
        name: "user".to_owned(),
        problem: error.to_string(),
    })?;
    Ok((group, caller))
}

impl Caller {
    fn take_options(&mut self, startup: &startup::Startup) -> Result<(), sqlstate::BadInput> {
        for (name, value) in &startup.parameters {
            if name.starts_with(param::PREFIX) {
                self.set_param(name, Some(value))?;
            }
        }
        let options = startup
            .parameters
            .get("options")
            .map(String::as_str)
            .unwrap_or_default();
        for (name, value) in param::split_options(options) {
            if name.starts_with(param::PREFIX) {
                self.set_param(&name, Some(&value))?;
                continue;
            }
            if !is_setting_name(&name) {
                return Err(sqlstate::BadInput::UnknownParameter(name));
            }
            let quoted = value.replace('\'', "''");
            self.keep_setting(&name, &format!("SET {name} = '{quoted}'"))?;
        }
        Ok(())
    }

    fn keep_setting(&mut self, name: &str, text: &str) -> Result<(), sqlstate::BadInput> {
        let kept = self.session.keep(name, text);
        kept.map_err(|_| sqlstate::BadInput::SessionState("more session settings"))
    }

    fn set_param(&mut self, name: &str, value: Option<&str>) -> Result<(), sqlstate::BadInput> {
        match param::Param::parse(name, value, &self.context.secret)? {
            param::Param::Rank(rank) => self.session.rank = rank.unwrap_or_default(),
            param::Param::ReadKind(None) => self.session.read_kind = None,
            param::Param::ReadKind(Some(kind)) => {
                if self.context.config.borrow().read_rule(&kind).is_none() {
                    let problem = "no such kind of read".to_owned();
                    return Err(sqlstate::BadInput::Parameter {
                        name: name.to_owned(),
                        problem,
                    });
                }
                self.session.read_kind = Some(kind);
            }
            param::Param::RequestKey(Some(_)) if self.lane.is_some() => {
                return Err(sqlstate::BadInput::KeyedControl);
            }
            param::Param::RequestKey(key) => self.session.request_key = key,
            param::Param::Deadline(deadline) => self.session.deadline = deadline,
            param::Param::Token(token) => {
                let merged = self.session.token.merge(&token);
                merged.map_err(|error| sqlstate::BadInput::Parameter {
                    name: name.to_owned(),
                    problem: error.to_string(),
                })?;
            }
        }
        Ok(())
    }

    async fn serve(mut self) -> Result<(), End> {
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

    fn show(&self, name: &str) -> Result<String, sqlstate::BadInput> {
        let session = &self.session;
        Ok(match name.strip_prefix(param::PREFIX) {
            Some("session_token") => session.token.encode(&self.context.secret),
            Some("rank") => session.rank.to_string(),
            Some("read_kind") => session
                .read_kind
                .as_ref()
                .map(|k| k.to_string())
                .unwrap_or_default(),
            Some("request_key") => session
                .request_key
                .map(|k| k.to_string())
                .unwrap_or_default(),
            Some("deadline_ms") => session
                .deadline
                .map(|d| d.as_millis().to_string())
                .unwrap_or_default(),
            _ => return Err(sqlstate::BadInput::UnknownParameter(name.to_owned())),
        })
    }

    async fn refuse(
        &mut self,
        batch: &batch::Batch,
        input: &sqlstate::BadInput,
    ) -> Result<(), End> {
        self.fail(batch, &input.report()).await
    }

    /// Reports an error as the answer to a batch.
    pub(crate) async fn fail(
        &mut self,
        batch: &batch::Batch,
        report: &sqlstate::Report,
    ) -> Result<(), End> {
        answer::put_error(&mut self.out, answer::Severity::Error, report);
        if batch.sync {
            return self.ready().await;
        }
        self.gatherer.skip_to_sync();
        self.flush().await
    }

    /// Answers a batch without an endpoint.
    pub(crate) async fn answer_locally(
        &mut self,
        batch: &batch::Batch,
        tag: &str,
        row: Option<(&str, &str)>,
    ) -> Result<(), End> {
        if batch.is_simple {
            self.put_result(tag, row, true);
            return self.ready().await;
        }
        for step in &batch.steps {
            match step {
                batch::Step::AddedParse => {}
                batch::Step::Parse => {
                    answer::put(&mut self.out, &extendedquery::ParseComplete::new())
                }
                batch::Step::Bind => {
                    answer::put(&mut self.out, &extendedquery::BindComplete::new())
                }
                batch::Step::Close => {
                    answer::put(&mut self.out, &extendedquery::CloseComplete::new())
                }
                batch::Step::DescribeStatement => {
                    answer::put(&mut self.out, &data::ParameterDescription::new(Vec::new()));
                    self.put_columns(row);
                }
                batch::Step::DescribePortal => self.put_columns(row),
                batch::Step::Execute => self.put_result(tag, row, false),
            }
        }
        if batch.sync {
            return self.ready().await;
        }
        self.flush().await
    }

    fn put_columns(&mut self, row: Option<(&str, &str)>) {
        match row {
            Some((column, _)) => answer::put_text_column(&mut self.out, column),
            None => answer::put(&mut self.out, &data::NoData::new()),
        }
    }

    fn put_result(&mut self, tag: &str, row: Option<(&str, &str)>, with_columns: bool) {
        if let Some((column, value)) = row {
            if with_columns {
                answer::put_text_column(&mut self.out, column);
            }
            answer::put_text_value(&mut self.out, value);
        }
        answer::put_complete(&mut self.out, tag);
    }
}

fn is_setting_name(name: &str) -> bool {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    !name.is_empty() && name.chars().all(is_part)
}

/// Longest wait of a caller's task for the end of a statement beyond its deadline.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(500);
