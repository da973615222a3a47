//! Collects a caller's messages into batches and stores its prepared statements.
//!
//! Prepared statements are stored in the caller's task, not on a connection: each batch
//! that uses one includes its text as the unnamed statement.

use std::collections;

use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::param;
use cardamomhold_wire::sqlstate;
use cardamomhold_wire::statement;
use pgwire::messages;
use pgwire::messages::extendedquery;

/// Maximum number of prepared statements per caller connection.
pub const MAX_PREPARED: usize = 1_000;

/// Maximum length of a batch, in bytes.
pub const MAX_BATCH_LEN: usize = 32 * 1024 * 1024;

/// Maximum length of a connection's named prepared statements, in bytes.
pub const MAX_PREPARED_LEN: usize = 4 * 1024 * 1024;

/// Bytes that each prepared statement takes beside its texts.
const PREPARED_BYTES: usize = 256;

#[derive(Debug, Clone)]
struct Prepared {
    query: String,
    types: Vec<u32>,
}

/// The caller's messages since its last sync or flush, and its prepared statements.
#[derive(Debug, Default)]
pub struct Builder {
    prepared: collections::HashMap<String, Prepared>,
    /// Bytes of the prepared statements.
    kept_bytes: usize,
    frames: BytesMut,
    statements: Vec<statement::Statement>,
    steps: Vec<Step>,
    /// Name of the prepared statement that is the batch's unnamed statement now.
    unnamed_source: Option<String>,
    skips_to_sync: bool,
}

/// Action to take after a message.
#[derive(Debug)]
pub enum Action {
    /// The batch is incomplete; wait for more messages.
    Incomplete,
    /// A batch is complete.
    Batch(Batch),
    /// The message is rejected; further messages are ignored until the next sync.
    Refused(sqlstate::BadInput),
    /// A simple query is rejected.
    RefusedQuery(sqlstate::BadInput),
    /// A sync has arrived after a rejection; messages are accepted again.
    Resynced,
    /// The caller closes its connection.
    Terminate,
}

/// A complete batch.
#[derive(Debug)]
pub struct Batch {
    /// The encoded messages.
    pub frames: bytes::Bytes,
    /// The statements, in order.
    pub statements: Vec<statement::Statement>,
    /// Whether the batch is a simple query.
    pub is_simple: bool,
    /// Whether the batch ends with a sync.
    pub sync: bool,
    /// The messages that get an answer, in order.
    pub steps: Vec<Step>,
}

impl Batch {
    /// Whether the batch runs a statement, and doesn't only prepare or describe one.
    pub fn executes(&self) -> bool {
        self.is_simple || self.steps.contains(&Step::Execute)
    }

    /// The class of a batch with a single statement; `Plain` for all others.
    pub fn class(&self) -> &statement::Class {
        match self.statements.as_slice() {
            [only] => &only.class,
            _ => &statement::Class::Plain,
        }
    }

    /// Whether the batch runs only a BEGIN.
    pub fn begins(&self) -> bool {
        self.executes() && matches!(self.class(), statement::Class::Begin { .. })
    }

    /// Number of answers that the endpoint sends before it waits for more messages.
    pub fn answers(&self) -> u32 {
        self.steps.len() as u32
    }

    /// Rejects statements that pooled connections don't support, and statements about the proxy's
    /// own parameters that aren't alone in the batch.
    ///
    /// # Errors
    /// The [`sqlstate::BadInput`] of the first such statement.
    pub fn check(&self) -> Result<(), sqlstate::BadInput> {
        for statement in &self.statements {
            let setting_name = match &statement.class {
                statement::Class::Copy => return Err(sqlstate::BadInput::Copy),
                statement::Class::Listen => return Err(sqlstate::BadInput::Listen),
                statement::Class::SessionState(what) => {
                    return Err(sqlstate::BadInput::SessionState(what));
                }
                statement::Class::Set(setting) => &setting.name,
                statement::Class::Show(name) => name,
                statement::Class::Plain
                | statement::Class::Opaque
                | statement::Class::Begin { .. }
                | statement::Class::End => continue,
            };
            if self.statements.len() > 1 && setting_name.starts_with(param::PREFIX) {
                return Err(sqlstate::BadInput::NotAlone(setting_name.clone()));
            }
        }
        Ok(())
    }

