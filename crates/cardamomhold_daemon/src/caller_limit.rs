//! The task that enforces each caller's connection limit.

use std::collections;

use cardamomhold_core::name;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Requests to the task.
#[derive(Debug)]
enum Request {
    Acquire {
        caller: name::CallerName,
        limit: usize,
        reply: oneshot::Sender<Option<Permit>>,
    },
    Release(name::CallerName),
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
}

/// Permit for one connection; dropping it releases the permit.
#[derive(Debug)]
pub struct Permit {
    caller: name::CallerName,
    requests: mpsc::Sender<Request>,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start() -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    tokio::spawn(run(mailbox, requests.downgrade()));
    Handle { requests }
}

async fn run(mut mailbox: mpsc::Receiver<Request>, requests: mpsc::WeakSender<Request>) {
    let mut counts: collections::HashMap<name::CallerName, usize> = collections::HashMap::new();
    while let Some(request) = mailbox.recv().await {
        match request {
            Request::Acquire {
                caller,
                limit,
                reply,
            } => {
                let count = counts.get(&caller).copied().unwrap_or_default();
                let permit = requests.upgrade().filter(|_| count < limit);
                let permit = permit.map(|requests| Permit {
                    caller: caller.clone(),
                    requests,
                });
                if permit.is_some() {
                    counts.insert(caller, count + 1);
                }
                // If the requester is gone, the dropped permit releases itself.
                let _ = reply.send(permit);
            }
            Request::Release(caller) => {
                let count = counts.get(&caller).copied().unwrap_or_default();
                if count > 1 {
                    counts.insert(caller, count - 1);
                } else {
                    counts.remove(&caller);
                }
            }
        }
    }
}

impl Handle {
    /// Acquires a permit for one more connection; `None` if the caller has `limit` of them.
    pub async fn acquire(&self, caller: &name::CallerName, limit: usize) -> Option<Permit> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Acquire {
            caller: caller.clone(),
            limit,
            reply,
        };
        self.requests.send(request).await.ok()?;
        answer.await.ok()?
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let request = Request::Release(self.caller.clone());
        if let Err(mpsc::error::TrySendError::Full(request)) = self.requests.try_send(request) {
            let requests = self.requests.clone();
            tokio::spawn(async move { requests.send(request).await });
        }
    }
}
