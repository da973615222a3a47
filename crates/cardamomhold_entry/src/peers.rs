//! The socket by which instances talk, and its encoding.

use std::io;
use std::net;

use cardamomhold_core::name;
use tokio::net::UdpSocket;

use crate::keeper;
use crate::message;

/// Longest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// Sends to other instances.
#[derive(Debug, Clone)]
pub struct Peers {
    name: name::InstanceName,
    socket: std::sync::Arc<UdpSocket>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn open(name: &name::InstanceName, address: net::SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            name: name.clone(),
            socket: socket.into(),
        })
    }

    /// Starts the task that passes on what arrives.
    pub fn listen(&self, keeper: keeper::Handle) {
        let socket = self.socket.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; MAX_DATAGRAM];
            loop {
                let (len, from) = match socket.recv_from(&mut buffer).await {
                    Ok(received) => received,
                    Err(error) => {
                        // An earlier datagram met a closed port.
                        log::debug!("event=datagram_error error=\"{error}\"");
                        continue;
                    }
                };
                match postcard::from_bytes(&buffer[..len]) {
                    Ok(envelope) => keeper.tell(keeper::Event::Datagram(from, envelope)),
                    Err(error) => log::warn!(
                        "event=datagram_unreadable from={from} bytes={len} error=\"{error}\""
                    ),
                }
            }
        });
    }

    /// Sends a message, if the socket takes it now; datagrams may be lost anyway.
    pub fn send(&self, to: net::SocketAddr, message: message::Message) {
        let envelope = message::Envelope {
            from: self.name.clone(),
            message,
        };
        match postcard::to_stdvec(&envelope) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
                }
            }
            Err(error) => log::warn!("event=datagram_unwritable error=\"{error}\""),
        }
    }
}
