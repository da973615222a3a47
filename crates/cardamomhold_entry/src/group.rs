//! The task of one group: it owns the pool and opens connections.

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

use crate::clock;
use crate::keeper;
use crate::lent;
use crate::link;
use crate::link::Link;
use crate::metrics;
use crate::session;
use crate::view;

mod open;
mod routes;

/// Least time between two reports that the primary can't be reached.
const REPORT_EVERY: time::Duration = time::Duration::from_millis(200);

/// Least time between two samples of the primary's position that others are told.
const SAMPLE_EVERY: time::Duration = time::Duration::from_millis(100);

/// A connection, with the position of the member's log.
pub type Opened<L> = Result<(L, Option<position::Position>), link::LinkError>;

/// What the task is told.
#[derive(Debug)]
pub enum Message<L> {
    /// Work asks for a connection.
    Ask {
        /// The work; the task gives it its identity.
        ask: wait_queue::Request,
        /// Gets the connection.
        reply: oneshot::Sender<Result<lent::Lent<L>, pool::Reason>>,
    },
    /// A connection comes back, or is gone.
    Back {
        /// Its member.
        member: name::MemberName,
        /// The connection.
        wired: Option<lent::Wired<L>>,
        /// How its use ended.
        ended: pool::Completion,
        /// The newest position that it gave, and when that statement was sent.
        seen: Option<sample::Sample>,
    },
    /// A connection was opened, or not.
    Opened {
        /// For what.
        grant: pool::Grant<lent::Wired<L>>,
        /// The change of the leadership under which it was granted.
        change: u64,
        /// When it was asked for.
        sent: Timestamp,
        /// The connection, with the position of the member's log.
        result: Opened<L>,
    },
    /// A statement has been without an answer for long.
    Doubt(name::MemberName),
    /// The owner of a member's connections was asked whether it lives, and did not say so.
    OwnerSilent(name::MemberName),
    /// A probe ended.
    Probed {
        /// The member.
        member: name::MemberName,
        /// When it was begun.
        sent: Timestamp,
        /// The connection, if one was opened for it.
        result: Result<Option<L>, link::LinkError>,
    },
}

/// Handle of the task.
pub type Handle<L> = mpsc::UnboundedSender<Message<L>>;

/// What the task works with.
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
    pub standing: watch::Receiver<view::Standing>,
    /// The published samples of the primaries' positions.
    pub samples: watch::Receiver<view::Samples>,
    /// The keeper, which hears what is seen of the primary.
    pub keeper: keeper::Handle,
    /// Where the load is shown.
    pub metrics: metrics::Metrics,
}

struct Waiting<L> {
    ask: wait_queue::Request,
    reply: oneshot::Sender<Result<lent::Lent<L>, pool::Reason>>,
}

struct Task<C: link::Connector> {
    context: Context<C>,
    pool: pool::Pool<lent::Wired<C::Link>>,
    waiting: collections::HashMap<u64, Waiting<C::Link>>,
    next_id: u64,
    handle: Handle<C::Link>,
    reported: Timestamp,
    sampled: Timestamp,
    sighted: suspicion::Observation,
    /// The change of the leadership that the pool goes by.
    change: u64,
    routes: routes::Routes,
    /// How the primary's work ended lately.
    experience: failure_detector::Detector,
}

/// Starts the task; it ends when the group is no longer configured.
pub fn start<C: link::Connector>(context: Context<C>) -> Handle<C::Link> {
    let (handle, mailbox) = mpsc::unbounded_channel();
    let task = Task {
        context,
        pool: pool::Pool::new(),
        waiting: collections::HashMap::new(),
        next_id: 0,
        handle: handle.clone(),
        reported: Timestamp(0),
        sampled: Timestamp(0),
        sighted: suspicion::Observation::Reached,
        change: 0,
        routes: routes::Routes::default(),
        experience: failure_detector::Detector::default(),
    };
    tokio::task::spawn_local(task.run(mailbox));
    handle
}

