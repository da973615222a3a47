//! The border between instances: the peer service and its client.

use std::collections;
use std::error;
use std::fmt;
use std::io;
use std::pin;
use std::sync;
use std::time;

use bytes::Bytes;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::rank;
use cardamomhold_proto::peer as schema;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers;
use tonic::transport;

use crate::caller;
use crate::fleet;
use crate::gossip;
use crate::lane;
use crate::owner;

/// Time within which a connection to a peer must be open.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval of keep-alive probes on a connection that carries lanes.
pub const KEEP_ALIVE: time::Duration = time::Duration::from_secs(1);

/// Messages that wait for the client's task.
const MAILBOX: usize = 4096;

/// A lane that another instance is to serve.
#[derive(Debug)]
pub struct Forward {
    /// Address of the instance's peer service.
    pub address: String,
    /// The lane's ticket.
    pub ticket: lane::Ticket,
    /// The endpoint's end of the lane.
    pub end: lane::LaneEnd,
}

/// Starts the client's task; it ends when its last handle is dropped.
pub fn start() -> mpsc::Sender<Forward> {
    let (forwards, mailbox) = mpsc::channel(MAILBOX);
    tokio::spawn(run(mailbox));
    forwards
}

/// A client of a peer's service.
pub type Client = schema::peer_client::PeerClient<transport::Channel>;

/// Opens connections lazily and keeps one for each address.
async fn run(mut mailbox: mpsc::Receiver<Forward>) {
    let mut clients: collections::HashMap<String, Client> = collections::HashMap::new();
    let (broken, mut failures) = mpsc::channel::<String>(MAILBOX);
    let (opened, mut fresh) = mpsc::channel::<(String, Client)>(MAILBOX);
    loop {
        tokio::select! {
            forward = mailbox.recv() => {
                let Some(forward) = forward else {
                    return;
                };
                let client = clients.get(&forward.address).cloned();
                tokio::spawn(carry(forward, client, opened.clone(), broken.clone()));
            }
            Some(address) = failures.recv() => {
                clients.remove(&address);
            }
            Some((address, client)) = fresh.recv() => {
                clients.insert(address, client);
            }
        }
    }
}

async fn carry(
    forward: Forward,
    known: Option<Client>,
    opened: mpsc::Sender<(String, Client)>,
    broken: mpsc::Sender<String>,
) {
    let Forward {
        address,
        ticket,
        end,
    } = forward;
    let client = match known {
        Some(client) => client,
        None => match connect(&address).await {
            Some(client) => {
                // The client's task keeps it for the next lane.
                let _ = opened.send((address.clone(), client.clone())).await;
                client
            }
            None => {
                let failure = lane::Failure::NotRun(outcome::Refusal::OwnerUnreachable);
                // A caller that has gone needs no answer.
                let _ = end.down.send(lane::Down::Failure(failure)).await;
                return;
            }
        },
    };
    if !pump(client, &ticket, end).await {
        // The task may be ending.
        let _ = broken.send(address).await;
    }
}

/// Opens a connection to a peer; none when it can't be reached in time.
pub async fn connect(address: &str) -> Option<Client> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE);
    let channel = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect())
        .await
        .ok()?
        .ok()?;
    Some(Client::new(channel))
}

/// Carries a lane's messages both ways; false when the connection failed.
async fn pump(mut client: Client, ticket: &lane::Ticket, end: lane::LaneEnd) -> bool {
    let first = schema::Up {
        kind: Some(schema::up::Kind::Ticket(ticket_to(ticket))),
    };
    let rest = wrappers::ReceiverStream::new(end.up).map(up_to);
    let ups = tokio_stream::once(first).chain(rest);
    let lost = lane::Failure::Unknown(outcome::Doubt::OwnerLost);
    let mut downs = match client.open(ups).await {
        Ok(response) => response.into_inner(),
        Err(status) => {
            let failure = if is_unsent(&status) {
                lane::Failure::NotRun(outcome::Refusal::OwnerUnreachable)
            } else {
                lost
            };
            let _ = end.down.send(lane::Down::Failure(failure)).await;
            return false;
        }
    };
    loop {
        let message = match downs.next().await {
            Some(Ok(message)) => message,
            Some(Err(_)) => {
                let _ = end.down.send(lane::Down::Failure(lost)).await;
                return false;
            }
            None => return true,
        };
        let Some(down) = down_from(message) else {
            let _ = end.down.send(lane::Down::Failure(lost)).await;
            return false;
        };
        if end.down.send(down).await.is_err() {
            return true;
        }
    }
}

/// Passes a cancel request on to the instance that serves the connection.
pub async fn cancel(address: &str, target: caller::CancelTarget) {
    let Some(mut client) = connect(address).await else {
        return;
    };
    let request = schema::CancelRequest {
        number: target.number,
        secret: target.secret,
    };
    // A cancel request has no answer, whether it arrives or not.
    let _ = tokio::time::timeout(CONNECT_TIMEOUT, client.cancel(request)).await;
}

