//! Coordinator task: keeps the leaderships, the lease on them and the membership of other
//! instances, publishes the view and starts handovers.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::answer_budget;
use cardamomhold_lead::lease;
use cardamomhold_lead::pages;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::renewal;
use cardamomhold_lead::round;
use cardamomhold_pool::exchange;
use cardamomhold_pool::interest;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xxhash_rust::xxh3;

use crate::clock;
use crate::control_reader;
use crate::creations;
use crate::currency;
use crate::failovers;
use crate::follow;
use crate::handover;
use crate::lag;
use crate::limits;
use crate::link;
use crate::message;
use crate::peers;
use crate::promoter;
use crate::registry;
use crate::restarts;
use crate::roster;
use crate::stop;
use crate::store;
use crate::view;

mod announcement;
mod electorate;
mod event;
mod failover;
mod job;
mod lease_renewal;
mod lock;
mod messages;
mod presence;
mod state;
mod versions;

pub use event::Event;
pub use event::Handle;
pub use event::mailbox;

/// Interval at which the task renews the lease, repeats announcements and checks for
/// failovers.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Channels on which the coordinator publishes its state.
#[derive(Debug)]
pub struct Published {
    /// Configuration, members and leaderships.
    pub views: watch::Sender<view::View>,
    /// End of the lease on the leaderships.
    pub leases: watch::Sender<view::Lease>,
    /// The newest sample of each primary's log position.
    pub samples: watch::Sender<view::Samples>,
    /// Incremented when the store's watches must restart: after an outage, or when others are ahead.
    pub epoch: watch::Sender<u64>,
    /// The tasks that keep the copies of the store's objects, in the order of [`contents::Kind::ALL`].
    pub follows: [follow::Handle; 3],
    /// Times in which changes in the store must be in force, by which these tasks are directed.
    pub bounds: currency::Bounds,
    /// The limits of workspaces, whose task is told the voters and its datagrams.
    pub limits: limits::Handle,
}

/// A renewal request that was sent to a reader.
#[derive(Debug, Clone, Copy)]
struct RenewalRequest {
    number: u64,
    sent: Timestamp,
    level: renewal::Level,
}

/// A renewal request of another instance that waits for the next confirmation.
#[derive(Debug, Clone)]
struct HeldRequest {
    from: net::SocketAddr,
    number: u64,
    /// The other instance's leaderships and voters.
    held: message::Held,
    /// Stamp of the last answer that the other instance has received.
    reference: Option<exchange::Stamp>,
    /// The groups whose samples the other instance wants.
    wanted: interest::Wanted,
    since: Timestamp,
}

