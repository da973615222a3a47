//! One client's connection to the endpoint stand-in.

use std::collections;
use std::sync::atomic;
use std::time;

use bytes::BufMut;
use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use cardamomhold_wire::sqlstate;
use pgwire::messages;
use pgwire::messages::data;
use pgwire::messages::extendedquery;
use pgwire::messages::response;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net;
use tokio::net::tcp;

use crate::endpoint;
use crate::engine;
use crate::log;
use crate::member;
use crate::replication;

const INT8_OID: u32 = 20;
const FLOAT8_OID: u32 = 701;
const TEXT_OID: u32 = 25;
const BINARY: i16 = 1;
const FLUSH_LEN: usize = 32 * 1024;

/// Why a session ends.
#[derive(Debug)]
pub enum End {
    /// The client went, or its bytes were no messages.
    Client,
    /// The member's task has ended.
    Member,
    /// A fault closes the connection without an answer.
    Fault,
}

impl From<frame::FrameError> for End {
    fn from(_: frame::FrameError) -> Self {
        Self::Client
    }
}

#[derive(Debug, Default)]
enum Transaction {
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
struct Prepared {
    sql: String,
    types: Vec<u32>,
}

#[derive(Debug, Clone)]
struct Portal {
    statement: log::Statement,
    formats: Vec<i16>,
}

/// A session.
pub struct Session {
    endpoint: endpoint::Shared,
    reader: frame::Reader<tcp::OwnedReadHalf>,
    writer: tcp::OwnedWriteHalf,
    out: BytesMut,
    peer: String,
    number: u64,
    cancels: tokio::sync::broadcast::Receiver<i32>,
    transaction: Transaction,
    prepared: collections::HashMap<String, Prepared>,
    portals: collections::HashMap<String, Portal>,
    settings: collections::BTreeMap<String, String>,
    skips_to_sync: bool,
}

fn error(code: &'static str, message: &str) -> engine::SqlError {
    engine::SqlError {
        code,
        message: message.to_owned(),
    }
}

impl Session {
    /// A session on a fresh socket.
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

    /// Serves the client until one of them ends the connection.
    ///
    /// # Errors
    /// Why it ended, when it was not the client's farewell.
    pub async fn run(mut self) -> Result<(), End> {
        if !self.greet().await? {
            return Ok(());
        }
        while let Some(message) = self.reader.next_frontend().await? {
            self.endpoint.faults.gate(&self.peer, self.number).await;
            if !self.handle(message).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn greet(&mut self) -> Result<bool, End> {
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
                    // Without a subscriber there is nothing to cancel.
                    let _ = self.endpoint.cancels.send(request.pid);
                    return Ok(false);
                }
                messages::PgWireFrontendMessage::Startup(startup) => {
                    return self.welcome(&startup).await;
                }
                _ => return Err(End::Client),
            }
        }
    }

