//! The task that reads the control objects from the store at the coordinator's request.

use std::time;

use tokio::sync::mpsc;

use crate::clock;
use crate::control;
use crate::coordinator;
use crate::store;

/// Timeout of a read.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Capacity of the request queue; one waiting request is enough, as all get the same answer.
const QUEUE_CAPACITY: usize = 1;

/// Requests reads.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<()>,
}

impl Handle {
    /// Requests a read, unless a request is waiting already.
    pub fn read(&self) {
        // When the queue is full, the waiting request serves this one as well.
        let _ = self.requests.try_send(());
    }
}

/// Starts the task.
pub fn start<S: store::Store>(store: S, coordinator: coordinator::Handle) -> Handle {
    let (requests, mut mailbox) = mpsc::channel(QUEUE_CAPACITY);
    tokio::task::spawn_local(async move {
        while mailbox.recv().await.is_some() {
            let sent = clock::now();
            let reading = tokio::time::timeout(
                READ_TIMEOUT,
                store.list(store::CONTROL_KIND, store::Freshness::Latest),
            );
            let event = match reading.await {
                Ok(Ok(listing)) => {
                    coordinator::Event::ControlRead(sent, control::Control::read(&listing))
                }
                Ok(Err(error)) => coordinator::Event::ControlReadFailed(error.to_string()),
                Err(_) => coordinator::Event::ControlReadFailed("timeout".to_owned()),
            };
            coordinator.send(event);
        }
    });
    Handle { requests }
}
