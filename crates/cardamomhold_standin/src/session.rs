//! Session of one client connected to the endpoint stand-in.

use std::collections;

use bytes::BufMut;
use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use cardamomhold_wire::sqlstate;
use pgwire::messages;
use pgwire::messages::extendedquery;
use pgwire::messages::response;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;

use crate::endpoint;
use crate::engine;
use crate::log;

/// Reason for the end of a session.
#[derive(Debug)]
pub enum End {
    /// The client closed the connection or sent an invalid message.
    Client,
    /// The member's task has ended.
    Member,
    /// An injected fault closed the connection without an answer.
    Fault,
}

impl From<frame::FrameError> for End {
    fn from(_: frame::FrameError) -> Self {
        Self::Client
    }
}

#[derive(Debug, Default)]
pub(crate) enum Transaction {
    #[default]
    Idle,
    Open {
        read_only: bool,
        copy: Option<engine::Engine>,
        writes: Vec<log::Statement>,
    },
    Failed,
}

#[derive(Debug, Clone)]
pub(crate) struct Prepared {
    pub(crate) sql: String,
    pub(crate) types: Vec<u32>,
}

#[derive(Debug, Clone)]
pub(crate) struct Portal {
    pub(crate) statement: log::Statement,
    pub(crate) formats: Vec<i16>,
}

/// Session of one client.
pub struct Session {
    pub(crate) endpoint: endpoint::Shared,
    pub(crate) reader: frame::Reader<tcp::OwnedReadHalf>,
    pub(crate) writer: tcp::OwnedWriteHalf,
    pub(crate) out: BytesMut,
    pub(crate) peer: String,
    pub(crate) number: u64,
    pub(crate) cancels: tokio::sync::broadcast::Receiver<i32>,
    pub(crate) transaction: Transaction,
    pub(crate) prepared: collections::HashMap<String, Prepared>,
    pub(crate) portals: collections::HashMap<String, Portal>,
    pub(crate) settings: collections::BTreeMap<String, String>,
    pub(crate) skips_to_sync: bool,
}

pub(crate) fn sql_error(code: &'static str, message: &str) -> engine::SqlError {
    engine::SqlError {
        code,
        message: message.to_owned(),
    }
}

impl Session {
    /// Creates a session on an accepted socket; `number` is the connection's number.
    pub fn new(endpoint: endpoint::Shared, socket: net::TcpStream, number: u64) -> Self {
        let cancels = endpoint.cancels.subscribe();
        let (read, write) = socket.into_split();
        Self {
            endpoint,
            reader: frame::Reader::for_caller(read),
            writer: write,
            out: BytesMut::new(),
            peer: String::new(),
            number,
            cancels,
            transaction: Transaction::Idle,
            prepared: collections::HashMap::new(),
            portals: collections::HashMap::new(),
            settings: collections::BTreeMap::new(),
            skips_to_sync: false,
        }
    }

