//! The task of one group: chooses the member for each request and the way to it, and starts the
//! queues of the members whose connections this instance owns.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::failure_detector;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::admission;
use crate::checkout;
use crate::clock;
use crate::coordinator;
use crate::limits;
use crate::link;
use crate::link::Link;
use crate::metrics;
use crate::session;
use crate::view;

mod message;
mod open;
pub mod owned;
mod permits;
mod reports;
mod routes;
mod samples;
pub mod standing;

pub use message::Message;
pub use message::Opened;
pub use message::Refusal;

/// Sends messages to the group's task.
pub type Handle<L> = mpsc::UnboundedSender<Message<L>>;

/// Dependencies of the task.
#[derive(Debug)]
pub struct Context<C: link::Connector> {
    /// The group.
    pub group: name::GroupName,
    /// This instance.
    pub instance: name::InstanceName,
    /// The zone of this instance.
    pub zone: String,
    /// Opens connections.
    pub connector: C,
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// The published lease.
    pub lease: watch::Receiver<view::Lease>,
    /// The published samples of the primaries' positions.
    pub samples: watch::Receiver<view::Samples>,
    /// The coordinator, which receives observations of the primary.
    pub coordinator: coordinator::Handle,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
    /// Limits of workspaces.
    pub limits: limits::Handle,
}

struct Waiting<L> {
    request: wait_queue::Request,
    reply: oneshot::Sender<Result<checkout::Checkout<L>, Refusal>>,
    /// The right to run its operation, once the workspace's limit allows it.
    permit: Option<limits::Permit>,
}

/// The queue of a member that this instance owns.
struct Owned<L> {
    bounds: admission::Bounds,
    handle: admission::Handle<L>,
}

struct Task<C: link::Connector> {
    context: Context<C>,
    pool: pool::Pool<checkout::Connection<C::Link>>,
    waiting: collections::HashMap<u64, Waiting<C::Link>>,
    /// Queues of the members whose connections this instance owns, with their bounds.
    owned: collections::BTreeMap<name::MemberName, Owned<C::Link>>,
    next_id: u64,
    handle: Handle<C::Link>,
    last_report: Timestamp,
    last_sample: Timestamp,
    /// When the coordinator was last told that samples are used.
    last_use: Option<Timestamp>,
    last_observation: suspicion::Observation,
    /// Change number of the leadership that the pool uses.
    change: u64,
    routes: routes::Routes,
    /// Publishes the owners that are silent.
    silent: watch::Sender<collections::BTreeSet<name::InstanceName>>,
    /// Detects a primary that fails its statements.
    failure_detector: failure_detector::Detector,
}

/// Starts the task; it ends when the group is no longer configured.
pub fn start<C: link::Connector>(context: Context<C>) -> Handle<C::Link> {
    let (handle, mailbox) = mpsc::unbounded_channel();
    let task = Task {
        context,
        pool: pool::Pool::new(),
        waiting: collections::HashMap::new(),
        owned: collections::BTreeMap::new(),
        next_id: 0,
        handle: handle.clone(),
        last_report: Timestamp(0),
        last_sample: Timestamp(0),
        last_use: None,
        last_observation: suspicion::Observation::Reached,
        change: 0,
        routes: routes::Routes::default(),
        silent: watch::Sender::default(),
        failure_detector: failure_detector::Detector::default(),
    };
    tokio::task::spawn_local(task.run(mailbox));
    handle
}

