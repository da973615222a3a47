//! The gRPC service between instances, and its client.

use std::collections;
use std::error;
use std::io;
use std::pin;
use std::sync;
use std::time;

use bytes::Bytes;
use cardamomhold_config::config;
use cardamomhold_core::outcome;
use cardamomhold_proto::peer as schema;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers;
use tonic::transport;

use crate::caller;
use crate::codec;
use crate::fleet;
use crate::gossip;
use crate::owner;
use crate::stream;

/// Time limit for opening a connection to a peer.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval of keep-alive probes on a peer connection, and time limit for their answer.
pub const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Capacity of the client task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 4096;

/// A stream to forward to another instance.
#[derive(Debug)]
pub struct Forward {
    /// Address of that instance's peer service.
    pub address: String,
    /// The transaction's ticket.
    pub ticket: stream::Ticket,
    /// The endpoint's end of the stream.
    pub end: stream::StreamEnd,
}

/// Starts the client's task; it ends when its last handle is dropped.
pub fn start() -> mpsc::Sender<Forward> {
    let (forwards, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    tokio::spawn(run(mailbox));
    forwards
}

/// Client of the peer service.
pub type Client = schema::peer_client::PeerClient<transport::Channel>;

/// Opens connections on demand and keeps one for each address.
async fn run(mut mailbox: mpsc::Receiver<Forward>) {
    let mut clients: collections::HashMap<String, Client> = collections::HashMap::new();
    let (broken, mut broken_addresses) = mpsc::channel::<String>(MAILBOX_CAPACITY);
    let (opened, mut opened_clients) = mpsc::channel::<(String, Client)>(MAILBOX_CAPACITY);
    loop {
        tokio::select! {
            forward = mailbox.recv() => {
                let Some(forward) = forward else {
                    return;
                };
                let client = clients.get(&forward.address).cloned();
                tokio::spawn(forward_stream(forward, client, opened.clone(), broken.clone()));
            }
            Some(address) = broken_addresses.recv() => {
                clients.remove(&address);
            }
            Some((address, client)) = opened_clients.recv() => {
                clients.insert(address, client);
            }
        }
    }
}

async fn forward_stream(
    forward: Forward,
    cached: Option<Client>,
    opened: mpsc::Sender<(String, Client)>,
    broken: mpsc::Sender<String>,
) {
    let Forward {
        address,
        ticket,
        end,
    } = forward;
    let client = match cached {
        Some(client) => client,
        None => match connect(&address).await {
            Some(client) => {
                // The client's task keeps it for the next stream.
                let _ = opened.send((address.clone(), client.clone())).await;
                client
            }
            None => {
                let failure = stream::Failure::NotRun(outcome::Refusal::OwnerUnreachable);
                // A caller that is gone needs no answer.
                let _ = end.down.send(stream::Down::Failure(failure)).await;
                return;
            }
        },
    };
    if !relay_messages(client, &ticket, end).await {
        // The send fails only if the client's task is ending.
        let _ = broken.send(address).await;
    }
}

/// Opens a connection to a peer; `None` if it can't be reached in time.
pub async fn connect(address: &str) -> Option<Client> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL);
    let channel = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect())
        .await
        .ok()?
        .ok()?;
    Some(Client::new(channel))
}

/// Relays a stream's messages in both directions; false if the connection failed.
async fn relay_messages(
    mut client: Client,
    ticket: &stream::Ticket,
    end: stream::StreamEnd,
) -> bool {
    let first = schema::Up {
        kind: Some(schema::up::Kind::Ticket(codec::encode_ticket(ticket))),
    };
    let rest = wrappers::ReceiverStream::new(end.up).map(codec::encode_up);
    let ups = tokio_stream::once(first).chain(rest);
    let lost = stream::Failure::Unknown(outcome::Doubt::OwnerLost);
    let mut downs = match client.open(ups).await {
        Ok(response) => response.into_inner(),
        Err(status) => {
            let failure = if is_unsent(&status) {
                stream::Failure::NotRun(outcome::Refusal::OwnerUnreachable)
            } else {
                lost
            };
            let _ = end.down.send(stream::Down::Failure(failure)).await;
            return false;
        }
    };
    loop {
        let message = match downs.next().await {
            Some(Ok(message)) => message,
            Some(Err(_)) => {
                let _ = end.down.send(stream::Down::Failure(lost)).await;
                return false;
            }
            None => return true,
        };
        let Some(down) = codec::decode_down(message) else {
            let _ = end.down.send(stream::Down::Failure(lost)).await;
            return false;
        };
        if end.down.send(down).await.is_err() {
            return true;
        }
    }
}

/// Sends a cancel request to the instance that serves the target connection.
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

/// Whether a call failed because the connection was refused, so that nothing was sent.
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

/// Peer service of an instance.
#[derive(Debug)]
pub struct Service {
    /// Task that serves the streams of other instances.
    pub owner: mpsc::Sender<owner::Request>,
    /// Configuration from which peers fetch changes.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// Task with the membership that peers compare with theirs.
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
            Some(schema::up::Kind::Ticket(ticket)) => codec::decode_ticket(&ticket),
            _ => Err(codec::BadMessage),
        };
        let ticket = ticket.map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
        let (stream, end) = stream::pair();
        let sent = self
            .owner
            .send(owner::Request::Forwarded(Box::new(ticket), end))
            .await;
        sent.map_err(|_| tonic::Status::unavailable("stopping"))?;
        tokio::spawn(forward_ups(ups, stream.up));
        let downs =
            wrappers::ReceiverStream::new(stream.down).map(|down| Ok(codec::encode_down(down)));
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
        let digests = gossip::decode_digests(request.get_ref());
        let (reply, answer) = oneshot::channel();
        let sent = self.fleet.send(fleet::Request::Members(digests, reply));
        let stopping = || tonic::Status::unavailable("stopping");
        sent.await.map_err(|_| stopping())?;
        let rumors = answer.await.map_err(|_| stopping())?;
        Ok(tonic::Response::new(schema::MembersReply {
            rumors: rumors.iter().map(gossip::encode_rumor).collect(),
        }))
    }
}

async fn forward_ups(mut ups: tonic::Streaming<schema::Up>, stream: mpsc::Sender<stream::Up>) {
    while let Some(Ok(up)) = ups.next().await {
        let up = match up.kind {
            Some(schema::up::Kind::Batch(batch)) => stream::Up::Batch(stream::Batch {
                frames: batch.frames,
                sync: batch.sync,
                answers: batch.answers,
            }),
            Some(schema::up::Kind::Cancel(_)) => stream::Up::Cancel,
            _ => return,
        };
        if stream.send(up).await.is_err() {
            return;
        }
    }
}
