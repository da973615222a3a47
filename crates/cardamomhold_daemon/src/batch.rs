//! Gathers a caller's messages into batches, and keeps its prepared statements.
//!
//! A prepared statement lives in the caller's task, not on a connection: each batch
//! that uses one brings its text along as the unnamed statement.

use std::collections;

use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::param;
use cardamomhold_wire::sqlstate;
use cardamomhold_wire::statement;
use pgwire::messages;
use pgwire::messages::extendedquery;

/// Most prepared statements of one caller's connection.
pub const MAX_PREPARED: usize = 1_000;

/// Most bytes of one batch.
pub const MAX_BATCH: usize = 32 * 1024 * 1024;

#[derive(Debug, Clone)]
struct Prepared {
    query: String,
    types: Vec<u32>,
}

/// The messages of a caller since its last sync.
#[derive(Debug, Default)]
pub struct Gatherer {
    prepared: collections::HashMap<String, Prepared>,
    frames: BytesMut,
    statements: Vec<statement::Statement>,
    steps: Vec<Step>,
    parsed: Option<String>,
    skips_to_sync: bool,
}

/// What to do with a message.
#[derive(Debug)]
pub enum Gathered {
    /// More messages are needed.
    More,
    /// A batch is complete.
    Batch(Batch),
    /// The message is refused; the caller's next sync ends the refusal.
    Refused(sqlstate::BadInput),
    /// A simple query is refused.
    RefusedQuery(sqlstate::BadInput),
    /// A sync that only ends an earlier refusal.
    Resynced,
    /// The caller says goodbye.
    End,
}

/// A complete batch.
#[derive(Debug)]
pub struct Batch {
    /// The encoded messages.
    pub frames: bytes::Bytes,
    /// The statements, in their order.
    pub statements: Vec<statement::Statement>,
    /// Whether the simple protocol is used.
    pub is_simple: bool,
    /// Whether the batch ends with a sync.
    pub sync: bool,
    /// The messages that bring an answer, in their order.
    pub steps: Vec<Step>,
}

impl Batch {
    /// Whether anything runs; a batch may also only prepare and describe.
    pub fn executes(&self) -> bool {
        self.is_simple || self.steps.contains(&Step::Execute)
    }

    /// The class of a batch that is a single statement; plain for all others.
    pub fn class(&self) -> &statement::Class {
        match self.statements.as_slice() {
            [only] => &only.class,
            _ => &statement::Class::Plain,
        }
    }

    /// Whether the batch runs a BEGIN and nothing else.
    pub fn begins(&self) -> bool {
        self.executes() && matches!(self.class(), statement::Class::Begin { .. })
    }

    /// Number of answers that the messages bring before the endpoint waits.
    pub fn answers(&self) -> u32 {
        self.steps.len() as u32
    }

    /// Refuses statements that a pooled connection can't carry, wherever they stand.
    ///
    /// # Errors
    /// The [`sqlstate::BadInput`] of the first such statement.
    pub fn check(&self) -> Result<(), sqlstate::BadInput> {
        for statement in &self.statements {
            let own = match &statement.class {
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
            if self.statements.len() > 1 && own.starts_with(param::PREFIX) {
                return Err(sqlstate::BadInput::NotAlone(own.clone()));
            }
        }
        Ok(())
    }

    /// Refuses what would end a keyed transaction before its key is recorded, or go on
    /// without the key afterwards.
    ///
    /// # Errors
    /// [`sqlstate::BadInput::KeyedControl`].
    pub fn check_keyed(&self, is_open: bool) -> Result<(), sqlstate::BadInput> {
        for (i, statement) in self.statements.iter().enumerate() {
            let is_last = i + 1 == self.statements.len();
            let is_fine = match statement.class {
                statement::Class::Begin { .. } => {
                    self.sync && !is_open && self.statements.len() == 1
                }
                statement::Class::End => is_open && is_last,
                statement::Class::Opaque => false,
                _ => true,
            };
            if !is_fine {
                return Err(sqlstate::BadInput::KeyedControl);
            }
        }
        Ok(())
    }

    /// Refuses what would let a declared read write.
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

/// A message of the extended protocol that brings an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Parse, sent by the caller.
    Parse,
    /// Parse, added here; the caller expects no answer to it.
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

impl Gatherer {
    /// Takes one message.
    pub fn take(&mut self, message: messages::PgWireFrontendMessage) -> Gathered {
        if self.skips_to_sync {
            return self.skip(&message);
        }
        let result = match message {
            messages::PgWireFrontendMessage::Query(query) => return self.simple(query),
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
                return Gathered::Batch(self.finish(false, false));
            }
            messages::PgWireFrontendMessage::Sync(sync) => {
                answer::put(&mut self.frames, &sync);
                return Gathered::Batch(self.finish(false, true));
            }
            messages::PgWireFrontendMessage::Terminate(_) => return Gathered::End,
            _ => Err(sqlstate::BadInput::Protocol(
                "unexpected message".to_owned(),
            )),
        };
        match result {
            Ok(()) if self.frames.len() > MAX_BATCH => {
                self.refuse(sqlstate::BadInput::Protocol("batch too large".to_owned()))
            }
            Ok(()) => Gathered::More,
            Err(input) => self.refuse(input),
        }
    }

    /// Ignores what follows until the caller's next sync.
    pub fn skip_to_sync(&mut self) {
        self.clear();
        self.skips_to_sync = true;
    }

    fn refuse(&mut self, input: sqlstate::BadInput) -> Gathered {
        self.skip_to_sync();
        Gathered::Refused(input)
    }

    fn skip(&mut self, message: &messages::PgWireFrontendMessage) -> Gathered {
        match message {
            messages::PgWireFrontendMessage::Sync(_) => {
                self.skips_to_sync = false;
                Gathered::Resynced
            }
            messages::PgWireFrontendMessage::Terminate(_) => Gathered::End,
            _ => Gathered::More,
        }
    }

    /// Whether messages of an unfinished batch are held.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty() && self.steps.is_empty()
    }

