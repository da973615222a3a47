//! The task that owns the platform stand-in's objects, list and faults.

use std::collections;
use std::time;

use cardamomhold_proto::platform as schema;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// How often the platform was called.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, lists, watches and lists of instances.
    pub reads: u64,
    /// Conditional updates.
    pub writes: u64,
}

/// What the platform holds; published after every change.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The objects, removed ones included.
    pub objects: collections::BTreeMap<String, schema::Object>,
    /// Version of the last change.
    pub version: u64,
    /// The list of instances.
    pub instances: Vec<schema::Instance>,
    /// How often the platform was called.
    pub calls: Calls,
    /// Whether every call fails.
    pub is_down: bool,
    /// Time that every call takes longer.
    pub delay: time::Duration,
    /// Updates whose answers are still to be lost.
    pub lost_answers: u32,
}

/// The conditional update's answer is lost, though it took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLost;

/// What the task is told.
#[derive(Debug)]
pub enum Command {
    /// Counts a call.
    Count {
        /// Whether it is an update.
        is_write: bool,
        /// Told how the platform is doing.
        reply: oneshot::Sender<Health>,
    },
    /// Writes an object if its version is the expected one.
    Put {
        /// The update.
        request: schema::PutRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<schema::PutReply, AnswerLost>>,
    },
    /// Writes an object without a condition.
    Store {
        /// Its name.
        name: String,
        /// Its content.
        value: bytes::Bytes,
    },
    /// Puts an instance on the list.
    List(schema::Instance),
    /// Takes an instance off the list.
    Unlist(String),
    /// Takes the platform down, or brings it back.
    SetDown(bool),
    /// Makes every call take longer.
    SetDelay(time::Duration),
    /// Loses the answers of the next updates.
    LoseAnswers(u32),
}

/// How the platform is doing.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Whether every call fails.
    pub is_down: bool,
    /// Time that every call takes longer.
    pub delay: time::Duration,
}

/// Starts the task; it ends when its last sender is dropped.
pub fn start() -> (mpsc::UnboundedSender<Command>, watch::Receiver<State>) {
    let (commands, mailbox) = mpsc::unbounded_channel();
    let (publisher, state) = watch::channel(State::default());
    tokio::spawn(run(mailbox, publisher));
    (commands, state)
}

async fn run(mut mailbox: mpsc::UnboundedReceiver<Command>, publisher: watch::Sender<State>) {
    while let Some(command) = mailbox.recv().await {
        publisher.send_modify(|state| state.handle(command));
    }
}

impl State {
    fn handle(&mut self, command: Command) {
        // Whoever asked may have stopped waiting.
        match command {
            Command::Count { is_write, reply } => {
                self.count(is_write);
                let _ = reply.send(Health {
                    is_down: self.is_down,
                    delay: self.delay,
                });
            }
            Command::Put { request, reply } => {
                let _ = reply.send(self.put(&request));
            }
            Command::Store { name, value } => {
                self.write(&name, value, false);
            }
            Command::List(instance) => {
                self.instances.retain(|i| i.name != instance.name);
                self.instances.push(instance);
            }
            Command::Unlist(name) => self.instances.retain(|i| i.name != name),
            Command::SetDown(is_down) => self.is_down = is_down,
            Command::SetDelay(delay) => self.delay = delay,
            Command::LoseAnswers(count) => self.lost_answers = count,
        }
    }

    fn count(&mut self, is_write: bool) {
        if is_write {
            self.calls.writes += 1;
        } else {
            self.calls.reads += 1;
        }
    }

    fn put(&mut self, request: &schema::PutRequest) -> Result<schema::PutReply, AnswerLost> {
        let known = self.objects.get(&request.name).cloned();
        let version = known.as_ref().map_or(0, |o| o.version);
        if version != request.expected {
            let object = known.unwrap_or_else(|| unwritten(&request.name));
            return Ok(schema::PutReply {
                object: Some(object),
                conflict: true,
            });
        }
        let object = self.write(&request.name, request.value.clone(), request.remove);
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return Err(AnswerLost);
        }
        Ok(schema::PutReply {
            object: Some(object),
            conflict: false,
        })
    }

    fn write(&mut self, name: &str, value: bytes::Bytes, removed: bool) -> schema::Object {
        self.version += 1;
        let version = self.version;
        let object = schema::Object {
            name: name.to_owned(),
            value,
            version,
            removed,
        };
        self.objects.insert(name.to_owned(), object.clone());
        object
    }

    /// The objects under a prefix that changed after a version, the oldest first.
    pub fn newer(&self, prefix: &str, since: u64) -> Vec<schema::Object> {
        let objects = self.objects.values();
        let wanted = objects.filter(|o| o.version > since && o.name.starts_with(prefix));
        let mut newer: Vec<schema::Object> = wanted.cloned().collect();
        newer.sort_by_key(|o| o.version);
        newer
    }
}

/// An object that was never written.
pub fn unwritten(name: &str) -> schema::Object {
    schema::Object {
        name: name.to_owned(),
        ..Default::default()
    }
}
