//! Task that owns the objects, instance list and faults of the platform stand-in.

use std::collections;
use std::time;

use cardamomhold_proto::platform as schema;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Number of calls to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Number of `Get`, `List`, `Watch` and `Instances` calls.
    pub reads: u64,
    /// Number of `Put` calls.
    pub writes: u64,
}

/// State of the platform, published after every change.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Objects by name, including removed ones.
    pub objects: collections::BTreeMap<String, schema::Object>,
    /// Version of the last change.
    pub version: u64,
    /// List of instances.
    pub instances: Vec<schema::Instance>,
    /// Number of calls so far.
    pub calls: Calls,
    /// Whether every call fails.
    pub is_down: bool,
    /// Delay of every call.
    pub delay: time::Duration,
    /// Number of coming updates whose answers are dropped.
    pub lost_answers: u32,
}

/// Error of a conditional update that took effect but whose answer is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLost;

/// Command to the task.
#[derive(Debug)]
pub enum Command {
    /// Counts a call and returns the faults in force.
    Count {
        /// Whether the call is an update.
        is_write: bool,
        /// Channel for the faults in force.
        reply: oneshot::Sender<Health>,
    },
    /// Writes an object if its version is the expected one.
    Put {
        /// The update.
        request: schema::PutRequest,
        /// Channel for the result.
        reply: oneshot::Sender<Result<schema::PutReply, AnswerLost>>,
    },
    /// Writes an object unconditionally.
    Store {
        /// Name of the object.
        name: String,
        /// Content of the object.
        value: bytes::Bytes,
    },
    /// Adds an instance to the list, or replaces its entry.
    PutInstance(schema::Instance),
    /// Removes an instance from the list.
    RemoveInstance(String),
    /// Sets whether every call fails.
    SetDown(bool),
    /// Sets the delay of every call.
    SetDelay(time::Duration),
    /// Drops the answers to this number of coming updates.
    LoseAnswers(u32),
}

/// Faults of the platform that apply to a call.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Whether every call fails.
    pub is_down: bool,
    /// Delay of every call.
    pub delay: time::Duration,
}

/// Starts the task, which ends when its last sender is dropped.
pub fn start() -> (mpsc::UnboundedSender<Command>, watch::Receiver<State>) {
    let (commands, receiver) = mpsc::unbounded_channel();
    let (publisher, state) = watch::channel(State::default());
    tokio::spawn(run(receiver, publisher));
    (commands, state)
}

async fn run(mut receiver: mpsc::UnboundedReceiver<Command>, publisher: watch::Sender<State>) {
    while let Some(command) = receiver.recv().await {
        publisher.send_modify(|state| state.handle(command));
    }
}

impl State {
    fn handle(&mut self, command: Command) {
        // A send on `reply` fails when the caller no longer waits; that is ignored.
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
            Command::PutInstance(instance) => {
                self.instances.retain(|i| i.name != instance.name);
                self.instances.push(instance);
            }
            Command::RemoveInstance(name) => self.instances.retain(|i| i.name != name),
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
        let stored = self.objects.get(&request.name).cloned();
        let version = stored.as_ref().map_or(0, |o| o.version);
        if version != request.expected {
            let object = stored.unwrap_or_else(|| unwritten(&request.name));
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

    /// Returns the objects under a prefix that changed after a version, oldest change first.
    pub fn changed_since(&self, prefix: &str, since: u64) -> Vec<schema::Object> {
        let objects = self.objects.values();
        let wanted = objects.filter(|o| o.version > since && o.name.starts_with(prefix));
        let mut changed: Vec<schema::Object> = wanted.cloned().collect();
        changed.sort_by_key(|o| o.version);
        changed
    }
}

/// Returns the reply value for an object that was never written.
pub fn unwritten(name: &str) -> schema::Object {
    schema::Object {
        name: name.to_owned(),
        ..Default::default()
    }
}
