//! The task that reads and writes the groups' leaderships at the platform.

use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_group::leadership;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use tokio::sync::mpsc;

use crate::config;
use crate::group;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// One call to the platform.
#[derive(Debug)]
pub struct Call {
    /// The group.
    pub group: name::GroupName,
    /// Operation to run.
    pub operation: Operation,
    /// The group's task, which gets the answer.
    pub reply: mpsc::WeakSender<group::Request>,
}

/// Operation of a call.
#[derive(Debug)]
pub enum Operation {
    /// Reads the leadership.
    Read,
    /// Writes the leadership if its version is the expected one.
    Write {
        /// The new content.
        leadership: leadership::Leadership,
        /// The expected version.
        expected: u64,
    },
}

/// The leadership stored at the platform.
#[derive(Debug)]
pub struct Stored {
    /// Its content; `None` if it does not exist.
    pub leadership: Option<leadership::Leadership>,
    /// Its version.
    pub version: u64,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start<P: Platform>(
    platform: P,
    author: name::InstanceName,
    updates: mpsc::Sender<config::Update>,
) -> mpsc::Sender<Call> {
    let (calls, mut mailbox) = mpsc::channel::<Call>(MAILBOX_CAPACITY);
    tokio::spawn(async move {
        while let Some(call) = mailbox.recv().await {
            // A slow answer for one group must not delay another group's change.
            tokio::spawn(serve(
                platform.clone(),
                author.clone(),
                updates.clone(),
                call,
            ));
        }
    });
    calls
}

async fn serve<P: Platform>(
    platform: P,
    author: name::InstanceName,
    updates: mpsc::Sender<config::Update>,
    call: Call,
) {
    let name = object::ObjectName::Leadership(call.group.clone()).to_string();
    let answer = match call.operation {
        Operation::Read => platform.get(&name).await,
        Operation::Write {
            leadership,
            expected,
        } => write(&platform, &author, &name, leadership, expected).await,
    };
    let stored = match answer {
        Ok(object) => Some(publish(object, &updates).await),
        Err(error) => {
            log::warn!(
                "event=leadership_call_failed group={} error={error}",
                call.group
            );
            None
        }
    };
    if let Some(reply) = call.reply.upgrade() {
        // The group may have been removed in the meantime.
        let _ = reply.send(group::Request::Stored(stored)).await;
    }
}

async fn write<P: Platform>(
    platform: &P,
    author: &name::InstanceName,
    name: &str,
    leadership: leadership::Leadership,
    expected: u64,
) -> Result<client::Object, client::PlatformError> {
    let envelope = object::Envelope {
        author: author.to_string(),
        change: uuid::Uuid::now_v7().to_string(),
        spec: object::Spec::Leadership(leadership),
        // The instances log every change of primary; the object keeps the last one only.
        history: Vec::new(),
    };
    let value = serde_json::to_vec(&envelope).map_err(|_| client::PlatformError::BadAnswer)?;
    match platform.put(name, Some(&value), expected).await? {
        client::PutOutcome::Accepted(object) | client::PutOutcome::Conflict(object) => Ok(object),
    }
}

/// Sends the object to this instance's configuration immediately, without waiting for the watch.
async fn publish(object: client::Object, updates: &mpsc::Sender<config::Update>) -> Stored {
    let change = config::change_of(object);
    let envelope = serde_json::from_slice::<object::Envelope>(&change.value).ok();
    let leadership = match envelope.map(|e| e.spec) {
        Some(object::Spec::Leadership(leadership)) if !change.removed => Some(leadership),
        _ => None,
    };
    let version = change.version;
    if version > 0 {
        // If the send fails, the watch still delivers the change.
        let _ = updates.send(config::Update::Change(change)).await;
    }
    Stored {
        leadership,
        version,
    }
}
