//! The start of a caller's connection, and cancel requests, which come on ones of their own.

use std::time;

use bytes::BytesMut;
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

/// Time within which a caller must have said what it wants.
const GREET_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Greets a caller on a fresh socket, and serves it to its end.
pub async fn greet(
    context: caller::Context,
    socket: net::TcpStream,
    own: caller::CancelTarget,
) -> Result<(), caller::End> {
    let (read, mut writer) = socket.into_split();
    let mut reader = frame::Reader::for_caller(read);
    let asked = await_startup(&context, &mut reader, &mut writer);
    // A socket that says nothing is of no use to anybody.
    let startup = match tokio::time::timeout(GREET_TIMEOUT, asked).await {
        Ok(Ok(Some(startup))) => startup,
        Ok(Ok(None)) | Err(_) => return Ok(()),
        Ok(Err(end)) => return Err(end),
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

/// Reads up to the startup message; none when the connection serves nothing further.
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
            // Whoever has said nothing yet, such as a balancer's probe, waits for nothing.
            () = stop.reached(stop::Phase::Draining) => return Ok(None),
        };
        let message = match message {
            Ok(Some(message)) => message,
            Ok(None) => return Ok(None),
            Err(error) => {
                let input = sqlstate::BadInput::Protocol(error.to_string());
                turn_away(writer, &input).await?;
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
                if let Some(secret) = secret_of(&request.secret_key) {
                    let target = caller::CancelTarget {
                        number: request.pid,
                        secret,
                    };
                    pass_on(context, target).await;
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
async fn pass_on(context: &caller::Context, target: caller::CancelTarget) {
    // Without a subscriber there is nothing to cancel.
    let _ = context.cancels.send(target);
    let fleet = context.fleet.borrow().clone();
    for instance in fleet.instances() {
        let is_other = instance.name != context.instance;
        if is_other && hash::of(&instance.name) == target.mark() {
            peer::cancel(&instance.address, target).await;
        }
    }
}

async fn turn_away(
    writer: &mut tcp::OwnedWriteHalf,
    input: &sqlstate::BadInput,
) -> Result<(), caller::End> {
    let mut out = BytesMut::new();
    answer::put_error(&mut out, answer::Severity::Fatal, &input.report());
    writer.write_all(&out).await.map_err(|_| caller::End::Gone)
}

type Refused = (sqlstate::BadInput, tcp::OwnedWriteHalf);

fn admit(
    context: caller::Context,
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    own: caller::CancelTarget,
    startup: &startup::Startup,
) -> Result<caller::Caller, Box<Refused>> {
    let (group, caller) = match identify(&context, startup) {
        Ok(names) => names,
        Err(input) => return Err(Box::new((input, writer))),
    };
    let mut admitted = caller::Caller {
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