impl<C: link::Connector> Task<C> {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message<C::Link>>) {
        self.context.views.mark_changed();
        loop {
            let now = clock::now();
            let wake = [self.pool.next_wakeup(now), self.routes.wake()];
            let wake = wake.into_iter().flatten().min();
            let is_due = wake.is_some();
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
                    self.learn_sample();
                    None
                }
                changed = self.context.standing.changed(), if is_waiting => {
                    if changed.is_err() {
                        return;
                    }
                    None
                }
                () = tokio::time::sleep_until(clock::instant(wake.unwrap_or(now))),
                    if is_due => None,
            };
            // The lease vouches for the newest view only, so both are read together, and
            // before what a member said is judged by them.
            let is_leased = self.is_leased(clock::now());
            if !self.adopt() {
                return;
            }
            if let Some(message) = message {
                self.handle(message);
            }
            self.decide(is_leased);
        }
    }

    /// Takes over the view if it is new; false when the group is no longer configured.
    fn adopt(&mut self) -> bool {
        let is_due = self.routes.wake().is_some_and(|at| at <= clock::now());
        if !is_due && !self.context.views.has_changed().unwrap_or(false) {
            return true;
        }
        let view = self.context.views.borrow_and_update().clone();
        let group = &self.context.group;
        let spec = view.catalog.groups.iter().find(|g| g.name == *group);
        let Some(spec) = spec else {
            return false;
        };
        let place = routes::Place {
            own: &self.context.instance,
            zone: &self.context.zone,
            fleet: &view.fleet,
            connections: spec.connections,
            now: clock::now(),
        };
        self.routes.renew(place.now);
        let mut infos = Vec::new();
        for member in view.members.values() {
            if member.group != *group {
                continue;
            }
            infos.push(member::MemberInfo {
                name: &member.name,
                is_near: member.zone == self.context.zone,
                is_ready: member.state == view::MemberState::Ready,
                share: self.routes.share(&member.name, &place),
            });
        }
        let record = view.leaderships.get(group.as_str());
        let change = record.map_or(0, |r| r.change);
        if change != self.change {
            self.change = change;
            self.experience = failure_detector::Detector::default();
        }
        self.pool.set_primary(view.primary(group.as_str()));
        self.pool.set_members(&infos);
        true
    }

    fn is_leased(&self, now: Timestamp) -> bool {
        self.context.standing.borrow().is_valid(now)
    }

    fn handle(&mut self, message: Message<C::Link>) {
        let now = clock::now();
        match message {
            Message::Ask { mut ask, reply } => {
                self.next_id += 1;
                ask.id = self.next_id;
                self.pool.request(ask.clone());
                self.waiting.insert(ask.id, Waiting { ask, reply });
            }
            Message::Back {
                member,
                wired,
                ended,
                seen,
            } => self.take_back(now, &member, wired, ended, seen),
            Message::Opened {
                grant,
                change,
                sent,
                result,
            } => self.opened(now, grant, change, sent, result),
            Message::Doubt(member) => {
                self.check_owner(&member);
                self.pool.mark_silent(now, &member);
                self.report(now, &member, suspicion::Observation::Failed);
            }
            Message::OwnerSilent(member) => self.suspect(now, &member),
            Message::Probed {
                member,
                sent,
                result,
            } => self.probed(now, &member, sent, result),
        }
    }

    fn take_back(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        wired: Option<lent::Wired<C::Link>>,
        ended: pool::Completion,
        seen: Option<sample::Sample>,
    ) {
        if let Some(sample) = seen {
            self.observe(now, member, sample);
        }
        if matches!(
            ended,
            pool::Completion::Failed | pool::Completion::OwnerLost
        ) {
            self.check_owner(member);
        }
        self.learn_from(now, member, ended);
        match ended {
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
            | pool::Completion::Unused => {}
        }
        let wired = wired.map(|mut wired| {
            if !wired.link.keeps_state() {
                wired.applied = session::Applied::default();
            }
            wired
        });
        self.pool.release(now, member, wired, ended);
    }

    /// Takes a position that a member gave; samples of the primary go to the keeper, which
    /// tells others.
    fn observe(&mut self, now: Timestamp, member: &name::MemberName, sample: sample::Sample) {
        let is_leased = self.is_leased(now);
        let is_news = self.pool.record_position(member, sample, is_leased);
        if !is_news || now.since(self.sampled) < SAMPLE_EVERY {
            return;
        }
        self.sampled = now;
        self.context.keeper.tell(keeper::Event::Sampled {
            group: self.context.group.clone(),
            sample,
        });
    }

    /// Takes note that an owner may be out of reach; work goes through another one for now.
    fn suspect(&mut self, now: Timestamp, member: &name::MemberName) {
        if self.routes.suspect(now, member) {
            self.context.views.mark_changed();
        }
    }

    /// Takes the sample that another instance made.
    fn learn_sample(&mut self) {
        let samples = self.context.samples.borrow_and_update();
        if let Some(sample) = samples.get(self.context.group.as_str()) {
            self.pool.add_sample(*sample);
        }
    }

    /// Takes note of how the primary's work ends.
    fn learn_from(&mut self, now: Timestamp, member: &name::MemberName, ended: pool::Completion) {
        if self.primary_change(member).is_none() {
            return;
        }
        match ended {
            pool::Completion::Failed | pool::Completion::StatementFailed => {
                self.experience.record_failure(now)
            }
            pool::Completion::Answered(_) => self.experience.record_success(),
            _ => {}
        }
    }

    /// The change of the leadership, if a member is the primary.
    fn primary_change(&self, member: &name::MemberName) -> Option<u64> {
        let view = self.context.views.borrow();
        let record = view.leaderships.get(self.context.group.as_str())?;
        (record.primary.as_ref() == Some(member)).then_some(record.change)
    }

    /// Tells the keeper what was seen of the primary: each change, and failures again and
    /// again.
    fn report(&mut self, now: Timestamp, member: &name::MemberName, sight: suspicion::Observation) {
        if self.primary_change(member).is_none() {
            return;
        }
        let is_news = sight != self.sighted;
        let is_due = now.since(self.reported) >= REPORT_EVERY;
        if !is_news && (sight == suspicion::Observation::Reached || !is_due) {
            return;
        }
        self.sighted = sight;
        self.reported = now;
        self.context.keeper.tell(keeper::Event::Sight {
            group: self.context.group.clone(),
            member: member.clone(),
            sight,
            is_failing: self.experience.is_failing(now),
        });
    }

    fn decide(&mut self, is_leased: bool) {
        let now = clock::now();
        self.probe(now);
        for decision in self.pool.poll(now, is_leased) {
            match decision {
                pool::Decision::Grant(grant) => self.grant(now, grant),
                pool::Decision::Refuse { id, reason } => {
                    if let Some(waiting) = self.waiting.remove(&id) {
                        // A caller that has left needs no refusal.
                        let _ = waiting.reply.send(Err(reason));
                    }
                }
            }
        }
        self.context
            .metrics
            .waiting(&self.context.group, self.pool.waiting());
    }
}
