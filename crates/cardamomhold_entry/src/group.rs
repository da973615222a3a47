//! The task of one group: chooses the member for each request and the way to it, and starts the
//! queues of the members whose connections this instance owns.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
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

mod open;
pub mod owned;
mod permits;
mod routes;
pub mod standing;

/// Minimum interval between two reports that the primary can't be reached.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Minimum interval between two samples of the primary's position sent to the coordinator.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Minimum interval between two notices that samples are used.
const USE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A new connection with the member's log position, or why it could not be opened.
pub type Opened<L> = Result<(L, Option<position::Position>), link::LinkError>;

/// Messages to the group's task.
#[derive(Debug)]
pub enum Message<L> {
    /// Requests a connection.
    Request {
        /// The request; the task sets its id.
        request: wait_queue::Request,
        /// Receives the connection, or why there is none.
        reply: oneshot::Sender<Result<checkout::Checkout<L>, Refusal>>,
    },
    /// Asks for a connection of a member that this instance owns, for another instance.
    Admit {
        /// The member.
        member: name::MemberName,
        /// The work.
        request: admission::Request,
        /// Receives the connection, or why there is none.
        reply: oneshot::Sender<Result<admission::Admitted<L>, admission::Refusal>>,
    },
    /// Asks for the state of a member that this instance owns.
    Status {
        /// The member.
        member: name::MemberName,
        /// Receives the state.
        reply: oneshot::Sender<admission::Status>,
    },
    /// This instance's own queue has decided on a granted request.
    Admitted {
        /// The pool's grant.
        grant: pool::Grant<checkout::Connection<L>>,
        /// Change number of the leadership at the time of the grant.
        change: u64,
        /// The right to run the operation, where the workspace may have a limit.
        permit: Option<limits::Permit>,
        /// The connection, or why there is none.
        result: Box<Result<admission::Admitted<L>, admission::Refusal>>,
    },
    /// A granted request has the permit of its workspace, or the time after which there may be one.
    Permitted {
        /// The pool's grant.
        grant: pool::Grant<checkout::Connection<L>>,
        /// The permit.
        result: Result<limits::Permit, time::Duration>,
    },
    /// A statement of another instance returned a log position.
    Sampled {
        /// The member.
        member: name::MemberName,
        /// The position, with the time at which the statement was sent.
        sample: sample::Sample,
    },
    /// Returns a connection to the pool.
    Release {
        /// The connection's member.
        member: name::MemberName,
        /// The connection; none when it was closed.
        connection: Option<checkout::Connection<L>>,
        /// How its use ended.
        completion: pool::Completion,
        /// The newest log position it returned, with the time at which that statement was sent.
        sample: Option<sample::Sample>,
        /// Report of this instance's own queue.
        report: Option<link::Report>,
    },
    /// An attempt to open a connection finished.
    Opened {
        /// The pool's grant that it is for.
        grant: pool::Grant<checkout::Connection<L>>,
        /// The owner to which the connection was to be opened; none for a direct one.
        owner: Option<name::InstanceName>,
        /// Change number of the leadership at the time of the grant.
        change: u64,
        /// When the attempt started.
        sent: Timestamp,
        /// The connection with the member's log position, or the error.
        result: Opened<L>,
    },
    /// A statement at this member has had no answer for a long time.
    Unresponsive(name::MemberName),
    /// A ping of an owner finished.
    OwnerPinged {
        /// The owner.
        owner: name::InstanceName,
        /// The member that the ping asked for.
        member: name::MemberName,
        /// Whether the member answers the owner; none when the owner didn't answer.
        is_answering: Option<bool>,
        /// Why it was pinged.
        ping: owned::Ping,
    },
    /// A probe of a member finished.
    Probed {
        /// The member.
        member: name::MemberName,
        /// When the probe started.
        sent: Timestamp,
        /// The error, if it failed.
        result: Result<(), link::LinkError>,
    },
}

/// Why a request gets no connection; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The pool's reason.
    Pool(pool::Reason),
    /// The member has too much to do; there is room after this time.
    Overloaded(time::Duration),
}

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

    /// Records a member's log position; samples of the primary go to the coordinator, which
    /// sends them to other instances.
    fn record_sample(&mut self, now: Timestamp, member: &name::MemberName, sample: sample::Sample) {
        let is_leased = self.is_leased(now);
        let is_new = self.pool.record_position(member, sample, is_leased);
        if !is_new || now.since(self.last_sample) < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = now;
        self.context.coordinator.send(coordinator::Event::Sampled {
            group: self.context.group.clone(),
            sample,
        });
    }

    /// Tells the coordinator that a read may need samples of the primary's position.
    fn record_use(&mut self, now: Timestamp, requirement: &wait_queue::Requirement) {
        let is_read = matches!(requirement, wait_queue::Requirement::Read { .. });
        let is_due = self.last_use.is_none_or(|at| now.since(at) >= USE_INTERVAL);
        if is_read && is_due {
            self.last_use = Some(now);
            let used = coordinator::Event::SamplesUsed(self.context.group.clone());
            self.context.coordinator.send(used);
        }
    }

    /// Applies the newest published sample of the primary's position.
    fn apply_sample(&mut self) {
        let samples = self.context.samples.borrow_and_update();
        if let Some(sample) = samples.get(self.context.group.as_str()) {
            self.pool.add_sample(*sample);
        }
    }

    /// Updates the failure detector with the result of a statement at the primary.
    fn record_result(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        completion: pool::Completion,
    ) {
        if self.primary_change(member).is_none() {
            return;
        }
        match completion {
            pool::Completion::Failed
            | pool::Completion::StatementFailed
            | pool::Completion::Unserved => self.failure_detector.record_failure(now),
            pool::Completion::Answered(_) => self.failure_detector.record_success(),
            _ => {}
        }
    }

    /// Change number of the leadership, if the member is the primary.
    fn primary_change(&self, member: &name::MemberName) -> Option<u64> {
        let view = self.context.views.borrow();
        let record = view.leaderships.get(self.context.group.as_str())?;
        (record.primary.as_ref() == Some(member)).then_some(record.change)
    }

    /// Reports an observation of the primary to the coordinator: each change, and failures
    /// repeatedly.
    fn report(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        observation: suspicion::Observation,
    ) {
        if self.primary_change(member).is_none() {
            return;
        }
        let is_new = observation != self.last_observation;
        let is_due = now.since(self.last_report) >= REPORT_INTERVAL;
        if !is_new && (observation == suspicion::Observation::Reached || !is_due) {
            return;
        }
        self.last_observation = observation;
        self.last_report = now;
        self.context
            .coordinator
            .send(coordinator::Event::PrimaryObserved {
                group: self.context.group.clone(),
                member: member.clone(),
                observation,
                is_failing: self.failure_detector.is_failing(now),
            });
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