    async fn welcome(&mut self, startup: &startup::Startup) -> Result<bool, End> {
        self.peer = startup
            .parameters
            .get("application_name")
            .cloned()
            .unwrap_or_default();
        self.endpoint.faults.gate(&self.peer, self.number).await;
        let database = startup
            .parameters
            .get("database")
            .map(String::as_str)
            .unwrap_or_default();
        if database != self.endpoint.options.group {
            return self.turn_away("3D000", "database does not exist").await;
        }
        if self.endpoint.is_full() {
            return self
                .turn_away("53300", "sorry, too many clients already")
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

    async fn turn_away(&mut self, code: &'static str, message: &str) -> Result<bool, End> {
        let report = sqlstate::Report {
            code,
            message: message.to_owned(),
            hint: "",
        };
        answer::put_error(&mut self.out, answer::Severity::Fatal, &report);
        self.flush().await?;
        Ok(false)
    }

    async fn flush(&mut self) -> Result<(), End> {
        self.endpoint.faults.gate(&self.peer, self.number).await;
        self.writer
            .write_all(&self.out)
            .await
            .map_err(|_| End::Client)?;
        self.out.clear();
        Ok(())
    }

    async fn handle(&mut self, message: messages::PgWireFrontendMessage) -> Result<bool, End> {
        if self.skips_to_sync && !matches!(message, messages::PgWireFrontendMessage::Sync(_)) {
            return Ok(true);
        }
        match message {
            messages::PgWireFrontendMessage::Query(query) => self.simple(&query.query).await?,
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
                    None => self.fail(&error("34000", "portal does not exist")),
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
                self.ready().await?;
            }
            messages::PgWireFrontendMessage::Terminate(_) => return Ok(false),
            _ => return Err(End::Client),
        }
        Ok(true)
    }

    fn fail(&mut self, error: &engine::SqlError) {
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

    async fn ready(&mut self) -> Result<(), End> {
        self.portals.clear();
        let status = match self.transaction {
            Transaction::Idle => response::TransactionStatus::Idle,
            Transaction::Open { .. } => response::TransactionStatus::Transaction,
            Transaction::Failed => response::TransactionStatus::Error,
        };
        answer::put_ready(&mut self.out, status);
        self.flush().await
    }

    async fn simple(&mut self, text: &str) -> Result<(), End> {
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
        self.ready().await
    }

    fn bind(&mut self, bind: &extendedquery::Bind) {
        let name = bind.statement_name.clone().unwrap_or_default();
        let Some(prepared) = self.prepared.get(&name) else {
            self.fail(&error("26000", "prepared statement does not exist"));
            return;
        };
        let mut params = Vec::new();
        for (i, value) in bind.parameters.iter().enumerate() {
            let format = format_of(&bind.parameter_format_codes, i);
            let oid = prepared.types.get(i).copied().unwrap_or(TEXT_OID);
            params.push(decode_value(value.as_deref(), format, oid));
        }
        let statement = log::Statement {
            sql: prepared.sql.clone(),
            params,
        };
        let portal = Portal {
            statement,
            formats: bind.result_column_format_codes.clone(),
        };
        self.portals
            .insert(bind.portal_name.clone().unwrap_or_default(), portal);
        answer::put(&mut self.out, &extendedquery::BindComplete::new());
    }

    async fn describe(&mut self, describe: &extendedquery::Describe) -> Result<(), End> {
        let name = describe.name.clone().unwrap_or_default();
        let is_statement = describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT;
        let (sql, types, formats) = if is_statement {
            let Some(prepared) = self.prepared.get(&name).cloned() else {
                self.fail(&error("26000", "prepared statement does not exist"));
                return Ok(());
            };
            (prepared.sql, prepared.types, Vec::new())
        } else {
            let Some(portal) = self.portals.get(&name).cloned() else {
                self.fail(&error("34000", "portal does not exist"));
                return Ok(());
            };
            (portal.statement.sql, Vec::new(), portal.formats)
        };
        let description = match self.description(&sql).await? {
            Ok(description) => description,
            Err(error) => {
                self.fail(&error);
                return Ok(());
            }
        };
        if is_statement {
            let mut oids = vec![TEXT_OID; description.params];
            for (oid, given) in oids.iter_mut().zip(&types) {
                *oid = if *given == 0 { TEXT_OID } else { *given };
            }
            answer::put(&mut self.out, &data::ParameterDescription::new(oids));
        }
        self.put_columns(&description.columns, &formats);
        Ok(())
    }

    fn put_columns(&mut self, columns: &[engine::Column], formats: &[i16]) {
        if columns.is_empty() {
            answer::put(&mut self.out, &data::NoData::new());
            return;
        }
        answer::put(&mut self.out, &row_description(columns, formats));
    }

    async fn description(
        &mut self,
        sql: &str,
    ) -> Result<Result<engine::Description, engine::SqlError>, End> {
        if is_builtin(sql) {
            return Ok(Ok(engine::Description::default()));
        }
        if let Transaction::Open {
            copy: Some(copy), ..
        } = &self.transaction
        {
            return Ok(copy.describe(sql));
        }
        let sql = sql.to_owned();
        let member = &self.endpoint.member;
        let answer =
            replication::ask(member, |reply| member::Request::Describe { sql, reply }).await;
        answer.ok_or(End::Member)
    }

    async fn execute(
        &mut self,
        statement: &log::Statement,
        formats: &[i16],
        is_simple: bool,
    ) -> Result<(), End> {
        if let Some(command) = replication::Command::parse(&statement.sql) {
            return self.command(command).await;
        }
        let word = first_word(&statement.sql);
        match word.as_str() {
            "BEGIN" | "START" => self.begin(&statement.sql),
            "COMMIT" | "END" => self.commit().await?,
            "ROLLBACK" | "ABORT" => {
                self.transaction = Transaction::Idle;
                answer::put_complete(&mut self.out, "ROLLBACK");
            }
            _ if matches!(self.transaction, Transaction::Failed) => {
                self.fail(&error("25P02", "current transaction is aborted"));
            }
            "DISCARD" if !matches!(self.transaction, Transaction::Idle) => {
                self.fail(&error(
                    "25001",
                    "DISCARD ALL cannot run inside a transaction",
                ));
            }
            "SET" | "RESET" | "DISCARD" => self.set(&statement.sql, &word),
            "SHOW" => self.show(&statement.sql),
            "STREAM" => self.generate(&statement.sql).await?,
            "SLEEP" => self.sleep(&statement.sql).await?,
            _ => self.run_statement(statement, formats, is_simple).await?,
        }
        Ok(())
    }

    fn is_read_only(&self) -> bool {
        let setting = self.settings.get("default_transaction_read_only");
        setting.is_some_and(|value| value == "on")
    }

    fn begin(&mut self, sql: &str) {
        let sql = sql.to_ascii_uppercase();
        let read_only =
            sql.contains("READ ONLY") || self.is_read_only() && !sql.contains("READ WRITE");
        if matches!(self.transaction, Transaction::Idle) {
            self.transaction = Transaction::Open {
                read_only,
                copy: None,
                writes: Vec::new(),
            };
        }
        answer::put_complete(&mut self.out, "BEGIN");
    }

    async fn commit(&mut self) -> Result<(), End> {
        let writes = match std::mem::take(&mut self.transaction) {
            Transaction::Open { writes, .. } => writes,
            Transaction::Idle => Vec::new(),
            Transaction::Failed => {
                answer::put_complete(&mut self.out, "ROLLBACK");
                return Ok(());
            }
        };
        let is_write = !writes.is_empty();
        let _slot = self.endpoint.occupy().await;
        let member = &self.endpoint.member;
        let answer = replication::ask(member, |reply| member::Request::Commit {
            statements: writes,
            reply,
        })
        .await;
        match answer.ok_or(End::Member)? {
            Ok(()) => {
                if is_write && self.endpoint.faults.takes_answer() {
                    return Err(End::Fault);
                }
                answer::put_complete(&mut self.out, "COMMIT");
            }
            Err(error) if error.code == "23505" => {
                let message = "could not serialize access due to concurrent update".to_owned();
                self.fail(&engine::SqlError {
                    code: "40001",
                    message,
                });
            }
            Err(error) => self.fail(&error),
        }
        Ok(())
    }

    fn set(&mut self, sql: &str, word: &str) {
        match cardamomhold_wire::statement::classify(sql) {
            cardamomhold_wire::statement::Class::Set(setting) => match setting.value {
                Some(value) => {
                    self.settings.insert(setting.name, value);
                }
                None if setting.name == "all" => self.settings.clear(),
                None => {
                    self.settings.remove(&setting.name);
                }
            },
            _ => {
                self.settings.clear();
                self.prepared.clear();
            }
        }
        let tag = if word == "DISCARD" {
            "DISCARD ALL"
        } else {
            word
        };
        answer::put_complete(&mut self.out, tag);
    }

    fn show(&mut self, sql: &str) {
        let name = sql
            .trim_end_matches(';')
            .split_whitespace()
            .nth(1)
            .unwrap_or_default();
        let name = name.to_ascii_lowercase();
        let value = self.settings.get(&name).cloned().unwrap_or_default();
        answer::put_text_column(&mut self.out, &name);
        answer::put_text_value(&mut self.out, &value);
        answer::put_complete(&mut self.out, "SHOW");
    }

    /// `STREAM <rows> <bytes>`: an answer of any size, made as it is sent.
    async fn generate(&mut self, sql: &str) -> Result<(), End> {
        let mut numbers = sql
            .split_whitespace()
            .skip(1)
            .filter_map(|w| w.parse::<usize>().ok());
        let rows = numbers.next().unwrap_or(1);
        let value = log::Value::Text("x".repeat(numbers.next().unwrap_or(1)));
        let column = engine::Column {
            name: "filler".to_owned(),
            kind: engine::ColumnType::Text,
        };
        answer::put(
            &mut self.out,
            &row_description(std::slice::from_ref(&column), &[]),
        );
        for _ in 0..rows {
            put_row(
                &mut self.out,
                std::slice::from_ref(&column),
                std::slice::from_ref(&value),
                &[],
            );
            if self.out.len() >= FLUSH_LEN {
                self.flush().await?;
            }
            self.endpoint
                .streamed
                .fetch_add(1, atomic::Ordering::SeqCst);
        }
        answer::put_complete(&mut self.out, &format!("SELECT {rows}"));
        Ok(())
    }

    /// `SLEEP <ms>`: takes a slot for that long, unless it is cancelled.
    async fn sleep(&mut self, sql: &str) -> Result<(), End> {
        let millis = sql
            .split_whitespace()
            .nth(1)
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let _slot = self.endpoint.occupy().await;
        let pid = self.number as i32;
        tokio::select! {
            () = tokio::time::sleep(time::Duration::from_millis(millis)) => {
                answer::put_complete(&mut self.out, "SLEEP");
            }
            () = cancelled(&mut self.cancels, pid) => {
                self.fail(&error("57014", "canceling statement due to user request"));
            }
        }
        Ok(())
    }

    async fn run_statement(
        &mut self,
        statement: &log::Statement,
        formats: &[i16],
        is_simple: bool,
    ) -> Result<(), End> {
        let _slot = self.endpoint.occupy().await;
        let is_autocommit = matches!(self.transaction, Transaction::Idle);
        let result = if is_autocommit {
            let statement = statement.clone();
            let read_only = self.is_read_only();
            let request = |reply| member::Request::Run {
                statement,
                read_only,
                reply,
            };
            replication::ask(&self.endpoint.member, request)
                .await
                .ok_or(End::Member)?
        } else {
            self.run_inside(statement).await?
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                self.fail(&error);
                return Ok(());
            }
        };
        if is_autocommit && answer.is_write && self.endpoint.faults.takes_answer() {
            return Err(End::Fault);
        }
        if is_simple && !answer.columns.is_empty() {
            answer::put(&mut self.out, &row_description(&answer.columns, formats));
        }
        for row in &answer.rows {
            put_row(&mut self.out, &answer.columns, row, formats);
            if self.out.len() >= FLUSH_LEN {
                self.flush().await?;
            }
        }
        answer::put_complete(&mut self.out, &tag_of(&statement.sql, &answer));
        Ok(())
    }

    async fn run_inside(
        &mut self,
        statement: &log::Statement,
    ) -> Result<Result<engine::Answer, engine::SqlError>, End> {
        let Transaction::Open {
            read_only,
            copy,
            writes,
        } = &mut self.transaction
        else {
            return Ok(Err(error("25P02", "current transaction is aborted")));
        };
        if copy.is_none() {
            let fresh = replication::ask(&self.endpoint.member, member::Request::Copy).await;
            match fresh.ok_or(End::Member)? {
                Ok(fresh) => *copy = Some(fresh),
                Err(error) => return Ok(Err(error)),
            }
        }
        let Some(copy) = copy else {
            return Err(End::Member);
        };
        let is_replica = {
            let published = self.endpoint.member.published.borrow();
            published.status.role == cardamomhold_group::status::MemberRole::Replica
        };
        let result = copy.run(statement, *read_only || is_replica);
        if let Ok(answer) = &result
            && answer.is_write
        {
            writes.push(statement.clone());
        }
        Ok(result)
    }

    async fn command(&mut self, command: replication::Command) -> Result<(), End> {
        let member = self.endpoint.member.clone();
        let done = match command {
            replication::Command::Status {
                received,
                applied,
                wait,
            } => {
                let status = replication::await_status(&member, received, applied, wait).await;
                self.put_status(&status);
                return Ok(());
            }
            replication::Command::Position => {
                let status = replication::current_status(&member);
                let values = [status.term.to_string(), status.received.to_string()];
                self.put_texts(&["term", "log"], &values);
                return Ok(());
            }
            replication::Command::Stream(term, segments) => {
                return self.stream(term, &segments).await;
            }
            replication::Command::Fence(term) => {
                replication::ask(&member, |reply| member::Request::Fence(term, reply)).await
            }
            replication::Command::Promote(term) => {
                replication::ask(&member, |reply| member::Request::Promote(term, reply)).await
            }
            replication::Command::Follow(term, address) => {
                replication::ask(&member, |reply| {
                    member::Request::Follow(term, address, reply)
                })
                .await
            }
        };
        if done.ok_or(End::Member)? {
            self.put_status(&replication::current_status(&member));
        } else {
            self.fail(&error("55000", "member is at another term"));
        }
        Ok(())
    }

    fn put_status(&mut self, status: &cardamomhold_group::status::MemberStatus) {
        self.put_texts(
            &replication::STATUS_COLUMNS,
            &replication::status_row(status),
        );
    }

    fn put_texts(&mut self, names: &[&str], values: &[String]) {
        let column = |name: &&str| engine::Column {
            name: (*name).to_owned(),
            kind: engine::ColumnType::Text,
        };
        let columns: Vec<engine::Column> = names.iter().map(column).collect();
        let row: Vec<log::Value> = values.iter().cloned().map(log::Value::Text).collect();
        answer::put(&mut self.out, &row_description(&columns, &[]));
        put_row(&mut self.out, &columns, &row, &[]);
        answer::put_complete(&mut self.out, "MEMBER");
    }

    async fn stream(
        &mut self,
        term: cardamomhold_core::position::Term,
        segments: &[log::Segment],
    ) -> Result<(), End> {
        let member = self.endpoint.member.clone();
        let Some(mut stream) = replication::Stream::start(&member, term, segments).await else {
            self.fail(&error("55000", "member is not the primary of this term"));
            return Ok(());
        };
        let column = engine::Column {
            name: "item".to_owned(),
            kind: engine::ColumnType::Text,
        };
        while let Some(item) = stream.next(&member).await {
            let Ok(text) = serde_json::to_string(&item) else {
                return Err(End::Member);
            };
            put_row(
                &mut self.out,
                std::slice::from_ref(&column),
                &[log::Value::Text(text)],
                &[],
            );
            self.flush().await?;
        }
        Err(End::Member)
    }
}

async fn cancelled(cancels: &mut tokio::sync::broadcast::Receiver<i32>, pid: i32) {
    loop {
        match cancels.recv().await {
            Ok(target) if target == pid => return,
            Ok(_) | Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => continue,
            Err(tokio::sync::broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
    }
}

fn first_word(sql: &str) -> String {
    let word: String = sql
        .trim_start()
        .chars()
        .take_while(char::is_ascii_alphabetic)
        .collect();
    word.to_ascii_uppercase()
}

fn is_builtin(sql: &str) -> bool {
    let words = [
        "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET", "RESET", "DISCARD", "SLEEP",
        "MEMBER",
    ];
    words.contains(&first_word(sql).as_str())
}

fn format_of(formats: &[i16], at: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(at).copied().unwrap_or(0),
    }
}

fn decode_value(bytes: Option<&[u8]>, format: i16, oid: u32) -> log::Value {
    let Some(bytes) = bytes else {
        return log::Value::Null;
    };
    let text = || log::Value::Text(String::from_utf8_lossy(bytes).into_owned());
    if format != BINARY {
        return text();
    }
    match (oid, bytes.len()) {
        (INT8_OID, 8) => log::Value::Int(bytes.iter().fold(0, |n, b| n << 8 | i64::from(*b))),
        (21, 2) => log::Value::Int(
            bytes
                .iter()
                .fold(0i16, |n, b| n << 8 | i16::from(*b))
                .into(),
        ),
        (23, 4) => log::Value::Int(
            bytes
                .iter()
                .fold(0i32, |n, b| n << 8 | i32::from(*b))
                .into(),
        ),
        (FLOAT8_OID, 8) => {
            let bits = bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b));
            log::Value::Real(f64::from_bits(bits))
        }
        _ => text(),
    }
}

