//! Counts the tasks for which a stopping process goes on.

use std::sync;

use tokio::sync::watch;

/// The tasks that use the process.
#[derive(Debug, Clone, Default)]
pub struct Users {
    count: sync::Arc<watch::Sender<usize>>,
}

/// One task's use of the process, which ends when it is dropped.
#[derive(Debug)]
pub struct User {
    users: Users,
}

impl Users {
    /// Counts a task.
    pub fn enter(&self) -> User {
        self.count.send_modify(|c| *c += 1);
        User {
            users: self.clone(),
        }
    }

    /// Waits until no task uses the process.
    pub async fn gone(&self) {
        // The sender is kept here, so that the wait can't fail.
        let _ = self.count.subscribe().wait_for(|c| *c == 0).await;
    }
}

impl Drop for User {
    fn drop(&mut self) {
        self.users.count.send_modify(|c| *c -= 1);
    }
}
