//! The task that owns the budget, and the accounts through which connections charge.

use std::sync;

use cardamomhold_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::budget;
use crate::plan;

mod task;

/// Bytes that a part of a connection holds without a charge; they belong to the connection's fixed
/// cost. Ordinary requests stay below, and send no message to the task.
pub const FREE_BYTES: usize = 8 << 10;

/// Charges are rounded up to a multiple of this, in bytes, so that a growing buffer sends few
/// messages.
const CHARGE_STEP: usize = 16 << 10;

/// The connection has to be closed, as its holder gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GaveWay;

impl std::fmt::Display for GaveWay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed, since memory or connections are short")
    }
}

impl std::error::Error for GaveWay {}

impl From<GaveWay> for std::io::Error {
    fn from(error: GaveWay) -> Self {
        Self::new(std::io::ErrorKind::QuotaExceeded, error)
    }
}

/// What the task reports to its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// A connection was refused or closed.
    Shed(budget::Reason),
    /// Bytes that are charged now.
    Charged(usize),
}

/// Messages to the task.
#[derive(Debug)]
enum Message {
    Open(budget::Kind, oneshot::Sender<Option<Account>>),
    Start(budget::Holder),
    Charge(budget::Holder, usize, oneshot::Sender<()>),
    Hold(budget::Holder, usize),
    Release(budget::Holder, usize),
    Close(budget::Holder),
}

/// Opens accounts.
#[derive(Debug, Clone)]
pub struct Handle(Option<mpsc::UnboundedSender<Message>>);

/// Closes an account when its last part is dropped.
#[derive(Debug)]
struct Closing {
    holder: budget::Holder,
    messages: mpsc::UnboundedSender<Message>,
}

impl Drop for Closing {
    fn drop(&mut self) {
        // The task has ended with the process.
        let _ = self.messages.send(Message::Close(self.holder));
    }
}

/// A connection's link to the task.
#[derive(Debug, Clone)]
struct Connected {
    closing: sync::Arc<Closing>,
    /// Whether the holder must give way.
    notice: watch::Receiver<bool>,
}

/// One part of a connection's account, such as its input or its output.
#[derive(Debug, Default)]
pub struct Account {
    connected: Option<Connected>,
    /// Bytes that are charged through this part.
    charged: usize,
    /// A charge that waits for its grant.
    pending: Option<(usize, oneshot::Receiver<()>)>,
}

/// Starts the task; it ends with its last handle and account.
pub fn start(
    limits: plan::Limits,
    clock: impl Fn() -> Timestamp + Send + 'static,
    report: impl Fn(Report) + Send + 'static,
) -> Handle {
    let (messages, mailbox) = mpsc::unbounded_channel();
    let task = task::Task::new(limits, clock, messages.downgrade(), report);
    tokio::spawn(task.run(mailbox));
    Handle(Some(messages))
}

impl Handle {
    /// A handle without limits, for processes and tests that have none.
    pub fn unlimited() -> Self {
        Self(None)
    }

    /// Opens an account for a connection; none when the connection must be closed.
    pub async fn open(&self, kind: budget::Kind) -> Option<Account> {
        let Some(messages) = &self.0 else {
            return Some(Account::default());
        };
        let (reply, opened) = oneshot::channel();
        messages.send(Message::Open(kind, reply)).ok()?;
        opened.await.ok()?
    }
}

impl Account {
    /// Another part of the same connection's account, without charges.
    pub fn share(&self) -> Self {
        Self {
            connected: self.connected.clone(),
            charged: 0,
            pending: None,
        }
    }

    /// Records a caller's complete first line.
    pub fn start(&self) {
        self.send(Message::Start);
    }

    /// Charges until this part may hold `total` bytes. Cancel safe: a charge that waits is
    /// continued by the next call.
    ///
    /// # Errors
    /// [`GaveWay`].
    pub async fn reserve(&mut self, total: usize) -> Result<(), GaveWay> {
        let Some(connected) = &mut self.connected else {
            return Ok(());
        };
        loop {
            if let Some((bytes, granted)) = &mut self.pending {
                tokio::select! {
                    biased;
                    granted = granted => granted.map_err(|_| GaveWay)?,
                    _ = connected.notice.wait_for(|n| *n) => return Err(GaveWay),
                }
                self.charged += *bytes;
                self.pending = None;
            }
            if total <= FREE_BYTES || total <= self.charged {
                return Ok(());
            }
            let bytes = total.next_multiple_of(CHARGE_STEP) - self.charged;
            let (grant, granted) = oneshot::channel();
            let message = Message::Charge(connected.closing.holder, bytes, grant);
            connected
                .closing
                .messages
                .send(message)
                .map_err(|_| GaveWay)?;
            self.pending = Some((bytes, granted));
        }
    }

    /// Charges `total` bytes that this part holds already.
    pub fn hold(&mut self, total: usize) {
        if total > FREE_BYTES && total > self.charged {
            let bytes = total - self.charged;
            self.charged = total;
            self.send(|holder| Message::Hold(holder, bytes));
        }
    }

    /// Releases what this part has charged beyond `total` bytes.
    pub fn release_to(&mut self, total: usize) {
        let total = if total <= FREE_BYTES { 0 } else { total };
        if total < self.charged {
            let bytes = self.charged - total;
            self.charged = total;
            self.send(|holder| Message::Release(holder, bytes));
        }
    }

    /// Waits until the holder must give way.
    pub async fn notified(&mut self) -> GaveWay {
        match &mut self.connected {
            Some(connected) => {
                // The task has ended with the process.
                let _ = connected.notice.wait_for(|n| *n).await;
                GaveWay
            }
            None => std::future::pending().await,
        }
    }

    fn send(&self, message: impl FnOnce(budget::Holder) -> Message) {
        if let Some(Connected { closing, .. }) = &self.connected {
            // The task has ended with the process.
            let _ = closing.messages.send(message(closing.holder));
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.release_to(0);
    }
}
