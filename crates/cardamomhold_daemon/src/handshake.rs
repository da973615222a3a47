//! The handshake of a caller's connection, and cancel requests, which have connections of their
//! own.

use std::time;

use bytes::BytesMut;
use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use cardamomhold_fleet::hash;
use cardamomhold_queue::budget;
use cardamomhold_session::session;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use cardamomhold_wire::sqlstate;
use pgwire::messages;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;

use crate::batch;
use crate::caller;
use crate::peer;
use crate::stop;

/// Time limit for a caller's startup message.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Performs the handshake on a new socket and serves the caller until it disconnects.
pub async fn run(
    context: caller::Context,
    socket: net::TcpStream,
    account: accounts::Account,
    cancel_target: caller::CancelTarget,
) -> Result<(), caller::End> {
    let (read, mut writer) = socket.into_split();
    let mut reader = frame::Reader::for_caller(read);
    let kept = account.share();
    reader.charge_to(account);
    let startup = await_startup(&context, &mut reader, &mut writer);
    // A socket without a startup message is closed.
    let startup = match tokio::time::timeout(HANDSHAKE_TIMEOUT, startup).await {
        Ok(Ok(Some(startup))) => startup,
        Ok(Ok(None)) | Err(_) => return Ok(()),
        Ok(Err(end)) => return Err(end),
    };
    kept.start();
    let caller_limit = context.caller_limit.clone();
    let mut caller = match build_caller(context, reader, writer, kept, cancel_target, &startup) {
        Ok(caller) => caller,
        Err(rejected) => {
            let (input, mut writer) = *rejected;
            return reject(&mut writer, &input).await;
        }
    };
    let limit = caller
        .context
        .config
        .borrow()
        .caller_rule(&caller.caller)
        .connections;
    let Some(_permit) = caller_limit.acquire(&caller.caller, limit as usize).await else {
        return reject(&mut caller.writer, &sqlstate::BadInput::TooManyConnections).await;
    };
    caller.serve().await
}

/// Reads up to the startup message; `None` if the connection ends without one.
async fn await_startup(
    context: &caller::Context,
    reader: &mut frame::Reader<tcp::OwnedReadHalf>,
    writer: &mut tcp::OwnedWriteHalf,
) -> Result<Option<startup::Startup>, caller::End> {
    let mut stop = context.stop.clone();
    loop {
        let message = tokio::select! {
            biased;
            message = reader.next_frontend() => message,
            // A connection without a startup message, such as a balancer's probe, expects no
            // answer.
            () = stop.await_phase(stop::Phase::Draining) => return Ok(None),
        };
        let message = match message {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(None),
            Err(error) => {
                let input = sqlstate::BadInput::Protocol(error.to_string());
                reject(writer, &input).await?;
                return Err(error.into());
            }
        };
        match message {
            messages::PgWireFrontendMessage::SslNegotiation(
                messages::SslNegotiationMetaMessage::None,
            ) => {}
            messages::PgWireFrontendMessage::SslNegotiation(_) => {
                writer
                    .write_all(b"N")
                    .await
                    .map_err(|_| caller::End::Gone)?;
            }
            messages::PgWireFrontendMessage::CancelRequest(request) => {
                if let Some(secret) = cancel_secret(&request.secret_key) {
                    let target = caller::CancelTarget {
                        number: request.pid,
                        secret,
                    };
                    forward_cancel(context, target).await;
                }
                return Ok(None);
            }
            messages::PgWireFrontendMessage::Startup(startup) => {
                return Ok(Some(startup));
            }
            _ => return Err(caller::End::Gone),
        }
    }
}

/// The secret of a cancel request; its form depends on a protocol version that the request
/// doesn't contain.
fn cancel_secret(key: &startup::SecretKey) -> Option<i32> {
    match key {
        startup::SecretKey::I32(secret) => Some(*secret),
        startup::SecretKey::Bytes(bytes) => {
            let bytes = bytes.as_ref().try_into().ok()?;
            Some(i32::from_be_bytes(bytes))
        }
    }
}

/// Forwards a cancel request to the instance that serves the target connection.
async fn forward_cancel(context: &caller::Context, target: caller::CancelTarget) {
    // Without a subscriber there is nothing to cancel.
    let _ = context.cancels.send(target);
    let fleet = context.fleet.borrow().clone();
    for instance in fleet.instances() {
        let is_other = instance.name != context.instance;
        if is_other && hash::of(&instance.name) == target.instance_hash() {
            peer::cancel(&instance.address, target).await;
        }
    }
}

async fn reject(
    writer: &mut tcp::OwnedWriteHalf,
    input: &sqlstate::BadInput,
) -> Result<(), caller::End> {
    let mut out = BytesMut::new();
    answer::put_error(&mut out, answer::Severity::Fatal, &input.report());
    writer.write_all(&out).await.map_err(|_| caller::End::Gone)
}

type Rejected = (sqlstate::BadInput, tcp::OwnedWriteHalf);

fn build_caller(
    context: caller::Context,
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    kept: accounts::Account,
    cancel_target: caller::CancelTarget,
    startup: &startup::Startup,
) -> Result<caller::Caller, Box<Rejected>> {
    let (group, caller) = match identify(&context, startup) {
        Ok(names) => names,
        Err(input) => return Err(Box::new((input, writer))),
    };
    let mut new_caller = caller::Caller {
        cancels: context.cancels.subscribe(),
        context,
        reader,
        writer,
        out: BytesMut::new(),
        session: session::Session::default(),
        builder: batch::Builder::default(),
        group,
        caller,
        transaction: None,
        cancel_target,
        rotation: cancel_target.number as usize,
        budget: budget::Budget::default(),
        sent_token: String::new(),
        kept,
    };
    match new_caller.apply_options(startup) {
        Ok(()) => Ok(new_caller),
        Err(input) => Err(Box::new((input, new_caller.writer))),
    }
}

fn identify(
    context: &caller::Context,
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
