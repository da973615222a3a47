//! Task that owns the log and the database of a member.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::engine;
use crate::log;

/// Options of a member.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the member.
    pub name: String,
    /// Name of the group, which clients give as the database name.
    pub group: String,
    /// Delay between receiving and applying an entry.
    pub apply_lag: time::Duration,
    /// Maximum number of statements that run concurrently.
    pub slots: usize,
    /// Time that each statement occupies its slot.
    pub service_time: time::Duration,
    /// Maximum number of connections.
    pub connections: usize,
}

impl Options {
    /// Returns the default options: no delays, 3 slots and 50 connections.
    pub fn new(name: &str, group: &str) -> Self {
        Self {
            name: name.to_owned(),
            group: group.to_owned(),
            apply_lag: time::Duration::ZERO,
            slots: 3,
            service_time: time::Duration::ZERO,
            connections: 50,
        }
    }
}

/// Request to the member's task.
#[derive(Debug)]
pub enum Request {
    /// Runs one statement outside a transaction.
    Run {
        /// The statement.
        statement: log::Statement,
        /// Whether to reject writes.
        read_only: bool,
        /// Channel for the result.
        reply: oneshot::Sender<Result<engine::Answer, engine::SqlError>>,
    },
    /// Returns the parameters and columns of a statement.
    Describe {
        /// SQL text.
        sql: String,
        /// Channel for the result.
        reply: oneshot::Sender<Result<engine::Description, engine::SqlError>>,
    },
    /// Copies the database, so that a transaction can work on its own copy.
    Copy(oneshot::Sender<Result<engine::Engine, engine::SqlError>>),
    /// Commits the writes of a transaction.
    Commit {
        /// The writes in execution order.
        statements: Vec<log::Statement>,
        /// Channel for the result.
        reply: oneshot::Sender<Result<(), engine::SqlError>>,
    },
    /// Returns log entries for a follower.
    Fetch {
        /// Position after which the entries start.
        after: position::LogPosition,
        /// Channel for the entries.
        reply: oneshot::Sender<Vec<log::Entry>>,
    },
    /// Returns the segments of the log.
    Segments(oneshot::Sender<Vec<log::Segment>>),
    /// Fences the member at a term. Returns whether the member accepted.
    Fence(position::Term, oneshot::Sender<bool>),
    /// Makes the member the primary of a term. Returns whether the member accepted.
    Promote(position::Term, oneshot::Sender<bool>),
    /// Makes the member follow the primary of a term at an address. Returns whether the member
    /// accepted.
    Follow(position::Term, String, oneshot::Sender<bool>),
    /// Sets whether the member reports that it is leaving and wants no new transactions.
    SetLeaving(bool, oneshot::Sender<()>),
    /// From the follower task: the stream of a term has started.
    StreamStarted {
        /// Number of the follow command.
        stream_id: u64,
        /// The term.
        term: position::Term,
        /// Position after which the stream starts.
        start: position::LogPosition,
        /// Position after which the entries of the term start.
        term_start: position::LogPosition,
    },
    /// From the follower task: entries of a stream; empty for a heartbeat.
    EntriesReceived {
        /// Number of the follow command.
        stream_id: u64,
        /// Term of the followed primary.
        term: position::Term,
        /// The entries.
        entries: Vec<log::Entry>,
    },
}

/// Published state of a member.
#[derive(Debug, Clone)]
pub struct Published {
    /// Status; `silence` and `lag` are not updated here.
    pub status: status::MemberStatus,
    /// Time at which a replica last received an item from its primary.
    pub last_contact: time::Instant,
    /// Time as of which a replica's applied data was up to date; the lag counts from it.
    pub data_time: time::Instant,
}

/// Handle of a member's task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Sender of requests to the task.
    pub requests: mpsc::Sender<Request>,
    /// Published state of the member.
    pub published: watch::Receiver<Published>,
}

#[derive(Debug)]
pub(crate) struct PendingEntry {
    pub(crate) apply_at: tokio::time::Instant,
    pub(crate) received_at: time::Instant,
    pub(crate) entry: log::Entry,
}

pub(crate) struct Member {
    pub(crate) options: Options,
    pub(crate) engine: engine::Engine,
    pub(crate) log: log::Log,
    pub(crate) pending: collections::VecDeque<PendingEntry>,
    pub(crate) publisher: watch::Sender<Published>,
    pub(crate) follower: Option<tokio::task::JoinHandle<()>>,
    /// Position after which the followed term starts; `None` until its stream has started.
    pub(crate) followed_term_start: Option<position::LogPosition>,
    /// Number of the latest follow command.
    pub(crate) stream_id: u64,
    pub(crate) requests: mpsc::WeakSender<Request>,
}

