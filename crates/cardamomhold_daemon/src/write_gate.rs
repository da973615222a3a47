//! Admits write transactions in the current term and counts the running ones.

use cardamomhold_core::name;
use cardamomhold_core::position;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::group;

/// Admission of one write transaction; dropping it reports the end to the group's task.
#[derive(Debug)]
pub struct Admission {
    requests: mpsc::WeakSender<group::Request>,
    newest_term: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Admission {
    /// Returns a watch for the end of the transaction's term.
    pub fn term_watch(&self) -> TermWatch {
        TermWatch {
            newest_term: self.newest_term.clone(),
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
    newest_term: watch::Receiver<position::Term>,
    term: position::Term,
}

impl TermWatch {
    /// Waits until the group is in a later term.
    pub async fn ended(&mut self) {
        let term = self.term;
        if self
            .newest_term
            .wait_for(|newest| *newest > term)
            .await
            .is_err()
        {
            // The group's task has ended, so no later term will be published.
            std::future::pending::<()>().await;
        }
    }
}

/// A write transaction that waits for admission.
#[derive(Debug)]
pub struct PendingWrite {
    /// Member to write to.
    pub member: name::MemberName,
    /// Term that the transaction expects.
    pub term: position::Term,
    /// Receives the admission; dropped if the term is over.
    pub reply: oneshot::Sender<Admission>,
}

/// The waiting write transactions and the number of running ones.
#[derive(Debug, Default)]
pub struct Gate {
    waiting: Vec<PendingWrite>,
    running: usize,
}

impl Gate {
    /// Adds a waiting transaction.
    pub fn push(&mut self, write: PendingWrite) {
        self.waiting.push(write);
    }

    /// Records the end of a running transaction.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Number of running transactions.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Admits the transactions whose primary accepts writes and drops those whose term is over.
    pub fn admit_waiting(
        &mut self,
        newest_term: &watch::Receiver<position::Term>,
        requests: &mpsc::WeakSender<group::Request>,
        can_admit: impl Fn(&PendingWrite) -> bool,
    ) {
        let mut waiting = Vec::new();
        let term = *newest_term.borrow();
        for write in std::mem::take(&mut self.waiting) {
            if write.reply.is_closed() || term > write.term {
                // Dropping the reply reports that the term is over.
                continue;
            }
            if !can_admit(&write) {
                waiting.push(write);
                continue;
            }
            self.running += 1;
            let admission = Admission {
                requests: requests.clone(),
                newest_term: newest_term.clone(),
                term: write.term,
            };
            // If the requester is gone, the dropped admission reports its end.
            let _ = write.reply.send(admission);
        }
        self.waiting = waiting;
    }
}