    fn clear(&mut self) {
        self.frames.clear();
        self.statements.clear();
        self.steps.clear();
        self.parsed = None;
    }

    fn finish(&mut self, is_simple: bool, sync: bool) -> Batch {
        let batch = Batch {
            frames: self.frames.split().freeze(),
            statements: std::mem::take(&mut self.statements),
            is_simple,
            sync,
            steps: std::mem::take(&mut self.steps),
        };
        self.clear();
        batch
    }

    fn simple(&mut self, query: messages::simplequery::Query) -> Gathered {
        if !self.frames.is_empty() {
            self.clear();
            let problem = "query in the middle of a batch without its sync";
            return Gathered::RefusedQuery(sqlstate::BadInput::Protocol(problem.to_owned()));
        }
        self.note(&query.query);
        answer::put(&mut self.frames, &query);
        Gathered::Batch(self.finish(true, true))
    }

    fn note(&mut self, text: &str) {
        self.statements.extend(statement::classify_all(text));
    }

    fn parse(&mut self, parse: extendedquery::Parse) -> Result<(), sqlstate::BadInput> {
        let name = parse.name.clone().unwrap_or_default();
        if !self.prepared.contains_key(&name) && self.prepared.len() >= MAX_PREPARED {
            return Err(sqlstate::BadInput::Protocol(
                "too many prepared statements".to_owned(),
            ));
        }
        self.note(&parse.query);
        let prepared = Prepared {
            query: parse.query.clone(),
            types: parse.type_oids.clone(),
        };
        self.prepared.insert(name.clone(), prepared);
        self.parsed = Some(name);
        self.steps.push(Step::Parse);
        answer::put(
            &mut self.frames,
            &extendedquery::Parse::new(None, parse.query, parse.type_oids),
        );
        Ok(())
    }

    /// Makes the unnamed statement of the batch the one that `name` stands for.
    fn bring(&mut self, name: &str) -> Result<(), sqlstate::BadInput> {
        let Some(prepared) = self.prepared.get(name).cloned() else {
            return Err(sqlstate::BadInput::UnknownStatement(name.to_owned()));
        };
        if self.parsed.as_deref() == Some(name) {
            return Ok(());
        }
        self.note(&prepared.query);
        answer::put(
            &mut self.frames,
            &extendedquery::Parse::new(None, prepared.query, prepared.types),
        );
        self.steps.push(Step::AddedParse);
        self.parsed = Some(name.to_owned());
        Ok(())
    }

    fn bind(&mut self, mut bind: extendedquery::Bind) -> Result<(), sqlstate::BadInput> {
        self.bring(bind.statement_name.as_deref().unwrap_or_default())?;
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
            self.bring(describe.name.as_deref().unwrap_or_default())?;
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
            self.prepared
                .remove(close.name.as_deref().unwrap_or_default());
            close.name = None;
        }
        self.steps.push(Step::Close);
        answer::put(&mut self.frames, &close);
    }
}
