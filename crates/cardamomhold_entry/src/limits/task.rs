//! The task that owns this instance's part in the limits: it votes, holds the tenure if it is the
//! instance's turn, and gets tokens for the operations of the members that the instance owns.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_limit::allocator;
use cardamomhold_limit::allowance;
use cardamomhold_limit::bounds;
use cardamomhold_limit::limiter;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::limits::Command;
use crate::limits::Handle;
use crate::limits::MAX_REFUSAL;
use crate::limits::Refusals;
use crate::limits::report;
use crate::message;
use crate::metrics;
use crate::peers;
use crate::stop;
use crate::view;

/// Dependencies of the task.
#[derive(Debug)]
pub struct Context {
    /// This instance.
    pub instance: name::InstanceName,
    /// The bound that workspaces keep to.
    pub bounds: bounds::Bounds,
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// Phase of the instance's shutdown.
    pub phase: watch::Receiver<stop::Phase>,
    /// Sends datagrams.
    pub peers: peers::Peers,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
}

struct Waiting {
    workspace: name::WorkspaceName,
    reply: oneshot::Sender<Result<Option<allowance::Permit>, time::Duration>>,
}

struct Task {
    context: Context,
    limiter: limiter::Limiter,
    report: report::Report,
    /// The view that the limiter has been told.
    view: view::View,
    waiting: collections::HashMap<u64, Waiting>,
    next_id: u64,
    refusals: watch::Sender<Refusals>,
    /// Whether the last requests for tokens brought none.
    is_failing: bool,
}

