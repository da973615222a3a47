//! Leave for write transactions: who may write in which term, and who still does.

use cardamomhold_core::name;
use cardamomhold_core::position;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::group;

/// Leave for one write transaction; its end is told to the group's task.
#[derive(Debug)]
pub struct Admission {
    requests: mpsc::WeakSender<group::Request>,
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Admission {
    /// The group's newest term, to wait for the end of the transaction's own.
    pub fn term_watch(&self) -> TermWatch {
        TermWatch {
            newest: self.newest.clone(),
            term: self.term,
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let Some(requests) = self.requests.upgrade() else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(request)) =
            requests.try_send(group::Request::WriteEnded)
        {
            tokio::spawn(async move { requests.send(request).await });
        }
    }
}

/// Waits for the end of a term.
#[derive(Debug)]
pub struct TermWatch {
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl TermWatch {
    /// Returns once the group is in a later term.
    pub async fn ended(&mut self) {
        let term = self.term;
        if self.newest.wait_for(|newest| *newest > term).await.is_err() {
            // The group's task has ended, and nobody will tell of a later term.
            std::future::pending::<()>().await;
        }
    }
}

/// A write transaction that waits to be let in.
#[derive(Debug)]
pub struct PendingWrite {
    /// Where it wants to write.
    pub member: name::MemberName,
    /// Term of the caller's view.
    pub term: position::Term,
    /// Told when it may run; dropped when the term is over.
    pub reply: oneshot::Sender<Admission>,
}

/// The write transactions that wait, and the number of those that run.
#[derive(Debug, Default)]
pub struct Gate {
    waiting: Vec<PendingWrite>,
    running: usize,
}

impl Gate {
    /// Takes one in that wants to write.
    pub fn push(&mut self, write: PendingWrite) {
        self.waiting.push(write);
    }

    /// Takes note that one has ended.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Number of those that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Lets in those for which the primary is open; drops those whose term is over.
    pub fn admit_waiting(
        &mut self,
        newest: &watch::Receiver<position::Term>,
        requests: &mpsc::WeakSender<group::Request>,
        is_open: impl Fn(&PendingWrite) -> bool,
    ) {
        let mut waiting = Vec::new();
        let term = *newest.borrow();
        for write in std::mem::take(&mut self.waiting) {
            if write.reply.is_closed() || term > write.term {
                // A dropped reply tells that the term is over.
                continue;
            }
            if !is_open(&write) {
                waiting.push(write);
                continue;
            }
            self.running += 1;
            let admission = Admission {
                requests: requests.clone(),
                newest: newest.clone(),
                term: write.term,
            };
            // A pass that can't be handed over comes back when it is dropped.
            let _ = write.reply.send(admission);
        }
        self.waiting = waiting;
    }
}