    /// Serves the client until the session ends.
    ///
    /// # Errors
    /// The reason for the end, unless the client ended the session or was rejected at startup.
    pub async fn run(mut self) -> Result<(), End> {
        if !self.handshake().await? {
            return Ok(());
        }
        while let Some(message) = self.reader.next_frontend().await? {
            self.endpoint
                .faults
                .await_unblocked(&self.peer, self.number)
                .await;
            if !self.handle(message).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn handshake(&mut self) -> Result<bool, End> {
        loop {
            let Some(message) = self.reader.next_frontend().await? else {
                return Ok(false);
            };
            match message {
                messages::PgWireFrontendMessage::SslNegotiation(
                    messages::SslNegotiationMetaMessage::None,
                ) => {}
                messages::PgWireFrontendMessage::SslNegotiation(_) => {
                    self.out.put_u8(b'N');
                    self.flush().await?;
                }
                messages::PgWireFrontendMessage::CancelRequest(request) => {
                    // The send fails when no session is subscribed; nothing is to be cancelled.
                    let _ = self.endpoint.cancels.send(request.pid);
                    return Ok(false);
                }
                messages::PgWireFrontendMessage::Startup(startup) => {
                    return self.accept_startup(&startup).await;
                }
                _ => return Err(End::Client),
            }
        }
    }

    pub(crate) async fn accept_startup(&mut self, startup: &startup::Startup) -> Result<bool, End> {
        self.peer = startup
            .parameters
            .get("application_name")
            .cloned()
            .unwrap_or_default();
        self.endpoint
            .faults
            .await_unblocked(&self.peer, self.number)
            .await;
        let database = startup
            .parameters
            .get("database")
            .map(String::as_str)
            .unwrap_or_default();
        if database != self.endpoint.options.group {
            return self.reject("3D000", "database does not exist").await;
        }
        if self.endpoint.is_over_limit() {
            return self
                .reject("53300", "sorry, too many clients already")
                .await;
        }
        answer::put(&mut self.out, &startup::Authentication::Ok);
        for (name, value) in [
            ("server_version", "16.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ] {
            answer::put_parameter(&mut self.out, name, value);
        }
        let pid = self.number as i32;
        answer::put(
            &mut self.out,
            &startup::BackendKeyData::new(pid, startup::SecretKey::I32(pid)),
        );
        answer::put_ready(&mut self.out, response::TransactionStatus::Idle);
        self.flush().await?;
        Ok(true)
    }

    pub(crate) async fn reject(&mut self, code: &'static str, message: &str) -> Result<bool, End> {
        let report = sqlstate::Report {
            code,
            message: message.to_owned(),
            hint: "",
        };
        answer::put_error(&mut self.out, answer::Severity::Fatal, &report);
        self.flush().await?;
        Ok(false)
    }

    pub(crate) async fn flush(&mut self) -> Result<(), End> {
        self.endpoint
            .faults
            .await_unblocked(&self.peer, self.number)
            .await;
        self.writer
            .write_all(&self.out)
            .await
            .map_err(|_| End::Client)?;
        self.out.clear();
        Ok(())
    }

    pub(crate) async fn handle(
        &mut self,
        message: messages::PgWireFrontendMessage,
    ) -> Result<bool, End> {
        if self.skips_to_sync && !matches!(message, messages::PgWireFrontendMessage::Sync(_)) {
            return Ok(true);
        }
        match message {
            messages::PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query).await?
            }
            messages::PgWireFrontendMessage::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                self.prepared.insert(
                    name,
                    Prepared {
                        sql: parse.query,
                        types: parse.type_oids,
                    },
                );
                answer::put(&mut self.out, &extendedquery::ParseComplete::new());
            }
            messages::PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            messages::PgWireFrontendMessage::Describe(describe) => self.describe(&describe).await?,
            messages::PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                match self.portals.get(&name).cloned() {
                    Some(portal) => {
                        self.execute(&portal.statement, &portal.formats, false)
                            .await?
                    }
                    None => self.fail(&sql_error("34000", "portal does not exist")),
                }
            }
            messages::PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                answer::put(&mut self.out, &extendedquery::CloseComplete::new());
            }
            messages::PgWireFrontendMessage::Flush(_) => self.flush().await?,
            messages::PgWireFrontendMessage::Sync(_) => {
                self.skips_to_sync = false;
                self.send_ready().await?;
            }
            messages::PgWireFrontendMessage::Terminate(_) => return Ok(false),
            _ => return Err(End::Client),
        }
        Ok(true)
    }

    pub(crate) fn fail(&mut self, error: &engine::SqlError) {
        let report = sqlstate::Report {
            code: error.code,
            message: error.message.clone(),
            hint: "",
        };
        answer::put_error(&mut self.out, answer::Severity::Error, &report);
        self.skips_to_sync = true;
        if !matches!(self.transaction, Transaction::Idle) {
            self.transaction = Transaction::Failed;
        }
    }

    pub(crate) async fn send_ready(&mut self) -> Result<(), End> {
        self.portals.clear();
        let status = match self.transaction {
            Transaction::Idle => response::TransactionStatus::Idle,
            Transaction::Open { .. } => response::TransactionStatus::Transaction,
            Transaction::Failed => response::TransactionStatus::Error,
        };
        answer::put_ready(&mut self.out, status);
        self.flush().await
    }

    pub(crate) async fn simple_query(&mut self, text: &str) -> Result<(), End> {
        let statements = cardamomhold_wire::statement::split(text);
        if statements.is_empty() {
            answer::put(&mut self.out, &response::EmptyQueryResponse::new());
        }
        for sql in statements {
            if self.skips_to_sync {
                break;
            }
            let statement = log::Statement {
                sql: sql.to_owned(),
                params: Vec::new(),
            };
            self.execute(&statement, &[], true).await?;
        }
        self.skips_to_sync = false;
        self.send_ready().await
    }
}

pub(crate) fn first_word(sql: &str) -> String {
    let word: String = sql
        .trim_start()
        .chars()
        .take_while(char::is_ascii_alphabetic)
        .collect();
    word.to_ascii_uppercase()
}
