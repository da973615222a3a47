//! The task that knows the leaderships, how long they may be relied on, and the other
//! instances; it publishes the view and starts handovers.

use std::collections;
use std::net;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::lease;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::renewal;
use cardamomhold_lead::round;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::exchange;
use cardamomhold_pool::sample;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::confirm;
use crate::control;
use crate::handover;
use crate::link;
use crate::message;
use crate::needs;
use crate::peers;
use crate::promoter;
use crate::registry;
use crate::roster;
use crate::store;
use crate::view;

mod act;
mod hear;
mod renew;

/// Time between two looks at what is due.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Time for which a leadership without a successor is announced.
const ANNOUNCE_FOR: time::Duration = time::Duration::from_millis(1_000);

/// What the keeper is told.
#[derive(Debug)]
pub enum Event {
    /// The operators' configuration.
    Catalog(view::Catalog),
    /// The members' entries.
    Members {
        /// The members.
        members: collections::BTreeMap<name::MemberName, view::Member>,
        /// Newest revision among the entries.
        revision: u64,
    },
    /// The registered instances.
    Instances(registry::Instances),
    /// The store's control objects, read by a question sent at that time.
    Confirmed(Timestamp, control::Control),
    /// The store gave no answer.
    Unconfirmed(String),
    /// Another instance spoke.
    Datagram(net::SocketAddr, message::Envelope),
    /// This instance saw or missed a primary.
    Sight {
        /// The group.
        group: name::GroupName,
        /// The member that was the primary.
        member: name::MemberName,
        /// What was seen.
        sight: suspicion::Observation,
        /// Whether it fails all work, though it may take connections.
        is_failing: bool,
    },
    /// This instance saw a primary's position.
    Sampled {
        /// The group.
        group: name::GroupName,
        /// The position, and when it was asked for.
        sample: sample::Sample,
    },
    /// A probe of a primary ended.
    Probed {
        /// The group.
        group: name::GroupName,
        /// Number of the leadership that was meant.
        change: u64,
        /// What was seen.
        sight: suspicion::Observation,
        /// Who asked.
        asker: Option<net::SocketAddr>,
    },
    /// A leadership was written and is to be made known.
    Announce {
        /// The leadership.
        record: record::Leadership,
        /// Gets the names of those that have acknowledged.
        acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    },
    /// A handover ended.
    Ended(name::GroupName),
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Tells the keeper something.
    pub fn tell(&self, event: Event) {
        // The keeper ends only with the process.
        let _ = self.events.send(event);
    }
}

/// Makes a handle and the mailbox that the task reads.
pub fn mailbox() -> (Handle, mpsc::UnboundedReceiver<Event>) {
    let (events, mailbox) = mpsc::unbounded_channel();
    (Handle { events }, mailbox)
}

/// What the keeper publishes.
#[derive(Debug)]
pub struct Published {
    /// The view.
    pub views: watch::Sender<view::View>,
    /// The lease.
    pub standing: watch::Sender<view::Standing>,
    /// The newest samples of the primaries' positions.
    pub samples: watch::Sender<view::Samples>,
    /// Rises when the store answers again after an outage.
    pub epoch: watch::Sender<u64>,
}

struct Announcement {
    record: record::Leadership,
    acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    missing: collections::BTreeSet<name::InstanceName>,
    since: Timestamp,
}

/// The task's state.
pub struct Keeper<S, C, P> {
    own: name::InstanceName,
    edges: handover::Edges<S, C, P>,
    peers: peers::Peers,
    handle: Handle,
    published: Published,
    records: record::Leaderships,
    lease: lease::Lease,
    is_leased: bool,
    duty: Option<promotion_lock::PromotionLock>,
    heard: Option<Timestamp>,
    instances: registry::Instances,
    roster: roster::Roster,
    round: Option<round::Round>,
    next_round: u64,
    needs: needs::Needs,
    running: collections::BTreeSet<name::GroupName>,
    announcements: collections::BTreeMap<name::GroupName, Announcement>,
    answered: Option<Timestamp>,
    /// Since when the store does not answer, and the problem.
    outage: Option<(Timestamp, String)>,
    /// When the store last answered again after an outage that others may not have had.
    regained: Option<Timestamp>,
    unfounded: Option<Timestamp>,
    reading: confirm::Handle,
    renewal: renewal::Renewal,
    /// The last question to the reader, and when it was sent.
    asked: (u64, Timestamp),
    /// Groups whose primary fails all work of this instance, since when that is known.
    failing: collections::BTreeMap<name::GroupName, Timestamp>,
    seen: message::Seen,
    exchange: exchange::Exchange,
    behind: Option<Timestamp>,
}