/// Starts the task, which ends with the process; without it, all operations of workspaces with a
/// limit would be refused.
pub fn start(context: Context) -> (Handle, task::JoinHandle<()>) {
    let (commands, mailbox) = mpsc::unbounded_channel();
    let (refusals, published) = watch::channel(Refusals::default());
    let settings = limiter::Settings {
        own: context.instance.clone(),
        incarnation: clock::run_id(),
        bounds: context.bounds,
        timing: bounds::Timing::default(),
    };
    let task = Task {
        limiter: limiter::Limiter::new(clock::now(), settings),
        report: report::Report::new(context.metrics.clone()),
        context,
        view: view::View::default(),
        waiting: collections::HashMap::new(),
        next_id: 0,
        refusals,
        is_failing: false,
    };
    let running = task::spawn_local(task.run(mailbox));
    let handle = Handle {
        task: Some((commands, published)),
    };
    (handle, running)
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Command>) {
        self.context.views.mark_changed();
        loop {
            let now = clock::now();
            let wakeup = self.limiter.next_wakeup(now);
            tokio::select! {
                command = mailbox.recv() => match command {
                    Some(command) => self.handle(clock::now(), command),
                    None => return,
                },
                changed = self.context.views.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_view(clock::now());
                }
                changed = self.context.phase.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.limiter.leave();
                }
                () = tokio::time::sleep_until(clock::instant(wakeup.unwrap_or(now))),
                    if wakeup.is_some() => {}
            }
            self.poll(clock::now());
        }
    }

    /// Tells the limiter the limits and the registered instances, where they have changed.
    fn apply_view(&mut self, now: Timestamp) {
        let view = self.context.views.borrow_and_update().clone();
        if *view.fleet != *self.view.fleet {
            let names = view.fleet.keys().cloned().collect();
            self.limiter.set_fleet(names);
        }
        if view.catalog.version != self.view.catalog.version {
            let mut limits = allocator::Limits::new();
            let workspaces = view.catalog.workspaces.iter().flat_map(|d| d.workspaces());
            for workspace in workspaces {
                if let Some(limit) = workspace.limit {
                    limits.insert(workspace.name.clone(), limit);
                }
            }
            self.report.set_limits(&limits);
            self.limiter.set_limits(now, limits);
        }
        self.view = view;
    }

    fn handle(&mut self, now: Timestamp, command: Command) {
        match command {
            Command::Received(from, message) => self.limiter.handle(now, &from, message),
            Command::Voters(voters) => self.limiter.set_voters(now, &voters),
            Command::Votes => self.limiter.allow_votes(),
            Command::Take {
                workspace,
                until,
                reply,
            } => self.take(now, workspace, until, reply),
            Command::PutBack(workspace, permit) => {
                self.limiter.put_back(now, &workspace, permit);
            }
            Command::Refused(workspace, after) => self.record_refusal(now, workspace, after),
        }
    }

    fn take(
        &mut self,
        now: Timestamp,
        workspace: name::WorkspaceName,
        until: Timestamp,
        reply: oneshot::Sender<Result<Option<allowance::Permit>, time::Duration>>,
    ) {
        if !self.limiter.is_limited(&workspace) {
            // The requester may have gone.
            let _ = reply.send(Ok(None));
            return;
        }
        self.next_id += 1;
        let waiting = Waiting { workspace, reply };
        let taken = self
            .limiter
            .take(now, self.next_id, &waiting.workspace, until);
        match taken {
            allowance::Taken::Permitted(permit) => self.tell(now, waiting, Ok(permit)),
            allowance::Taken::Refused(after) => self.tell(now, waiting, Err(after)),
            allowance::Taken::Waiting => {
                self.waiting.insert(self.next_id, waiting);
            }
        }
    }

    /// Tells an operation the decision; the token of one that has gone is returned.
    fn tell(
        &mut self,
        now: Timestamp,
        waiting: Waiting,
        result: Result<allowance::Permit, time::Duration>,
    ) {
        let Waiting { workspace, reply } = waiting;
        match result {
            Ok(_) => self.report.record_permit(&workspace),
            Err(after) => {
                let holder = self.limiter.allowance().holder();
                self.report.record_refusal(now, &workspace, after, holder);
            }
        }
        if let Err(Ok(Some(permit))) = reply.send(result.map(Some)) {
            self.limiter.put_back(now, &workspace, permit);
        }
    }

    /// Refuses operations of a workspace for a while, as an owner has refused one.
    fn record_refusal(
        &mut self,
        now: Timestamp,
        workspace: name::WorkspaceName,
        after: time::Duration,
    ) {
        let until = now.after(after.min(MAX_REFUSAL));
        let mut refusals = (**self.refusals.borrow()).clone();
        refusals.retain(|_, until| *until > now);
        refusals.insert(workspace, until);
        self.refusals.send_replace(refusals.into());
    }

    /// Does what is due.
    fn poll(&mut self, now: Timestamp) {
        for output in self.limiter.poll(now) {
            match output {
                limiter::Output::Send { to, message } => {
                    if let Some(entry) = self.view.fleet.get(&to) {
                        let message = message::Message::Limits(message);
                        self.context.peers.send(entry.address, message);
                    }
                }
                limiter::Output::Decided(decision) => {
                    if let Some(waiting) = self.waiting.remove(&decision.id) {
                        self.tell(now, waiting, decision.result);
                    }
                }
                limiter::Output::Began => {
                    log::info!(
                        "event=limit_tenure_begun instance={}",
                        self.context.instance
                    );
                    self.context.metrics.set_limit_holder(true);
                }
                limiter::Output::Ended => {
                    log::info!(
                        "event=limit_tenure_ended instance={}",
                        self.context.instance
                    );
                    self.context.metrics.set_limit_holder(false);
                }
            }
        }
        self.log_reach();
    }

    /// Logs when no allocator is reached any more, and when one is again.
    fn log_reach(&mut self) {
        let allowance = self.limiter.allowance();
        let is_failing = allowance.is_failing();
        if is_failing == std::mem::replace(&mut self.is_failing, is_failing) {
            return;
        }
        let holder = allowance.holder().map_or("none", |h| h.as_str());
        match is_failing {
            true => log::warn!(
                "event=limit_allocator_unreachable holder={holder} failures={}",
                allowance.failures()
            ),
            false => log::info!("event=limit_allocator_reached holder={holder}"),
        }
    }
}
