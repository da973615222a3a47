//! The task that owns a member's log and data.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::engine;
use crate::log;

/// How a member behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the member.
    pub name: String,
    /// Name of the group, which is the database.
    pub group: String,
    /// Time between receiving and applying an entry.
    pub apply_lag: time::Duration,
    /// Statements that run at once.
    pub slots: usize,
    /// Time that each statement takes in its slot.
    pub service: time::Duration,
    /// Greatest number of connections.
    pub connections: usize,
}

impl Options {
    /// A prompt member with today's usual sizes.
    pub fn new(name: &str, group: &str) -> Self {
        Self {
            name: name.to_owned(),
            group: group.to_owned(),
            apply_lag: time::Duration::ZERO,
            slots: 3,
            service: time::Duration::ZERO,
            connections: 50,
        }
    }
}

/// What the other tasks ask of the member's task.
#[derive(Debug)]
pub enum Request {
    /// Runs one statement outside a transaction.
    Run {
        /// The statement.
        statement: log::Statement,
        /// Whether writes are refused.
        read_only: bool,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<engine::Answer, engine::SqlError>>,
    },
    /// Describes a statement.
    Describe {
        /// The text.
        sql: String,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<engine::Description, engine::SqlError>>,
    },
    /// Makes a private copy of the data.
    Copy(oneshot::Sender<Result<engine::Engine, engine::SqlError>>),
    /// Commits a transaction's writes.
    Commit {
        /// The writes, in their order.
        statements: Vec<log::Statement>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<(), engine::SqlError>>,
    },
    /// Reads entries for a follower.
    Fetch {
        /// Position after which entries are wanted.
        after: position::LogPosition,
        /// Where the answer goes.
        reply: oneshot::Sender<Vec<log::Entry>>,
    },
    /// Reads the log's terms.
    Segments(oneshot::Sender<Vec<log::Segment>>),
    /// Fences the member.
    Fence(position::Term, oneshot::Sender<bool>),
    /// Makes the member primary.
    Promote(position::Term, oneshot::Sender<bool>),
    /// Makes the member follow a primary.
    Follow(position::Term, String, oneshot::Sender<bool>),
    /// Makes the member ask for no new work, or for work again.
    Leave(bool, oneshot::Sender<()>),
    /// From the follower task: the stream of a term starts.
    Joined {
        /// Number of the order to follow.
        stream: u64,
        /// The term.
        term: position::Term,
        /// Position after which the stream's entries come.
        at: position::LogPosition,
        /// Position after which the term's own entries come.
        first: position::LogPosition,
    },
    /// From the follower task: entries of a term, which may be none.
    Received {
        /// Number of the order to follow.
        stream: u64,
        /// The term.
        term: position::Term,
        /// The entries.
        entries: Vec<log::Entry>,
    },
}

/// What a member publishes of itself.
#[derive(Debug, Clone)]
pub struct Published {
    /// Its status, but for ages.
    pub status: status::MemberStatus,
    /// When a replica last heard from its primary.
    pub heard: time::Instant,
    /// When the newest data that reads see was current.
    pub fresh: time::Instant,
}

/// Handle of a member's task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Requests to the task.
    pub requests: mpsc::Sender<Request>,
    /// What the member publishes.
    pub published: watch::Receiver<Published>,
}

#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) due: tokio::time::Instant,
    pub(crate) taken: time::Instant,
    pub(crate) entry: log::Entry,
}

pub(crate) struct Member {
    pub(crate) options: Options,
    pub(crate) engine: engine::Engine,
    pub(crate) log: log::Log,
    pub(crate) pending: collections::VecDeque<Pending>,
    pub(crate) publisher: watch::Sender<Published>,
    pub(crate) follower: Option<tokio::task::JoinHandle<()>>,
    /// Where the followed term starts, once its stream has begun.
    pub(crate) joined: Option<position::LogPosition>,
    /// Number of the latest order to follow.
    pub(crate) stream: u64,
    pub(crate) requests: mpsc::WeakSender<Request>,
}

/// Starts a member's task with the log that it kept.
///
/// # Errors
/// [`engine::SqlError`] when the log can't be replayed.
pub fn start(options: Options, kept: Kept) -> Result<Handle, engine::SqlError> {
    let engine = engine::Engine::new()?;
    for entry in kept.log.after(position::LogPosition(0)) {
        // A statement that failed on the primary's data never got into the log.
        engine.commit(&entry.statements)?;
    }
    let (sender, receiver) = mpsc::channel(256);
    let now = time::Instant::now();
    let status = status::MemberStatus {
        role: kept.role,
        term: kept.term,
        fenced: kept.fenced,
        received: kept.log.end(),
        applied: kept.log.end(),
        silence: time::Duration::ZERO,
        lag: time::Duration::ZERO,
        leaving: false,
    };
    let publisher = watch::Sender::new(Published {
        status,
        heard: now,
        fresh: now,
    });
    let published = publisher.subscribe();
    let member = Member {
        options,
        engine,
        log: kept.log,
        pending: collections::VecDeque::new(),
        publisher,
        follower: None,
        joined: None,
        stream: 0,
        requests: sender.downgrade(),
    };
    tokio::spawn(member.run(receiver, kept.sink));
    Ok(Handle {
        requests: sender,
        published,
    })
}

/// What a member keeps over a restart.
#[derive(Debug)]
pub struct Kept {
    /// The log.
    pub log: log::Log,
    /// The part it played.
    pub role: status::MemberRole,
    /// Term of its log.
    pub term: position::Term,
    /// Term it is fenced at.
    pub fenced: position::Term,
    /// Where the task leaves all of this when it ends.
    pub sink: oneshot::Sender<Box<Kept>>,
}

impl Member {
    async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        sink: oneshot::Sender<Box<Kept>>,
    ) {
        loop {
            let due = self.pending.front().map(|p| p.due);
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle(request),
                    None => break,
                },
                () = sleep_until(due) => {}
            }
            self.apply_due();
        }
        if let Some(task) = self.follower.take() {
            task.abort();
        }
        let status = self.publisher.borrow().status.clone();
        let (spare, _) = oneshot::channel();
        let kept = Kept {
            log: self.log,
            role: status.role,
            term: status.term,
            fenced: status.fenced,
            sink: spare,
        };
        // Nobody may wait for the kept state any more.
        let _ = sink.send(Box::new(kept));
    }

    fn handle(&mut self, request: Request) {
        // A requester that went away needs no answer.
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
            Request::Leave(leaving, reply) => {
                self.publisher.send_modify(|p| p.status.leaving = leaving);
                let _ = reply.send(());
            }
            // An earlier follower's last items may come after it was stopped.
            Request::Joined { stream, .. } | Request::Received { stream, .. }
                if stream != self.stream => {}
            Request::Joined {
                term, at, first, ..
            } => self.joined(term, at, first),
            Request::Received { term, entries, .. } => self.received(term, entries),
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

async fn sleep_until(due: Option<tokio::time::Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
