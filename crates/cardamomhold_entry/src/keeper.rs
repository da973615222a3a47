//! The task that knows the leaderships, how long they may be relied on, and the other
//! instances; it publishes the view and starts handovers.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::duty;
use cardamomhold_lead::lease;
use cardamomhold_lead::record;
use cardamomhold_lead::renewal;
use cardamomhold_lead::round;
use cardamomhold_lead::suspicion;
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

/// Time between two looks at what is due.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Time for which other instances may have seen more of the store than this one.
const BEHIND_FOR: time::Duration = time::Duration::from_millis(500);

/// Longest wait for a primary that is probed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Age of the store's last answer up to which a holder says that it acts.
const ABLE: time::Duration = time::Duration::from_millis(1_500);

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
        sight: suspicion::Sight,
    },
    /// A probe of a primary ended.
    Probed {
        /// The group.
        group: name::GroupName,
        /// Number of the leadership that was meant.
        change: u64,
        /// What was seen.
        sight: suspicion::Sight,
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
    duty: Option<duty::Duty>,
    heard: Option<Timestamp>,
    instances: registry::Instances,
    roster: roster::Roster,
    round: Option<round::Round>,
    next_round: u64,
    needs: needs::Needs,
    running: collections::BTreeSet<name::GroupName>,
    announcements: collections::BTreeMap<name::GroupName, Announcement>,
    answered: Option<Timestamp>,
    outage: Option<String>,
    unfounded: Option<Timestamp>,
    reading: confirm::Handle,
    renewal: renewal::Renewal,
    /// The last question to the reader, and when it was sent.
    asked: (u64, Timestamp),
    seen: message::Seen,
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
            next_round: 0,
            needs: needs::Needs::default(),
            running: collections::BTreeSet::new(),
            announcements: collections::BTreeMap::new(),
            answered: None,
            outage: None,
            unfounded: None,
            reading,
            renewal: renewal::Renewal::default(),
            asked: (0, Timestamp(0)),
            seen: message::Seen::default(),
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
                    self.outage = Some(problem);
                }
            }
            Event::Datagram(from, envelope) => self.hear(now, from, envelope),
            Event::Sight {
                group,
                member,
                sight,
            } => self.saw(now, &group, &member, sight),
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
        let count = self.instances.len();
        self.published.views.send_modify(|v| v.instances = count);
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
        if !self.records.learn(record) {
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

    fn confirmed(&mut self, now: Timestamp, asked: Timestamp, control: &control::Control) {
        for (record, _) in control.records.values() {
            self.learn(record, "store");
        }
        self.learn_duty(control.duty.as_ref().map(|(d, _)| d));
        self.answered = Some(now);
        if let Some(problem) = self.outage.take() {
            log::info!("event=store_regained after=\"{problem}\"");
            self.published.epoch.send_modify(|e| *e += 1);
        }
        self.confirm(now, asked);
        self.found_missing(now);
    }

    fn learn_duty(&mut self, duty: Option<&duty::Duty>) {
        let Some(duty) = duty else {
            return;
        };
        if self
            .duty
            .as_ref()
            .is_some_and(|known| known.token >= duty.token)
        {
            return;
        }
        log::info!("event=duty holder={} token={}", duty.holder, duty.token);
        self.duty = Some(duty.clone());
        self.heard = None;
    }

    fn confirm(&mut self, now: Timestamp, asked: Timestamp) {
        self.lease.confirm(asked);
        let until = self.lease.until();
        self.published
            .standing
            .send_if_modified(|s| until > std::mem::replace(&mut s.until, until));
        self.note_lease(now);
    }

    /// Reports the lease when it begins or ends.
    fn note_lease(&mut self, now: Timestamp) {
        let is_leased = self.lease.is_valid(now);
        if is_leased == self.is_leased {
            return;
        }
        self.is_leased = is_leased;
        let event = if is_leased {
            "lease_gained"
        } else {
            "lease_lost"
        };
        log::info!(
            "event={event} answered_ms_ago={}",
            self.answered.map_or(0, |at| now.since(at).as_millis())
        );
    }

    /// Lets a group without any leadership get one.
    fn found_missing(&mut self, now: Timestamp) {
        let view = self.published.views.borrow().clone();
        for spec in &view.catalog.groups {
            let group = &spec.name;
            if self.records.get(group.as_str()).is_some() || self.running.contains(group) {
                continue;
            }
            let since = *self.unfounded.get_or_insert(now);
            let turn = registry::turn(&self.instances, &self.own, None);
            if now < since.after(duty::STAGGER * turn) {
                continue;
            }
            let job = self.job(group, suspicion::Cause::Unfinished);
            if job.members.is_empty() {
                continue;
            }
            self.running.insert(group.clone());
            let edges = self.edges.clone();
            let handle = self.handle.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = handover::found(&edges, &job).await {
                    log::info!(
                        "event=leadership_missing group={} error=\"{error}\"",
                        job.group
                    );
                }
                handle.tell(Event::Ended(job.group));
            });
        }
    }

    fn job(&self, group: &name::GroupName, cause: suspicion::Cause) -> handover::Job {
        let view = self.published.views.borrow();
        let mut members = Vec::new();
        let mut leaving = Vec::new();
        for member in view.members.values() {
            if member.group != *group {
                continue;
            }
            if member.state == view::MemberState::Leaving {
                leaving.push(member.name.clone());
            }
            members.push(link::Target {
                group: group.clone(),
                member: member.name.clone(),
                address: member.address,
            });
        }
        handover::Job {
            own: self.own.clone(),
            group: group.clone(),
            cause,
            members,
            leaving,
            voters: self.instances.keys().cloned().collect(),
        }
    }

    fn saw(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        member: &name::MemberName,
        sight: suspicion::Sight,
    ) {
        let Some(record) = self.records.get(group.as_str()) else {
            return;
        };
        if record.primary.as_ref() != Some(member) {
            return;
        }
        let change = record.change;
        if sight == suspicion::Sight::Failed {
            // A broken connection alone says little: all look again, this instance too.
            if self.is_holder() {
                self.ask_all(now, group, change);
            } else {
                let record = record.clone();
                self.probe(group, change, None);
                self.send_concern(&record, true);
            }
            return;
        }
        let own = self.own.clone();
        self.needs.learn(now, group, change, &own, sight);
    }

    /// Opens a connection to a primary and reports what came of it.
    fn probe(&self, group: &name::GroupName, change: u64, asker: Option<net::SocketAddr>) {
        let record = self.records.get(group.as_str());
        let Some(primary) = record
            .filter(|r| r.change == change)
            .and_then(|r| r.primary.clone())
        else {
            return;
        };
        let job = self.job(group, suspicion::Cause::Unreachable);
        let target = job.members.into_iter().find(|t| t.member == primary);
        let connector = self.edges.connector.clone();
        let handle = self.handle.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let sight = match target {
                Some(target) => sight_of(&connector, &target).await,
                None => suspicion::Sight::Failed,
            };
            handle.tell(Event::Probed {
                group,
                change,
                sight,
                asker,
            });
        });
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

    fn hear(&mut self, now: Timestamp, from: net::SocketAddr, envelope: message::Envelope) {
        let message::Envelope {
            from: name,
            message,
        } = envelope;
        let is_holder = self.duty.as_ref().is_some_and(|d| d.holder == name);
        match message {
            message::Message::Ask { number } => {
                if self.lease.may_vouch() {
                    let records = self.records.iter().cloned().collect();
                    let answer = message::Message::Answer { number, records };
                    self.peers.send(from, answer);
                }
            }
            message::Message::Answer { number, records } => {
                for record in &records {
                    self.learn(record, name.as_str());
                }
                self.count_answer(now, number, &name);
            }
            message::Message::Renew { number, seen } => {
                self.compare(now, seen);
                self.hear_renew(now, from, number);
            }
            message::Message::Renewed {
                number,
                age_us,
                records,
                duty,
                seen,
            } => {
                for record in &records {
                    self.learn(record, name.as_str());
                }
                self.learn_duty(duty.as_ref());
                self.compare(now, seen);
                if number == self.asked.0 {
                    // What was true that long before the answer was true that long before
                    // the question at the earliest.
                    self.confirm(now, Timestamp(self.asked.1.0.saturating_sub(age_us)));
                }
            }
            message::Message::Announce(record) => {
                self.learn(&record, name.as_str());
                let (group, change) = (record.group, record.change);
                self.peers
                    .send(from, message::Message::Ack { group, change });
            }
            message::Message::Ack { group, change } => self.acked(&name, &group, change),
            message::Message::Concern {
                group,
                change,
                has_failed,
            } => self.hear_concern(now, from, &group, change, has_failed),
            message::Message::Noted if is_holder => self.heard = Some(now),
            message::Message::Noted => {}
            message::Message::Probe { group, change } => self.probe(&group, change, Some(from)),
            message::Message::Seen {
                group,
                change,
                sight,
            } => self.needs.learn(now, &group, change, &name, sight),
        }
    }

    fn hear_concern(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        group: &name::GroupName,
        change: u64,
        has_failed: bool,
    ) {
        if has_failed {
            self.ask_all(now, group, change);
        }
        let is_able = self.answered.is_some_and(|at| now.since(at) < ABLE);
        if is_able && self.is_holder() {
            self.peers.send(from, message::Message::Noted);
        }
    }

    /// Asks every instance what it sees of a primary, unless that was done just now.
    fn ask_all(&mut self, now: Timestamp, group: &name::GroupName, change: u64) {
        let is_known = self
            .records
            .get(group.as_str())
            .is_some_and(|r| r.change == change);
        if !is_known || !self.needs.may_ask(now, group) {
            return;
        }
        self.probe(group, change, None);
        let group = group.clone();
        self.broadcast(&message::Message::Probe { group, change });
    }

    fn is_holder(&self) -> bool {
        self.duty.as_ref().is_some_and(|d| d.holder == self.own)
    }

    fn acked(&mut self, name: &name::InstanceName, group: &name::GroupName, change: u64) {
        let Some(announcement) = self.announcements.get_mut(group.as_str()) else {
            return;
        };
        if announcement.record.change != change {
            return;
        }
        announcement.missing.remove(name.as_str());
        if let Some(acks) = &announcement.acks {
            // A handover that has ended needs no acknowledgements.
            let _ = acks.send(name.clone());
        }
    }

    fn count_answer(&mut self, now: Timestamp, number: u64, name: &name::InstanceName) {
        let Some(round) = &mut self.round else {
            return;
        };
        round.answer(number, name);
        if round.is_majority() {
            let asked = round.asked;
            self.round = None;
            self.confirm(now, asked);
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

    /// Asks whoever can confirm the leaderships.
    fn renew(&mut self, now: Timestamp) {
        let left = self.lease.until().since(now);
        let reader = registry::reader(&self.instances, &self.own);
        let is_reader = *reader == self.own;
        let address = self.instances.get(reader.as_str()).map(|e| e.address);
        let is_away = self.outage.is_some();
        let questions = self.renewal.next(now, left, is_reader, is_away);
        if questions.store {
            self.reading.read();
        }
        if questions.reader
            && let Some(address) = address
        {
            self.asked = (self.asked.0 + 1, now);
            let (number, seen) = (self.asked.0, self.seen);
            self.peers
                .send(address, message::Message::Renew { number, seen });
        }
        if questions.majority && !self.instances.is_empty() {
            self.ask_majority(now);
        }
    }

    fn hear_renew(&mut self, now: Timestamp, from: net::SocketAddr, number: u64) {
        let Some(age) = self.lease.age(now).filter(|_| self.lease.may_vouch()) else {
            return;
        };
        let renewed = message::Message::Renewed {
            number,
            age_us: age.as_micros() as u64,
            records: self.records.iter().cloned().collect(),
            duty: self.duty.clone(),
            seen: self.seen,
        };
        self.peers.send(from, renewed);
    }

    /// Follows the store anew when another instance has seen more of it for a while: a watch
    /// may have gone silent.
    fn compare(&mut self, now: Timestamp, other: message::Seen) {
        if !self.seen.is_behind(other) {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) > BEHIND_FOR {
            log::warn!("event=behind seen={:?} other={other:?}", self.seen);
            self.behind = None;
            self.published.epoch.send_modify(|e| *e += 1);
        }
    }

    fn ask_majority(&mut self, now: Timestamp) {
        self.next_round += 1;
        let number = self.next_round;
        self.round = Some(round::Round::new(number, now, self.instances.len()));
        self.broadcast(&message::Message::Ask { number });
        if self.lease.may_vouch() {
            let own = self.own.clone();
            self.count_answer(now, number, &own);
        }
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

    fn see_to_needs(&mut self, now: Timestamp) {
        let place = needs::Place {
            is_holder: self.is_holder(),
            heard: self.heard,
            turn: registry::turn(
                &self.instances,
                &self.own,
                self.duty.as_ref().map(|d| &d.holder),
            ),
            instances: self.instances.len(),
        };
        let view = self.published.views.borrow().clone();
        for record in view.leaderships.iter() {
            let group = &record.group;
            let primary = record.primary.as_ref();
            let member = primary.and_then(|p| view.members.get(p.as_str()));
            let has_failed = self.needs.has_failed(now, group.as_str(), &self.own);
            let cause = self.needs.cause(now, record, member, place.instances);
            if cause.is_none() && !has_failed {
                continue;
            }
            if !place.is_holder {
                self.send_concern(record, has_failed);
            }
            if has_failed {
                self.ask_all(now, group, record.change);
            }
            let Some(cause) = cause else {
                continue;
            };
            if !self.running.contains(group) && self.needs.is_mine(now, group.as_str(), place) {
                self.start_handover(group, cause);
            }
        }
    }

    fn send_concern(&self, record: &record::Leadership, has_failed: bool) {
        let holder = self.duty.as_ref().map(|d| &d.holder);
        let entry = holder.and_then(|h| self.instances.get(h.as_str()));
        if let Some(entry) = entry {
            let message = message::Message::Concern {
                group: record.group.clone(),
                change: record.change,
                has_failed,
            };
            self.peers.send(entry.address, message);
        }
    }

    fn start_handover(&mut self, group: &name::GroupName, cause: suspicion::Cause) {
        log::info!(
            "event=handover_begun group={group} cause={} holder={}",
            cause.as_str(),
            self.duty.as_ref().map_or("none", |d| d.holder.as_str())
        );
        self.running.insert(group.clone());
        let job = self.job(group, cause);
        let edges = self.edges.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            match handover::run(&edges, &job, &handle).await {
                Ok(member) => {
                    log::info!("event=handover_done group={} primary={member}", job.group)
                }
                Err(error) => log::warn!(
                    "event=handover_failed group={} error=\"{error}\"",
                    job.group
                ),
            }
            tokio::time::sleep(TICK).await;
            handle.tell(Event::Ended(job.group));
        });
    }
}

/// A member that takes connections is not out of reach; one that hangs all the same loses its
/// entry in time.
async fn sight_of<C: link::Connector>(connector: &C, target: &link::Target) -> suspicion::Sight {
    match tokio::time::timeout(PROBE_TIMEOUT, connector.reach(target)).await {
        Ok(Ok(())) => suspicion::Sight::Reached,
        Ok(Err(_)) | Err(_) => suspicion::Sight::Failed,
    }
}