/// Whether a call failed because its connection was refused, so that nothing was sent.
fn is_unsent(status: &tonic::Status) -> bool {
    let mut source = error::Error::source(status);
    while let Some(cause) = source {
        if let Some(cause) = cause.downcast_ref::<io::Error>()
            && cause.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = cause.source();
    }
    false
}

/// The peer service of an instance.
#[derive(Debug)]
pub struct Service {
    /// Serves the lanes of other instances.
    pub owner: mpsc::Sender<owner::Request>,
    /// The configuration that peers ask for.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The membership that peers compare with theirs.
    pub fleet: mpsc::Sender<fleet::Request>,
    /// Cancel requests of callers.
    pub cancels: broadcast::Sender<caller::CancelTarget>,
}

#[tonic::async_trait]
impl schema::peer_server::Peer for Service {
    type OpenStream =
        pin::Pin<Box<dyn tokio_stream::Stream<Item = Result<schema::Down, tonic::Status>> + Send>>;

    async fn open(
        &self,
        request: tonic::Request<tonic::Streaming<schema::Up>>,
    ) -> Result<tonic::Response<Self::OpenStream>, tonic::Status> {
        let mut ups = request.into_inner();
        let first = ups
            .next()
            .await
            .ok_or_else(|| tonic::Status::invalid_argument("no ticket"))??;
        let ticket = match first.kind {
            Some(schema::up::Kind::Ticket(ticket)) => ticket_from(&ticket),
            _ => Err(BadMessage),
        };
        let ticket = ticket.map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
        let (lane, end) = lane::pair();
        let asked = self
            .owner
            .send(owner::Request::Forwarded(Box::new(ticket), end))
            .await;
        asked.map_err(|_| tonic::Status::unavailable("stopping"))?;
        tokio::spawn(feed(ups, lane.up));
        let downs = wrappers::ReceiverStream::new(lane.down).map(|down| Ok(down_to(down)));
        Ok(tonic::Response::new(Box::pin(downs)))
    }

    async fn cancel(
        &self,
        request: tonic::Request<schema::CancelRequest>,
    ) -> Result<tonic::Response<schema::CancelReply>, tonic::Status> {
        let request = request.into_inner();
        // Without a subscriber there is nothing to cancel.
        let _ = self.cancels.send(caller::CancelTarget {
            number: request.number,
            secret: request.secret,
        });
        Ok(tonic::Response::new(schema::CancelReply {}))
    }

    async fn changes(
        &self,
        request: tonic::Request<schema::ChangesRequest>,
    ) -> Result<tonic::Response<schema::ChangesReply>, tonic::Status> {
        let request = request.into_inner();
        let config = self.config.borrow().clone();
        let page = config.page(request.since, request.limit as usize);
        let mut reply = schema::ChangesReply {
            changes: Vec::new(),
            through: page.through,
        };
        for change in page.changes {
            reply.changes.push(schema::Change {
                name: change.name.clone(),
                value: Bytes::copy_from_slice(&change.value),
                version: change.version,
                removed: change.removed,
            });
        }
        Ok(tonic::Response::new(reply))
    }

    async fn members(
        &self,
        request: tonic::Request<schema::MembersRequest>,
    ) -> Result<tonic::Response<schema::MembersReply>, tonic::Status> {
        let digests = gossip::digests_from(request.get_ref());
        let (reply, answer) = oneshot::channel();
        let asked = self.fleet.send(fleet::Request::Members(digests, reply));
        let stopping = || tonic::Status::unavailable("stopping");
        asked.await.map_err(|_| stopping())?;
        let rumors = answer.await.map_err(|_| stopping())?;
        Ok(tonic::Response::new(schema::MembersReply {
            rumors: rumors.iter().map(gossip::rumor_to).collect(),
        }))
    }
}

async fn feed(mut ups: tonic::Streaming<schema::Up>, lane: mpsc::Sender<lane::Up>) {
    while let Some(Ok(up)) = ups.next().await {
        let up = match up.kind {
            Some(schema::up::Kind::Batch(batch)) => lane::Up::Batch(lane::Batch {
                frames: batch.frames,
                sync: batch.sync,
                answers: batch.answers,
            }),
            Some(schema::up::Kind::Cancel(_)) => lane::Up::Cancel,
            _ => return,
        };
        if lane.send(up).await.is_err() {
            return;
        }
    }
}

/// A peer's message does not have the expected form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadMessage;

impl fmt::Display for BadMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("message of a peer does not have the expected form")
    }
}

impl std::error::Error for BadMessage {}

fn place_to(position: position::Position) -> schema::Place {
    schema::Place {
        term: position.term.0,
        log: position.log.0,
    }
}

fn place_from(place: schema::Place) -> position::Position {
    position::Position::new(position::Term(place.term), position::LogPosition(place.log))
}