impl<C: link::Connector> Task<C> {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message<C::Link>>) {
        self.context.views.mark_changed();
        loop {
            let now = clock::now();
            let wakeup = [self.pool.next_wakeup(now), self.routes.next_wakeup(now)];
            let wakeup = wakeup.into_iter().flatten().min();
            let has_wakeup = wakeup.is_some();
            let is_waiting = self.pool.waiting() > 0;
            let message = tokio::select! {
                message = mailbox.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                changed = self.context.views.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.context.views.mark_changed();
                    None
                }
                changed = self.context.samples.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_sample();
                    None
                }
                changed = self.context.lease.changed(), if is_waiting => {
                    if changed.is_err() {
                        return;
                    }
                    None
                }
                () = tokio::time::sleep_until(clock::instant(wakeup.unwrap_or(now))),
                    if has_wakeup => None,
            };
            // The lease covers only the newest view, so both are read here, the lease first, before
            // a member's answer is evaluated with them.
            let is_leased = self.is_leased(clock::now());
            if !self.apply_view() {
                return;
            }
            if let Some(message) = message {
                self.handle(message);
            }
            self.ping_silent(clock::now());
            self.serve_queue(is_leased);
        }
    }

    /// Applies the view if it has changed or the routes must be recomputed; false when the group
    /// is no longer configured.
    fn apply_view(&mut self) -> bool {
        let now = clock::now();
        let is_due = self.routes.next_wakeup(now).is_some_and(|at| at <= now);
        if !is_due && !self.context.views.has_changed().unwrap_or(false) {
            return true;
        }
        let view = self.context.views.borrow_and_update().clone();
        let group = &self.context.group;
        let spec = view.catalog.groups.iter().find(|g| g.name == *group);
        let Some(spec) = spec else {
            return false;
        };
        let inputs = routes::Inputs {
            own: &self.context.instance,
            fleet: &view.fleet,
        };
        self.routes.reset(now, &view);
        let mut infos = Vec::new();
        for member in view.members.values() {
            // Before the instances are known no owner is, and direct connections of all instances
            // that start would exceed what the member accepts.
            if member.group != *group || view.fleet.is_empty() {
                continue;
            }
            infos.push(member::MemberInfo {
                name: &member.name,
                is_near: member.zone == self.context.zone,
                is_ready: member.state == view::MemberState::Ready,
                share: self.routes.share(now, &member.name, &member.zone, &inputs),
            });
        }
        let record = view.leaderships.get(group.as_str());
        let change = record.map_or(0, |r| r.change);
        if change != self.change {
            self.change = change;
            self.failure_detector = failure_detector::Detector::default();
        }
        self.pool.set_instances(view.fleet.len());
        self.pool.set_primary(view.primary(group.as_str()));
        self.pool.set_members(&infos);
        self.configure_owned(&view, spec);
        true
    }

    fn is_leased(&self, now: Timestamp) -> bool {
        self.context.lease.borrow().is_valid(now)
    }

    fn handle(&mut self, message: Message<C::Link>) {
        let now = clock::now();
        match message {
            Message::Request { mut request, reply } => {
                self.record_use(now, &request.requirement);
                self.next_id += 1;
                request.id = self.next_id;
                self.pool.request(request.clone());
                let waiting = Waiting {
                    request: request.clone(),
                    reply,
                    permit: None,
                };
                self.waiting.insert(request.id, waiting);
            }
            Message::Admit {
                member,
                request,
                reply,
            } => self.admit(&member, request, reply),
            Message::Status { member, reply } => {
                let owned = self.owned.get(member.as_str());
                let status = owned.map(|o| o.handle.check()).unwrap_or_default();
                // The requester may have gone.
                let _ = reply.send(status);
            }
            Message::Admitted {
                grant,
                change,
                permit,
                result,
            } => {
                if let Some(waiting) = self.waiting.get_mut(&grant.id) {
                    waiting.permit = permit;
                }
                self.handle_admitted(now, grant, change, *result);
            }
            Message::Permitted { grant, result } => self.handle_permitted(now, grant, result),
            Message::Sampled { member, sample } => self.record_sample(now, &member, sample),
            Message::Release {
                member,
                connection,
                completion,
                sample,
                report,
            } => self.release(now, &member, connection, completion, sample, report),
            Message::Opened {
                grant,
                owner,
                change,
                sent,
                result,
            } => self.handle_opened(now, grant, owner, change, sent, result),
            Message::Unresponsive(member) => self.suspect(now, &member),
            Message::OwnerPinged {
                owner,
                member,
                is_answering,
                ping,
            } => self.handle_ping(now, &owner, &member, is_answering, ping),
            Message::Probed {
                member,
                sent,
                result,
            } => self.handle_probed(now, &member, sent, result),
        }
    }

    fn release(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        connection: Option<checkout::Connection<C::Link>>,
        completion: pool::Completion,
        sample: Option<sample::Sample>,
        report: Option<link::Report>,
    ) {
        if let Some(sample) = sample {
            self.record_sample(now, member, sample);
        }
        let of_owner = connection.as_ref().and_then(|c| c.link.report());
        let report = report.or(of_owner);
        if let Some(report) = report {
            self.pool.record_load(now, member, report.load);
        }
        let completion = without_wait(completion, report);
        self.record_owner_result(now, member, completion);
        self.record_result(now, member, completion);
        match completion {
            pool::Completion::Failed
            | pool::Completion::TimedOut
            | pool::Completion::StatementFailed => {
                self.report(now, member, suspicion::Observation::Failed);
            }
            pool::Completion::Answered(_) => {
                self.report(now, member, suspicion::Observation::Reached)
            }
            pool::Completion::NoSlot
            | pool::Completion::NoConnection
            | pool::Completion::Behind(_)
            | pool::Completion::OwnerLost
            | pool::Completion::Unserved
            | pool::Completion::Unused => {}
        }
        let connection = connection.map(|mut connection| {
            if !connection.link.keeps_state() {
                connection.applied = session::Applied::default();
            }
            connection
        });
        let workspace = connection.as_ref().and_then(|c| c.workspace.clone());
        self.pool
            .release_bound(now, member, connection, workspace, completion);
    }

    /// Starts due probes, and grants or refuses connections to waiting requests.
    fn serve_queue(&mut self, is_leased: bool) {
        let now = clock::now();
        self.probe(now);
        let isolation = self.context.lease.borrow().isolation;
        self.pool
            .set_isolated(isolation >= view::Isolation::Isolated);
        for decision in self.pool.poll(now, is_leased) {
            match decision {
                pool::Decision::Grant(grant) => self.grant(now, grant),
                pool::Decision::Refuse { id, reason } => {
                    self.refuse(id, Refusal::Pool(reason));
                }
            }
        }
        self.context
            .metrics
            .set_waiting(&self.context.group, self.pool.waiting());
    }
}

/// Subtracts the time that a statement waited for a slot from the duration of its answer.
fn without_wait(completion: pool::Completion, report: Option<link::Report>) -> pool::Completion {
    match (completion, report) {
        (pool::Completion::Answered(took), Some(report)) => {
            let waited = time::Duration::from_micros(report.waited_us.into());
            pool::Completion::Answered(took.saturating_sub(waited))
        }
        _ => completion,
    }
}
