//! The task that reads the control objects from the store when the keeper asks for it.

use std::time;

use tokio::sync::mpsc;

use crate::clock;
use crate::control;
use crate::keeper;
use crate::store;

/// Longest wait for the store.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Questions that wait; more are of no use.
const MAILBOX: usize = 1;

/// Asks for a reading.
#[derive(Debug, Clone)]
pub struct Handle {
    questions: mpsc::Sender<()>,
}

impl Handle {
    /// Asks for a reading, unless one is under way.
    pub fn read(&self) {
        // A reading that is under way answers this question as well.
        let _ = self.questions.try_send(());
    }
}

/// Starts the task.
pub fn start<S: store::Store>(store: S, keeper: keeper::Handle) -> Handle {
    let (questions, mut mailbox) = mpsc::channel(MAILBOX);
    tokio::task::spawn_local(async move {
        while mailbox.recv().await.is_some() {
            let asked = clock::now();
            let reading = tokio::time::timeout(TIMEOUT, store.list(store::CONTROL));
            let event = match reading.await {
                Ok(Ok(listing)) => {
                    keeper::Event::Confirmed(asked, control::Control::read(&listing))
                }
                Ok(Err(error)) => keeper::Event::Unconfirmed(error.to_string()),
                Err(_) => keeper::Event::Unconfirmed("timeout".to_owned()),
            };
            keeper.tell(event);
        }
    });
    Handle { questions }
}