fn ticket_to(ticket: &lane::Ticket) -> schema::Ticket {
    let staleness = match ticket.access {
        lane::Access::ReadReplica(staleness) => Some(staleness.as_millis() as u64),
        lane::Access::Write | lane::Access::ReadPrimary => None,
    };
    schema::Ticket {
        group: ticket.group.to_string(),
        member: ticket.member.to_string(),
        term: ticket.term.0,
        rank: ticket.rank.index() as u32,
        caller: ticket.caller.to_string(),
        at_replica: staleness.is_some(),
        staleness_ms: staleness.unwrap_or_default(),
        request_key: ticket
            .request_key
            .map(|k| k.to_string())
            .unwrap_or_default(),
        begins: ticket.begins,
        deadline_us: ticket.deadline.as_micros() as u64,
        seen: ticket.seen.map(place_to),
        read_only: ticket.access.is_read(),
        setup: ticket.setup.clone(),
    }
}

fn ticket_from(ticket: &schema::Ticket) -> Result<lane::Ticket, BadMessage> {
    let access = match (ticket.read_only, ticket.at_replica) {
        (false, false) => lane::Access::Write,
        (true, false) => lane::Access::ReadPrimary,
        (true, true) => lane::Access::ReadReplica(time::Duration::from_millis(ticket.staleness_ms)),
        (false, true) => return Err(BadMessage),
    };
    let request_key = match ticket.request_key.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| BadMessage)?),
    };
    Ok(lane::Ticket {
        group: name::GroupName::parse(&ticket.group).map_err(|_| BadMessage)?,
        member: name::MemberName::parse(&ticket.member).map_err(|_| BadMessage)?,
        term: position::Term(ticket.term),
        rank: *rank::Rank::ALL
            .get(ticket.rank as usize)
            .ok_or(BadMessage)?,
        caller: name::CallerName::parse(&ticket.caller).map_err(|_| BadMessage)?,
        deadline: time::Duration::from_micros(ticket.deadline_us),
        access,
        request_key,
        begins: ticket.begins,
        seen: ticket.seen.map(place_from),
        setup: ticket.setup.clone(),
    })
}

fn up_to(up: lane::Up) -> schema::Up {
    let kind = match up {
        lane::Up::Batch(batch) => schema::up::Kind::Batch(schema::Batch {
            frames: batch.frames,
            sync: batch.sync,
            answers: batch.answers,
        }),
        lane::Up::Cancel => schema::up::Kind::Cancel(schema::Cancel {}),
    };
    schema::Up { kind: Some(kind) }
}

fn down_to(down: lane::Down) -> schema::Down {
    let kind = match down {
        lane::Down::Frames(frames) => schema::down::Kind::Frames(schema::Frames { frames }),
        lane::Down::Ready(ready) => {
            let status = match ready.status {
                lane::Status::Idle => schema::Status::Idle,
                lane::Status::Transaction => schema::Status::Transaction,
                lane::Status::Failed => schema::Status::Failed,
            };
            let written = ready.written.map(place_to);
            schema::down::Kind::Ready(schema::Ready {
                status: status.into(),
                written,
                rolled_back: ready.rolled_back,
            })
        }
        lane::Down::Failure(failure) => schema::down::Kind::Failure(failure_to(&failure)),
    };
    schema::Down { kind: Some(kind) }
}

fn failure_to(failure: &lane::Failure) -> schema::Failure {
    let outcome = match failure {
        lane::Failure::NotRun(refusal) => schema::failure::Outcome::NotRun(refusal.code()),
        lane::Failure::Unknown(doubt) => schema::failure::Outcome::Unknown(doubt.code()),
        lane::Failure::Ran { tag, written } => schema::failure::Outcome::Ran(schema::Repeat {
            tag: tag.clone(),
            written: Some(place_to(*written)),
        }),
    };
    schema::Failure {
        outcome: Some(outcome),
    }
}

fn down_from(down: schema::Down) -> Option<lane::Down> {
    Some(match down.kind? {
        schema::down::Kind::Frames(frames) => lane::Down::Frames(frames.frames),
        schema::down::Kind::Ready(ready) => {
            let status = match ready.status() {
                schema::Status::Idle => lane::Status::Idle,
                schema::Status::Transaction => lane::Status::Transaction,
                schema::Status::Failed => lane::Status::Failed,
                schema::Status::Unspecified => return None,
            };
            lane::Down::Ready(lane::Ready {
                status,
                written: ready.written.map(place_from),
                rolled_back: ready.rolled_back,
            })
        }
        schema::down::Kind::Failure(failure) => lane::Down::Failure(failure_from(failure)?),
    })
}

fn failure_from(failure: schema::Failure) -> Option<lane::Failure> {
    Some(match failure.outcome? {
        schema::failure::Outcome::NotRun(code) => {
            lane::Failure::NotRun(outcome::Refusal::from_code(code)?)
        }
        schema::failure::Outcome::Unknown(code) => {
            lane::Failure::Unknown(outcome::Doubt::from_code(code)?)
        }
        schema::failure::Outcome::Ran(repeat) => lane::Failure::Ran {
            tag: repeat.tag,
            written: place_from(repeat.written?),
        },
    })
}
