//! A caller that speaks the protocol message by message, for what no driver does.

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

/// A connection of such a caller.
pub struct Client {
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    /// What a cancel request must name.
    pub key: Option<startup::BackendKeyData>,
}

/// What came back up to "ready for query" or the end of the connection.
#[derive(Debug, Default)]
pub struct Answer {
    /// Rows received.
    pub rows: usize,
    /// Tags of the completed commands.
    pub tags: Vec<String>,
    /// SQLSTATE of the error; empty when there was none.
    pub code: String,
    /// Whether "ready for query" ended it.
    pub is_ready: bool,
}

impl Client {
    /// Connects without sending anything.
    pub async fn connect_socket(address: SocketAddr) -> Self {
        let socket = net::TcpStream::connect(address).await.expect("connect");
        let (read, writer) = socket.into_split();
        Self {
            reader: frame::Reader::for_endpoint(read),
            writer,
            key: None,
        }
    }

    /// Connects as a caller with startup parameters and waits until it is ready.
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

    /// Sends any bytes.
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).await.expect("send");
    }

    /// Sends a simple query.
    pub async fn send_query(&mut self, text: &str) {
        self.send(&simplequery::Query::new(text.to_owned())).await;
    }

    /// Sends a simple query and reads its whole answer.
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

    /// The next message; none at the end of the connection.
    pub async fn next(&mut self) -> Option<messages::PgWireBackendMessage> {
        let next = tokio::time::timeout(cluster::WAIT_TIMEOUT, self.reader.next_backend());
        next.await.expect("an answer comes").unwrap_or(None)
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

/// Sends a cancel request to any instance.
pub async fn cancel(address: SocketAddr, key: &startup::BackendKeyData) {
    let mut raw = Client::connect_socket(address).await;
    let request = cancel::CancelRequest::new(key.pid, key.secret_key.clone());
    raw.send(&request).await;
}