    /// Rejects statements that would end a keyed transaction before its key is recorded, or
    /// continue without the key afterwards.
    ///
    /// # Errors
    /// [`sqlstate::BadInput::KeyedControl`].
    pub fn check_keyed(&self, is_open: bool) -> Result<(), sqlstate::BadInput> {
        for (i, statement) in self.statements.iter().enumerate() {
            let is_last = i + 1 == self.statements.len();
            let is_allowed = match statement.class {
                statement::Class::Begin { .. } => {
                    self.sync && !is_open && self.statements.len() == 1
                }
                statement::Class::End => is_open && is_last,
                statement::Class::Opaque => false,
                _ => true,
            };
            if !is_allowed {
                return Err(sqlstate::BadInput::KeyedControl);
            }
        }
        Ok(())
    }

    /// Rejects statements that would allow a declared read to write.
    ///
    /// # Errors
    /// [`sqlstate::BadInput::WriteInDeclaredRead`].
    pub fn check_read(&self) -> Result<(), sqlstate::BadInput> {
        let mut texts = self.statements.iter().map(|s| s.text.as_str());
        let ends_early = self
            .statements
            .iter()
            .rev()
            .skip(1)
            .any(|s| s.class == statement::Class::End);
        if ends_early || texts.any(statement::allows_writes) {
            return Err(sqlstate::BadInput::WriteInDeclaredRead);
        }
        Ok(())
    }
}

/// A message of the extended protocol that gets an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Parse, sent by the caller.
    Parse,
    /// Parse, added by the proxy; the caller expects no answer to it.
    AddedParse,
    /// Bind.
    Bind,
    /// Describe of a prepared statement.
    DescribeStatement,
    /// Describe of a portal.
    DescribePortal,
    /// Execute.
    Execute,
    /// Close.
    Close,
}

impl Builder {
    /// Adds a message.
    pub fn push(&mut self, message: messages::PgWireFrontendMessage) -> Action {
        if self.skips_to_sync {
            return self.skip(&message);
        }
        let result = match message {
            messages::PgWireFrontendMessage::Query(query) => return self.simple_query(query),
            messages::PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            messages::PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            messages::PgWireFrontendMessage::Describe(describe) => self.describe(describe),
            messages::PgWireFrontendMessage::Execute(execute) => {
                self.steps.push(Step::Execute);
                answer::put(&mut self.frames, &execute);
                Ok(())
            }
            messages::PgWireFrontendMessage::Close(close) => {
                self.close(close);
                Ok(())
            }
            messages::PgWireFrontendMessage::Flush(flush) => {
                answer::put(&mut self.frames, &flush);
                return Action::Batch(self.finish(false, false));
            }
            messages::PgWireFrontendMessage::Sync(sync) => {
                answer::put(&mut self.frames, &sync);
                return Action::Batch(self.finish(false, true));
            }
            messages::PgWireFrontendMessage::Terminate(_) => return Action::Terminate,
            _ => Err(sqlstate::BadInput::Protocol(
                "unexpected message".to_owned(),
            )),
        };
        match result {
            Ok(()) if self.frames.len() > MAX_BATCH_LEN => {
                self.refuse(sqlstate::BadInput::Protocol("batch too large".to_owned()))
            }
            Ok(()) => Action::Incomplete,
            Err(input) => self.refuse(input),
        }
    }

    /// Discards the batch and ignores messages until the caller's next sync.
    pub fn skip_to_sync(&mut self) {
        self.clear();
        self.skips_to_sync = true;
    }

    fn refuse(&mut self, input: sqlstate::BadInput) -> Action {
        self.skip_to_sync();
        Action::Refused(input)
    }

    fn skip(&mut self, message: &messages::PgWireFrontendMessage) -> Action {
        match message {
            messages::PgWireFrontendMessage::Sync(_) => {
                self.skips_to_sync = false;
                Action::Resynced
            }
            messages::PgWireFrontendMessage::Terminate(_) => Action::Terminate,
            _ => Action::Incomplete,
        }
    }

