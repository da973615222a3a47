//! The UDP socket between instances, and the encoding of its datagrams.

use std::io;
use std::net;

use cardamomhold_core::name;
use tokio::net::UdpSocket;

use crate::coordinator;
use crate::message;
use crate::traffic;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_LEN: usize = 60_000;

/// Sends datagrams to other instances.
#[derive(Debug, Clone)]
pub struct Peers {
    name: name::InstanceName,
    socket: std::sync::Arc<UdpSocket>,
    traffic: traffic::Traffic,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn open(
        name: &name::InstanceName,
        address: net::SocketAddr,
        traffic: traffic::Traffic,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            name: name.clone(),
            socket: socket.into(),
            traffic,
        })
    }

    /// Starts the task that receives datagrams and passes them to the coordinator.
    pub fn listen(&self, coordinator: coordinator::Handle) {
        let socket = self.socket.clone();
        let traffic = self.traffic.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_LEN];
            loop {
                let (len, from) = match socket.recv_from(&mut buffer).await {
                    Ok(received) => received,
                    Err(error) => {
                        // An earlier datagram was sent to a closed port.
                        log::debug!("event=datagram_error error=\"{error}\"");
                        continue;
                    }
                };
                let received = traffic::Direction::Received;
                match postcard::from_bytes::<message::Envelope>(&buffer[..len]) {
                    Ok(envelope) => {
                        let kind = envelope.message.kind();
                        traffic.record(traffic::Channel::Peer, kind, received, len);
                        coordinator.send(coordinator::Event::Datagram(from, envelope));
                    }
                    Err(error) => {
                        traffic.record(traffic::Channel::Peer, "unreadable", received, len);
                        log::warn!(
                            "event=datagram_unreadable from={from} bytes={len} error=\"{error}\""
                        );
                    }
                }
            }
        });
    }

    /// Sends a message without waiting; it is dropped when the socket's buffer is full, as
    /// datagrams may be lost anyway.
    pub fn send(&self, to: net::SocketAddr, message: message::Message) {
        let envelope = message::Envelope {
            from: self.name.clone(),
            message,
        };
        match postcard::to_stdvec(&envelope) {
            Ok(bytes) => {
                let kind = match self.socket.try_send_to(&bytes, to) {
                    Ok(_) => envelope.message.kind(),
                    Err(error) => {
                        log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
                        "unsent"
                    }
                };
                let sent = traffic::Direction::Sent;
                self.traffic
                    .record(traffic::Channel::Peer, kind, sent, bytes.len());
            }
            Err(error) => log::warn!("event=datagram_unwritable error=\"{error}\""),
        }
    }
}