/// Starts the task of a member from its saved state.
///
/// # Errors
/// [`engine::SqlError`] when the log can't be replayed.
pub fn start(options: Options, saved: SavedState) -> Result<Handle, engine::SqlError> {
    let engine = engine::Engine::new()?;
    for entry in saved.log.after(position::LogPosition(0)) {
        // The log holds only transactions that succeeded on the primary.
        engine.commit(&entry.statements)?;
    }
    let (sender, receiver) = mpsc::channel(256);
    let now = time::Instant::now();
    let status = status::MemberStatus {
        role: saved.role,
        term: saved.term,
        fenced: saved.fenced,
        received: saved.log.end(),
        applied: saved.log.end(),
        silence: time::Duration::ZERO,
        lag: time::Duration::ZERO,
        leaving: false,
    };
    let publisher = watch::Sender::new(Published {
        status,
        last_contact: now,
        data_time: now,
    });
    let published = publisher.subscribe();
    let member = Member {
        options,
        engine,
        log: saved.log,
        pending: collections::VecDeque::new(),
        publisher,
        follower: None,
        followed_term_start: None,
        stream_id: 0,
        requests: sender.downgrade(),
    };
    tokio::spawn(member.run(receiver, saved.sink));
    Ok(Handle {
        requests: sender,
        published,
    })
}

/// State of a member that survives a restart.
#[derive(Debug)]
pub struct SavedState {
    /// The log.
    pub log: log::Log,
    /// Last role.
    pub role: status::MemberRole,
    /// Term of the log.
    pub term: position::Term,
    /// Term at which the member is fenced.
    pub fenced: position::Term,
    /// Channel on which the task sends its state when it ends.
    pub sink: oneshot::Sender<Box<SavedState>>,
}

impl Member {
    async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        sink: oneshot::Sender<Box<SavedState>>,
    ) {
        loop {
            let apply_at = self.pending.front().map(|p| p.apply_at);
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle(request),
                    None => break,
                },
                () = sleep_until(apply_at) => {}
            }
            self.apply_due();
        }
        if let Some(task) = self.follower.take() {
            task.abort();
        }
        let status = self.publisher.borrow().status.clone();
        let (unused, _) = oneshot::channel();
        let saved = SavedState {
            log: self.log,
            role: status.role,
            term: status.term,
            fenced: status.fenced,
            sink: unused,
        };
        // The send fails when the endpoint no longer waits for the state.
        let _ = sink.send(Box::new(saved));
    }

    fn handle(&mut self, request: Request) {
        // A send on `reply` fails when the requester no longer waits; that is ignored.
        match request {
            Request::Run {
                statement,
                read_only,
                reply,
            } => {
                let _ = reply.send(self.run_statement(statement, read_only));
            }
            Request::Describe { sql, reply } => {
                let _ = reply.send(self.engine.describe(&sql));
            }
            Request::Copy(reply) => {
                let _ = reply.send(self.engine.copy());
            }
            Request::Commit { statements, reply } => {
                let _ = reply.send(self.commit(statements));
            }
            Request::Fetch { after, reply } => {
                let _ = reply.send(self.log.after(after).to_vec());
            }
            Request::Segments(reply) => {
                let _ = reply.send(self.log.segments());
            }
            Request::Fence(term, reply) => {
                let _ = reply.send(self.fence(term));
            }
            Request::Promote(term, reply) => {
                let _ = reply.send(self.promote(term));
            }
            Request::Follow(term, address, reply) => {
                let _ = reply.send(self.follow(term, address));
            }
            Request::SetLeaving(leaving, reply) => {
                self.publisher.send_modify(|p| p.status.leaving = leaving);
                let _ = reply.send(());
            }
            // Ignores late items of an earlier follower task, which may arrive after it was stopped.
            Request::StreamStarted { stream_id, .. }
            | Request::EntriesReceived { stream_id, .. }
                if stream_id != self.stream_id => {}
            Request::StreamStarted {
                term,
                start,
                term_start,
                ..
            } => self.start_stream(term, start, term_start),
            Request::EntriesReceived { term, entries, .. } => self.receive_entries(term, entries),
        }
    }

    pub(crate) fn status(&self) -> status::MemberStatus {
        self.publisher.borrow().status.clone()
    }

    pub(crate) fn is_primary(&self) -> bool {
        self.publisher.borrow().status.role == status::MemberRole::Primary
    }

    fn run_statement(
        &mut self,
        statement: log::Statement,
        read_only: bool,
    ) -> Result<engine::Answer, engine::SqlError> {
        let answer = self
            .engine
            .run(&statement, read_only || !self.is_primary())?;
        if answer.is_write {
            self.append(vec![statement]);
        }
        Ok(answer)
    }

    fn commit(&mut self, statements: Vec<log::Statement>) -> Result<(), engine::SqlError> {
        if statements.is_empty() {
            return Ok(());
        }
        if !self.is_primary() {
            let message = "not a primary any more".to_owned();
            return Err(engine::SqlError {
                code: "25006",
                message,
            });
        }
        self.engine.commit(&statements)?;
        self.append(statements);
        Ok(())
    }

    fn append(&mut self, statements: Vec<log::Statement>) {
        let term = self.status().term;
        self.log.append(log::Entry { term, statements });
        let end = self.log.end();
        self.publisher.send_modify(|p| {
            p.status.received = end;
            p.status.applied = end;
        });
    }
}

async fn sleep_until(apply_at: Option<tokio::time::Instant>) {
    match apply_at {
        Some(apply_at) => tokio::time::sleep_until(apply_at).await,
        None => std::future::pending().await,
    }
}