/// State of the coordinator task.
pub struct Coordinator<S, C, P> {
    own: name::InstanceName,
    adapters: handover::Adapters<S, C, P>,
    peers: peers::Peers,
    handle: Handle,
    published: Published,
    records: record::Leaderships,
    /// Identifies this run in the marks of the other instances.
    run_id: u32,
    /// How much of the other instances' leaderships this one has received.
    marks: pages::Marks,
    lease: lease::Lease,
    is_leased: bool,
    /// The promotion lock.
    tenure: promotion_lock::Tenure,
    /// Whether an attempt to acquire the first promotion lock is running.
    is_acquiring: bool,
    electorate: electorate::Electorate,
    phase: watch::Receiver<stop::Phase>,
    instances: registry::Instances,
    presence: presence::Presence,
    roster: roster::Roster,
    round: Option<round::Round>,
    /// Number of the last majority round.
    last_round: u64,
    failovers: failovers::Failovers,
    /// Instances that wait for the result of a running probe.
    probe_requesters:
        collections::BTreeMap<name::GroupName, collections::BTreeSet<net::SocketAddr>>,
    /// Groups with a running handover or creation of their first leadership.
    running: collections::BTreeSet<name::GroupName>,
    announcements: collections::BTreeMap<name::GroupName, announcement::Announcement>,
    /// When the store last answered a read.
    store_answered: Option<Timestamp>,
    /// Start of the current store outage, and its first problem.
    outage: Option<(Timestamp, String)>,
    /// End of the last store outage, until the watches have started again.
    regained_unlisted: Option<Timestamp>,
    /// End of this instance's last long store outage; others may not have had it.
    store_regained: Option<Timestamp>,
    /// Groups without a leadership.
    creations: creations::Creations,
    control_reader: control_reader::Handle,
    renewal: renewal::Renewal,
    /// The last renewal requests to readers, the newest last.
    requests: collections::VecDeque<RenewalRequest>,
    /// Number of the last renewal request.
    last_request: u64,
    answer_budget: answer_budget::AnswerBudget,
    /// Renewal requests of other instances that wait for the next confirmation.
    held: collections::BTreeMap<name::InstanceName, HeldRequest>,
    /// Groups on whose primary this instance's statements fail, with the time of the last
    /// report.
    failing: collections::BTreeMap<name::GroupName, Timestamp>,
    /// Newest versions received from the store.
    seen: message::Seen,
    exchange: exchange::Exchange,
    /// The groups whose samples this instance uses.
    interest: interest::Interest,
    restarts: restarts::Restarts,
    /// Whether other instances have newer versions from the store.
    lag: lag::Lag,
    /// Up to which time the copies of the store's objects are complete.
    currency: currency::Currency,
}

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Creates a coordinator without any state yet.
    pub fn new(
        own: name::InstanceName,
        adapters: handover::Adapters<S, C, P>,
        peers: peers::Peers,
        handle: Handle,
        control_reader: control_reader::Handle,
        published: Published,
        phase: watch::Receiver<stop::Phase>,
    ) -> Self {
        let bounds = published.bounds;
        let tenure = promotion_lock::Tenure::new(clock::now(), &own);
        let run_id = clock::run_id();
        Self {
            own,
            adapters,
            peers,
            handle,
            published,
            records: record::Leaderships::default(),
            run_id: run_id as u32,
            marks: pages::Marks::default(),
            lease: lease::Lease::new(clock::now()),
            is_leased: false,
            tenure,
            is_acquiring: false,
            electorate: electorate::Electorate::default(),
            phase,
            instances: registry::Instances::new(),
            presence: presence::Presence::default(),
            roster: roster::Roster::default(),
            round: None,
            // Starts at the current time, as answers to an earlier process must not match.
            last_round: clock::now().0,
            failovers: failovers::Failovers::default(),
            probe_requesters: collections::BTreeMap::new(),
            running: collections::BTreeSet::new(),
            announcements: collections::BTreeMap::new(),
            store_answered: None,
            outage: None,
            regained_unlisted: None,
            store_regained: None,
            creations: creations::Creations::default(),
            control_reader,
            renewal: renewal::Renewal::default(),
            requests: collections::VecDeque::new(),
            last_request: clock::now().0,
            answer_budget: answer_budget::AnswerBudget::default(),
            held: collections::BTreeMap::new(),
            failing: collections::BTreeMap::new(),
            seen: message::Seen::default(),
            exchange: exchange::Exchange::new(run_id),
            interest: interest::Interest::default(),
            restarts: restarts::Restarts::default(),
            lag: lag::Lag::default(),
            currency: currency::Currency::new(clock::now(), bounds),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Event>) {
        let start = tokio::time::Instant::now() + phase_of(&self.own);
        let mut ticks = tokio::time::interval_at(start, TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = mailbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Catalog(catalog) => self.update_catalog(catalog),
            Event::Members { members, revision } => {
                self.seen.members = self.seen.members.max(revision);
                self.roster.update(now, members);
                self.publish_members(now);
            }
            Event::Held(kind, held) => {
                self.currency.record_held(kind, held);
                // The first copy of the instances shows this one's rank.
                self.publish_modes(now);
            }
            Event::Instances(instances) => self.update_instances(instances),
            Event::ControlRead(sent, control) => self.handle_control(now, sent, &control),
            Event::ControlReadFailed(problem) => {
                self.roster.restart_timeouts(now);
                if self.outage.is_none() {
                    log::warn!("event=store_lost problem=\"{problem}\"");
                    self.outage = Some((now, problem));
                }
            }
            Event::Datagram(from, envelope) => self.handle_datagram(now, from, envelope),
            Event::PrimaryObserved {
                group,
                member,
                observation,
                is_failing,
            } => {
                self.set_failing(now, &group, is_failing);
                self.handle_observation(now, &group, &member, observation);
            }
            Event::Sampled { group, sample } => {
                self.exchange.insert(&group, sample);
            }
            Event::SamplesUsed(group) => self.interest.record_use(now, &group),
            Event::Probed {
                group,
                change,
                observation,
            } => self.handle_probed(now, &group, change, observation),
            Event::Announce { record, acks } => self.announce(now, record, acks),
            Event::LeadershipCreated => self.acquire_first_lock(),
            Event::FirstLockEnded(lock) => {
                self.is_acquiring = false;
                self.update_lock(now, lock.as_ref());
            }
            Event::HandoverEnded(group) => {
                self.running.remove(group.as_str());
            }
            Event::LockAcquired { lock, former } => self.handle_acquired(now, &lock, former),
            Event::PromotionRequested { token, reply } => self.permit_promotion(now, token, reply),
            Event::PromotionEnded => self.tenure.end_call(now),
            Event::VotersWritten => {
                self.electorate.end_write();
                self.control_reader.read();
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.update_presence(now);
        self.log_lease_change(now);
        self.publish_isolation(now);
        self.request_vouch(now);
        self.publish_modes(now);
        self.restart_watches(now);
        self.answer_overdue(now);
        self.renew_lease(now);
        if self.roster.has_missing() {
            self.publish_members(now);
        }
        self.repeat_announcements(now);
        self.request_release(now);
        self.check_failovers(now);
    }
}

/// Offset of an instance's ticks, so that the requests of instances that start at the same time
/// don't reach their reader at the same time.
fn phase_of(own: &name::InstanceName) -> time::Duration {
    let hash = xxh3::xxh3_64(own.as_str().as_bytes());
    time::Duration::from_micros(hash % TICK_INTERVAL.as_micros() as u64)
}