impl<S, C, P> Keeper<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// A keeper that knows nothing yet.
    pub fn new(
        own: name::InstanceName,
        edges: handover::Edges<S, C, P>,
        peers: peers::Peers,
        handle: Handle,
        reading: confirm::Handle,
        published: Published,
    ) -> Self {
        Self {
            own,
            edges,
            peers,
            handle,
            published,
            records: record::Leaderships::default(),
            lease: lease::Lease::new(clock::now()),
            is_leased: false,
            duty: None,
            heard: None,
            instances: registry::Instances::new(),
            roster: roster::Roster::default(),
            round: None,
            // Answers to an earlier life of this instance carry other numbers.
            next_round: clock::now().0,
            needs: needs::Needs::default(),
            running: collections::BTreeSet::new(),
            announcements: collections::BTreeMap::new(),
            answered: None,
            outage: None,
            regained: None,
            unfounded: None,
            reading,
            renewal: renewal::Renewal::default(),
            asked: (clock::now().0, Timestamp(0)),
            failing: collections::BTreeMap::new(),
            seen: message::Seen::default(),
            exchange: exchange::Exchange::new(clock::life()),
            behind: None,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Event>) {
        let mut ticks = tokio::time::interval(TICK);
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
            Event::Catalog(catalog) => self.take_catalog(catalog),
            Event::Members { members, revision } => {
                self.seen.members = self.seen.members.max(revision);
                self.roster.take(now, members);
                self.publish_members(now);
            }
            Event::Instances(instances) => self.take_instances(instances),
            Event::Confirmed(asked, control) => self.confirmed(now, asked, &control),
            Event::Unconfirmed(problem) => {
                self.roster.hold(now);
                if self.outage.is_none() {
                    log::warn!("event=store_lost problem=\"{problem}\"");
                    self.outage = Some((now, problem));
                }
            }
            Event::Datagram(from, envelope) => self.hear(now, from, envelope),
            Event::Sight {
                group,
                member,
                sight,
                is_failing,
            } => {
                self.note_failing(now, &group, is_failing);
                self.saw(now, &group, &member, sight);
            }
            Event::Sampled { group, sample } => {
                self.exchange.insert(&group, sample);
            }
            Event::Probed {
                group,
                change,
                sight,
                asker,
            } => {
                let own = self.own.clone();
                self.needs.learn(now, &group, change, &own, sight);
                if let Some(asker) = asker {
                    let message = message::Message::Seen {
                        group,
                        change,
                        sight,
                    };
                    self.peers.send(asker, message);
                }
            }
            Event::Announce { record, acks } => self.announce(now, record, acks),
            Event::Ended(group) => {
                self.running.remove(group.as_str());
            }
        }
    }

    fn take_catalog(&mut self, catalog: view::Catalog) {
        let version = self.published.views.borrow().catalog.version;
        if catalog.version <= version {
            if catalog.version < version {
                log::warn!(
                    "event=config_older version={} known={version}",
                    catalog.version
                );
            }
            return;
        }
        log::info!(
            "event=config version={} before={version} routes={} groups={}",
            catalog.version,
            catalog.routes.len(),
            catalog.groups.len()
        );
        self.seen.config = catalog.version;
        self.published
            .views
            .send_modify(|v| v.catalog = catalog.into());
    }

    fn take_instances(&mut self, instances: registry::Instances) {
        if instances == self.instances {
            return;
        }
        log::info!("event=instances count={}", instances.len());
        self.instances = instances;
        let fleet = sync::Arc::new(self.instances.clone());
        self.published.views.send_modify(|v| v.fleet = fleet);
    }

    fn publish_members(&mut self, now: Timestamp) {
        let members = self.roster.members(now);
        if *self.published.views.borrow().members != members {
            self.published
                .views
                .send_modify(|v| v.members = members.into());
        }
    }

    /// Takes a leadership, from wherever it comes.
    fn learn(&mut self, record: &record::Leadership, source: &str) {
        if !self.records.update(record) {
            return;
        }
        log::info!(
            "event=leadership group={} change={} primary={} term={} source={source}",
            record.group,
            record.change,
            record.primary.as_ref().map_or("none", |p| p.as_str()),
            record.term
        );
        let records = self.records.clone();
        self.published
            .views
            .send_modify(|v| v.leaderships = records.into());
    }

    fn announce(
        &mut self,
        now: Timestamp,
        record: record::Leadership,
        acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    ) {
        self.learn(&record, "own");
        if let Some(acks) = &acks {
            // A handover that has ended needs no acknowledgements.
            let _ = acks.send(self.own.clone());
        }
        let mut missing: collections::BTreeSet<_> = self.instances.keys().cloned().collect();
        missing.remove(self.own.as_str());
        let announcement = Announcement {
            record,
            acks,
            missing,
            since: now,
        };
        self.send_announcement(&announcement);
        let group = announcement.record.group.clone();
        self.announcements.insert(group, announcement);
    }

    fn send_announcement(&self, announcement: &Announcement) {
        for name in &announcement.missing {
            if let Some(entry) = self.instances.get(name.as_str()) {
                let message = message::Message::Announce(announcement.record.clone());
                self.peers.send(entry.address, message);
            }
        }
    }

    fn broadcast(&self, message: &message::Message) {
        for (name, entry) in &self.instances {
            if *name != self.own {
                self.peers.send(entry.address, message.clone());
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.note_lease(now);
        self.renew(now);
        if self.roster.is_holding() {
            self.publish_members(now);
        }
        self.repeat_announcements(now);
        self.see_to_needs(now);
    }

    fn repeat_announcements(&mut self, now: Timestamp) {
        self.announcements.retain(|_, a| {
            let is_waited_for = a.acks.as_ref().is_some_and(|acks| !acks.is_closed());
            is_waited_for || now.since(a.since) < ANNOUNCE_FOR
        });
        for announcement in self.announcements.values() {
            self.send_announcement(announcement);
        }
    }
}
