//! The task that reads the leaderships from the store again and again.

use std::time;

use crate::clock;
use crate::control;
use crate::keeper;
use crate::store;

/// Time between two readings.
const EVERY: time::Duration = time::Duration::from_millis(400);

/// Time between two readings while the store does not answer.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// Longest wait for the store.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Starts the task.
pub fn start<S: store::Store>(store: S, keeper: keeper::Handle) {
    tokio::task::spawn_local(async move {
        loop {
            let asked = clock::now();
            let reading = tokio::time::timeout(TIMEOUT, store.list(store::CONTROL));
            let pause = match reading.await {
                Ok(Ok(listing)) => {
                    let control = control::Control::read(&listing);
                    keeper.tell(keeper::Event::Confirmed(asked, control));
                    EVERY
                }
                Ok(Err(error)) => {
                    keeper.tell(keeper::Event::Unconfirmed(error.to_string()));
                    RETRY
                }
                Err(_) => {
                    keeper.tell(keeper::Event::Unconfirmed("timeout".to_owned()));
                    RETRY
                }
            };
            tokio::time::sleep(pause).await;
        }
    });
}
