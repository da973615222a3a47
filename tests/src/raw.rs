//! A client that sends single protocol messages, for sequences that a driver never sends.

use std::net::SocketAddr;

use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use pgwire::messages;
use pgwire::messages::cancel;
use pgwire::messages::extendedquery;
use pgwire::messages::simplequery;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;

use crate::cluster;

/// A caller's connection.
pub struct Client {
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    /// Key that a cancel request for this connection must contain.
    pub key: Option<startup::BackendKeyData>,
}

/// Summary of the messages up to "ready for query" or the end of the connection.
#[derive(Debug, Default)]
pub struct Answer {
    /// Number of rows received.
    pub rows: usize,
    /// Tags of the completed commands.
    pub tags: Vec<String>,
    /// SQLSTATE of the error; empty if there was none.
    pub code: String,
    /// Whether the answer ended with "ready for query".
    pub is_ready: bool,
}

impl Client {
    /// Opens a socket without sending a message.
    pub async fn connect_socket(address: SocketAddr) -> Self {
        let socket = net::TcpStream::connect(address).await.expect("connect");
        let (read, writer) = socket.into_split();
        Self {
            reader: frame::Reader::for_endpoint(read),
            writer,
            key: None,
        }
    }

    /// Connects with startup parameters and reads the answer to the startup.
    pub async fn connect(address: SocketAddr, parameters: &[(&str, &str)]) -> (Self, Answer) {
        let mut raw = Self::connect_socket(address).await;
        let mut startup = startup::Startup::new();
        let defaults = [("user", "kalkbok"), ("database", cluster::GROUP)];
        for (name, value) in defaults.iter().chain(parameters) {
            startup
                .parameters
                .insert((*name).to_owned(), (*value).to_owned());
        }
        raw.send(&startup).await;
        let answer = raw.read_answer().await;
        (raw, answer)
    }

    /// Sends one message.
    pub async fn send<M: messages::Message>(&mut self, message: &M) {
        let mut out = BytesMut::new();
        answer::put(&mut out, message);
        self.send_bytes(&out).await;
    }

    /// Sends bytes that need not be a valid message.
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).await.expect("send");
    }

    /// Sends a simple query.
    pub async fn send_query(&mut self, text: &str) {
        self.send(&simplequery::Query::new(text.to_owned())).await;
    }

    /// Sends a simple query and reads the whole answer.
    pub async fn query(&mut self, text: &str) -> Answer {
        self.send_query(text).await;
        self.read_answer().await
    }

    /// Sends parse, bind and execute of the unnamed statement, without a sync.
    pub async fn send_execute(&mut self, text: &str) {
        let parse = extendedquery::Parse::new(None, text.to_owned(), Vec::new());
        self.send(&parse).await;
        let bind = extendedquery::Bind::new(None, None, Vec::new(), Vec::new(), Vec::new());
        self.send(&bind).await;
        self.send(&extendedquery::Execute::new(None, 0)).await;
    }

    /// Receives the next message; `None` at the end of the connection or on a read error.
    pub async fn next(&mut self) -> Option<messages::PgWireBackendMessage> {
        let next = tokio::time::timeout(cluster::WAIT_TIMEOUT, self.reader.next_backend());
        next.await
            .expect("message within the timeout")
            .unwrap_or(None)
    }

    /// Reads up to "ready for query" or the end of the connection.
    pub async fn read_answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some(message) = self.next().await {
            match message {
                messages::PgWireBackendMessage::DataRow(_) => answer.rows += 1,
                messages::PgWireBackendMessage::CommandComplete(complete) => {
                    answer.tags.push(complete.tag);
                }
                messages::PgWireBackendMessage::ErrorResponse(error) => {
                    answer.code = sqlstate(&error);
                }
                messages::PgWireBackendMessage::BackendKeyData(key) => self.key = Some(key),
                messages::PgWireBackendMessage::ReadyForQuery(_) => {
                    answer.is_ready = true;
                    return answer;
                }
                _ => continue,
            }
        }
        answer
    }
}

fn sqlstate(error: &messages::response::ErrorResponse) -> String {
    let code = error.fields.iter().find(|(field, _)| *field == b'C');
    code.map(|(_, code)| code.clone()).unwrap_or_default()
}

/// Sends a cancel request on a new connection to `address`.
pub async fn cancel(address: SocketAddr, key: &startup::BackendKeyData) {
    let mut raw = Client::connect_socket(address).await;
    let request = cancel::CancelRequest::new(key.pid, key.secret_key.clone());
    raw.send(&request).await;
}
