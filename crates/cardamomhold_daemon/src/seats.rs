//! The task that counts each caller's connections and keeps them within their limit.

use std::collections;

use cardamomhold_core::name;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Messages that wait for the task.
const MAILBOX: usize = 1024;

/// What the task is asked.
#[derive(Debug)]
enum Request {
    Take {
        caller: name::CallerName,
        limit: usize,
        reply: oneshot::Sender<Option<Seat>>,
    },
    Leave(name::CallerName),
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
}

/// A connection's place; dropping it frees the place.
#[derive(Debug)]
pub struct Seat {
    caller: name::CallerName,
    requests: mpsc::Sender<Request>,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start() -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    tokio::spawn(run(mailbox, requests.downgrade()));
    Handle { requests }
}

async fn run(mut mailbox: mpsc::Receiver<Request>, requests: mpsc::WeakSender<Request>) {
    let mut counts: collections::HashMap<name::CallerName, usize> = collections::HashMap::new();
    while let Some(request) = mailbox.recv().await {
        match request {
            Request::Take {
                caller,
                limit,
                reply,
            } => {
                let count = counts.get(&caller).copied().unwrap_or_default();
                let seat = requests.upgrade().filter(|_| count < limit);
                let seat = seat.map(|requests| Seat {
                    caller: caller.clone(),
                    requests,
                });
                if seat.is_some() {
                    counts.insert(caller, count + 1);
                }
                // A seat that nobody takes frees itself.
                let _ = reply.send(seat);
            }
            Request::Leave(caller) => {
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
    /// A place for one more connection; none when the caller has `limit` of them.
    pub async fn take(&self, caller: &name::CallerName, limit: usize) -> Option<Seat> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Take {
            caller: caller.clone(),
            limit,
            reply,
        };
        self.requests.send(request).await.ok()?;
        answer.await.ok()?
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let request = Request::Leave(self.caller.clone());
        if let Err(mpsc::error::TrySendError::Full(request)) = self.requests.try_send(request) {
            let requests = self.requests.clone();
            tokio::spawn(async move { requests.send(request).await });
        }
    }
}