    /// Bytes of the prepared statements.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn remove_prepared(&mut self, name: &str) {
        if let Some(removed) = self.prepared.remove(name) {
            self.kept_bytes -= PREPARED_BYTES + name.len() + removed.query.len();
        }
    }

    /// Whether there are no messages of an incomplete batch.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty() && self.steps.is_empty()
    }

    fn clear(&mut self) {
        self.frames.clear();
        self.statements.clear();
        self.steps.clear();
        self.unnamed_source = None;
    }

    fn finish(&mut self, is_simple: bool, sync: bool) -> Batch {
        let batch = Batch {
            // A split buffer would stay allocated with the batch's size for as long as the session.
            frames: std::mem::take(&mut self.frames).freeze(),
            statements: std::mem::take(&mut self.statements),
            is_simple,
            sync,
            steps: std::mem::take(&mut self.steps),
        };
        self.clear();
        batch
    }

    fn simple_query(&mut self, query: messages::simplequery::Query) -> Action {
        if !self.frames.is_empty() {
            self.clear();
            let problem = "query in the middle of a batch without its sync";
            return Action::RefusedQuery(sqlstate::BadInput::Protocol(problem.to_owned()));
        }
        self.add_statements(&query.query);
        answer::put(&mut self.frames, &query);
        Action::Batch(self.finish(true, true))
    }

    fn add_statements(&mut self, text: &str) {
        self.statements.extend(statement::classify_all(text));
    }

    fn parse(&mut self, parse: extendedquery::Parse) -> Result<(), sqlstate::BadInput> {
        let name = parse.name.clone().unwrap_or_default();
        if !self.prepared.contains_key(&name) && self.prepared.len() >= MAX_PREPARED {
            return Err(sqlstate::BadInput::Protocol(
                "too many prepared statements".to_owned(),
            ));
        }
        let added = PREPARED_BYTES + name.len() + parse.query.len();
        if !name.is_empty() && self.kept_bytes + added > MAX_PREPARED_LEN {
            return Err(sqlstate::BadInput::Protocol(
                "prepared statements too long".to_owned(),
            ));
        }
        self.add_statements(&parse.query);
        let prepared = Prepared {
            query: parse.query.clone(),
            types: parse.type_oids.clone(),
        };
        self.remove_prepared(&name);
        self.kept_bytes += added;
        self.prepared.insert(name.clone(), prepared);
        self.unnamed_source = Some(name);
        self.steps.push(Step::Parse);
        answer::put(
            &mut self.frames,
            &extendedquery::Parse::new(None, parse.query, parse.type_oids),
        );
        Ok(())
    }

    /// Adds a Parse of the prepared statement `name`, unless it is the batch's unnamed statement
    /// already.
    fn ensure_parsed(&mut self, name: &str) -> Result<(), sqlstate::BadInput> {
        let Some(prepared) = self.prepared.get(name).cloned() else {
            return Err(sqlstate::BadInput::UnknownStatement(name.to_owned()));
        };
        if self.unnamed_source.as_deref() == Some(name) {
            return Ok(());
        }
        self.add_statements(&prepared.query);
        answer::put(
            &mut self.frames,
            &extendedquery::Parse::new(None, prepared.query, prepared.types),
        );
        self.steps.push(Step::AddedParse);
        self.unnamed_source = Some(name.to_owned());
        Ok(())
    }

    fn bind(&mut self, mut bind: extendedquery::Bind) -> Result<(), sqlstate::BadInput> {
        self.ensure_parsed(bind.statement_name.as_deref().unwrap_or_default())?;
        bind.statement_name = None;
        self.steps.push(Step::Bind);
        answer::put(&mut self.frames, &bind);
        Ok(())
    }

    fn describe(
        &mut self,
        mut describe: extendedquery::Describe,
    ) -> Result<(), sqlstate::BadInput> {
        if describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
            self.ensure_parsed(describe.name.as_deref().unwrap_or_default())?;
            describe.name = None;
            self.steps.push(Step::DescribeStatement);
        } else {
            self.steps.push(Step::DescribePortal);
        }
        answer::put(&mut self.frames, &describe);
        Ok(())
    }

    fn close(&mut self, mut close: extendedquery::Close) {
        if close.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
            self.remove_prepared(close.name.as_deref().unwrap_or_default());
            close.name = None;
        }
        self.steps.push(Step::Close);
        answer::put(&mut self.frames, &close);
    }
}
