//! The task that owns the budget.

use std::collections;
use std::sync;
use std::time;

use cardamomhold_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::accounts;
use crate::budget;
use crate::plan;

/// Shortest time between two log lines of one reason.
const LOG_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pause between two looks at holders without progress while a charge waits.
const SETTLE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Refused and closed connections of one reason since its last log line.
#[derive(Debug, Default)]
struct Unlogged {
    count: u64,
    last: Option<Timestamp>,
}

/// A connection, as the task knows it.
#[derive(Debug)]
struct Connection {
    notice: watch::Sender<bool>,
    /// The charges that wait, oldest first; each part of an account has at most one.
    grants: collections::VecDeque<oneshot::Sender<()>>,
}

/// The task's state.
pub(super) struct Task<C, F> {
    budget: budget::Budget,
    limits: plan::Limits,
    clock: C,
    messages: mpsc::WeakUnboundedSender<accounts::Message>,
    connections: collections::HashMap<budget::Holder, Connection>,
    unlogged: collections::BTreeMap<budget::Reason, Unlogged>,
    report: F,
}

impl<C: Fn() -> Timestamp, F: Fn(accounts::Report)> Task<C, F> {
    pub(super) fn new(
        limits: plan::Limits,
        clock: C,
        messages: mpsc::WeakUnboundedSender<accounts::Message>,
        report: F,
    ) -> Self {
        Self {
            budget: budget::Budget::new(limits),
            limits,
            clock,
            messages,
            connections: collections::HashMap::new(),
            unlogged: collections::BTreeMap::new(),
            report,
        }
    }

    pub(super) async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<accounts::Message>) {
        loop {
            let is_waiting = self.budget.next_wakeup().is_some();
            tokio::select! {
                message = mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep(SETTLE_PAUSE), if is_waiting => {
                    let steps = self.budget.settle((self.clock)());
                    self.carry_out(steps);
                }
            }
            (self.report)(accounts::Report::Charged(self.budget.used()));
        }
    }

    fn handle(&mut self, message: accounts::Message) {
        let now = (self.clock)();
        let steps = match message {
            accounts::Message::Open(kind, reply) => {
                let opened = self.open(now, kind);
                // A dropped account closes itself.
                let _ = reply.send(opened);
                return;
            }
            accounts::Message::Start(holder) => {
                self.budget.start(holder);
                return;
            }
            accounts::Message::Charge(holder, bytes, grant) => {
                if let Some(connection) = self.connections.get_mut(&holder) {
                    connection.grants.push_back(grant);
                }
                self.budget.charge(now, holder, bytes)
            }
            accounts::Message::Hold(holder, bytes) => self.budget.hold(now, holder, bytes),
            accounts::Message::Release(holder, bytes) => self.budget.release(now, holder, bytes),
            accounts::Message::Close(holder) => {
                self.connections.remove(&holder);
                self.budget.close(now, holder)
            }
        };
        self.carry_out(steps);
    }

    fn open(&mut self, now: Timestamp, kind: budget::Kind) -> Option<accounts::Account> {
        let messages = self.messages.upgrade()?;
        let (holder, steps) = match self.budget.open(now, kind) {
            Ok(opened) => opened,
            Err(reason) => {
                self.record_shed(reason, 0);
                return None;
            }
        };
        let (sender, notice) = watch::channel(false);
        let connection = Connection {
            notice: sender,
            grants: collections::VecDeque::new(),
        };
        self.connections.insert(holder, connection);
        self.carry_out(steps);
        let closing = sync::Arc::new(accounts::Closing { holder, messages });
        Some(accounts::Account {
            connected: Some(accounts::Connected { closing, notice }),
            charged: 0,
            pending: None,
        })
    }

    fn carry_out(&mut self, steps: Vec<budget::Step>) {
        for step in steps {
            match step {
                budget::Step::Grant(holder) => {
                    let connection = self.connections.get_mut(&holder);
                    if let Some(grant) = connection.and_then(|c| c.grants.pop_front()) {
                        // The account is gone, and closes itself.
                        let _ = grant.send(());
                    }
                }
                budget::Step::GiveWay(holder, reason) => {
                    self.record_shed(reason, self.budget.held(holder));
                    self.notify(holder, true);
                }
                budget::Step::Stay(holder) => self.notify(holder, false),
            }
        }
    }

    fn notify(&self, holder: budget::Holder, must_close: bool) {
        if let Some(connection) = self.connections.get(&holder) {
            connection.notice.send_replace(must_close);
        }
    }

    /// Counts a refused or closed connection, and logs at most one line a second for each reason.
    fn record_shed(&mut self, reason: budget::Reason, held: usize) {
        (self.report)(accounts::Report::Shed(reason));
        let now = (self.clock)();
        let unlogged = self.unlogged.entry(reason).or_default();
        unlogged.count += 1;
        if unlogged.last.is_some_and(|l| now.since(l) < LOG_PAUSE) {
            return;
        }
        log::warn!(
            "event=client_shed reason={} count={} held={held} charged={} budget={} callers_max={}",
            reason.as_str(),
            unlogged.count,
            self.budget.used(),
            self.limits.bytes,
            self.limits.callers
        );
        *unlogged = Unlogged {
            count: 0,
            last: Some(now),
        };
    }
}
