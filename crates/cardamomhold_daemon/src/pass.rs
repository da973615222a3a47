//! Leave for write transactions: who may write in which term, and who still does.

use cardamomhold_core::name;
use cardamomhold_core::position;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::group;

/// Leave for one write transaction; its end is told to the group's task.
#[derive(Debug)]
pub struct Pass {
    requests: mpsc::WeakSender<group::Request>,
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Pass {
    /// The group's newest term, to wait for the end of the transaction's own.
    pub fn watch(&self) -> Replaced {
        Replaced {
            newest: self.newest.clone(),
            term: self.term,
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let Some(requests) = self.requests.upgrade() else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(left)) = requests.try_send(group::Request::Left)
        {
            tokio::spawn(async move { requests.send(left).await });
        }
    }
}

/// Waits for the end of a term.
#[derive(Debug)]
pub struct Replaced {
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Replaced {
    /// Returns once the group is in a later term.
    pub async fn wait(&mut self) {
        let term = self.term;
        if self.newest.wait_for(|newest| *newest > term).await.is_err() {
            // The group's task has ended, and nobody will tell of a later term.
            std::future::pending::<()>().await;
        }
    }
}

/// A write transaction that waits to be let in.
#[derive(Debug)]
pub struct Entry {
    /// Where it wants to write.
    pub member: name::MemberName,
    /// Term of the caller's view.
    pub term: position::Term,
    /// Told when it may run; dropped when the term is over.
    pub reply: oneshot::Sender<Pass>,
}

/// The write transactions that wait, and the number of those that run.
#[derive(Debug, Default)]
pub struct Entries {
    waiting: Vec<Entry>,
    running: usize,
}

impl Entries {
    /// Takes one in that wants to write.
    pub fn push(&mut self, entry: Entry) {
        self.waiting.push(entry);
    }

    /// Takes note that one has ended.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Number of those that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Lets in those for which the primary is open; drops those whose term is over.
    pub fn admit(
        &mut self,
        newest: &watch::Receiver<position::Term>,
        requests: &mpsc::WeakSender<group::Request>,
        is_open: impl Fn(&Entry) -> bool,
    ) {
        let mut waiting = Vec::new();
        let term = *newest.borrow();
        for entry in std::mem::take(&mut self.waiting) {
            if entry.reply.is_closed() || term > entry.term {
                // A dropped reply tells that the term is over.
                continue;
            }
            if !is_open(&entry) {
                waiting.push(entry);
                continue;
            }
            self.running += 1;
            let pass = Pass {
                requests: requests.clone(),
                newest: newest.clone(),
                term: entry.term,
            };
            // A pass that can't be handed over comes back when it is dropped.
            let _ = entry.reply.send(pass);
        }
        self.waiting = waiting;
    }
}