fn oid_of(kind: engine::ColumnType) -> u32 {
    match kind {
        engine::ColumnType::Int => INT8_OID,
        engine::ColumnType::Real => FLOAT8_OID,
        engine::ColumnType::Text => TEXT_OID,
    }
}

fn row_description(columns: &[engine::Column], formats: &[i16]) -> data::RowDescription {
    let mut fields = Vec::new();
    for (i, column) in columns.iter().enumerate() {
        let oid = oid_of(column.kind);
        let size = if column.kind == engine::ColumnType::Text {
            -1
        } else {
            8
        };
        let format = format_of(formats, i);
        fields.push(data::FieldDescription::new(
            column.name.clone(),
            0,
            0,
            oid,
            size,
            -1,
            format,
        ));
    }
    data::RowDescription::new(fields)
}

fn put_row(out: &mut BytesMut, columns: &[engine::Column], row: &[log::Value], formats: &[i16]) {
    let mut body = BytesMut::new();
    for (i, (column, value)) in columns.iter().zip(row).enumerate() {
        let is_binary = format_of(formats, i) == BINARY;
        let bytes = match (value, column.kind, is_binary) {
            (log::Value::Null, _, _) => {
                body.put_i32(-1);
                continue;
            }
            (log::Value::Int(n), engine::ColumnType::Int, true) => n.to_be_bytes().to_vec(),
            (log::Value::Int(n), engine::ColumnType::Real, true) => {
                (*n as f64).to_be_bytes().to_vec()
            }
            (log::Value::Real(x), engine::ColumnType::Real, true) => x.to_be_bytes().to_vec(),
            (log::Value::Int(n), _, _) => n.to_string().into_bytes(),
            (log::Value::Real(x), _, _) => x.to_string().into_bytes(),
            (log::Value::Text(text), _, _) => text.clone().into_bytes(),
        };
        body.put_i32(bytes.len() as i32);
        body.extend_from_slice(&bytes);
    }
    answer::put(out, &data::DataRow::new(body, row.len() as i16));
}

fn tag_of(sql: &str, answer: &engine::Answer) -> String {
    match first_word(sql).as_str() {
        "INSERT" => format!("INSERT 0 {}", answer.changed),
        "UPDATE" => format!("UPDATE {}", answer.changed),
        "DELETE" => format!("DELETE {}", answer.changed),
        "CREATE" => "CREATE TABLE".to_owned(),
        "DROP" => "DROP TABLE".to_owned(),
        _ => format!("SELECT {}", answer.rows.len()),
    }
}
