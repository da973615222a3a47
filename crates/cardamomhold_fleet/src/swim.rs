//! Membership by heartbeat, in the manner of SWIM.
//!
//! An instance pings its own zone in turn; a peer that answers neither it nor its helpers is
//! suspected, and held dead unless it contradicts. Other zones are only sampled: their
//! instances are judged by their own neighbours, so that a partition between zones kills
//! nobody, and the traffic of an instance does not grow with the fleet.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::fleet;
use crate::message;
use crate::probe;
use crate::random;
use crate::roster;
use crate::timing;

/// What an instance starts with.
#[derive(Debug, Clone)]
pub struct Origin {
    /// The instance itself.
    pub own: fleet::Instance,
    /// Number of this life; higher than that of every earlier one.
    pub incarnation: u64,
    /// Addresses that are asked while nobody is known.
    pub seeds: Vec<String>,
    /// Seed of the random choices.
    pub seed: u64,
    /// The present time.
    pub now: Timestamp,
}

/// A wait for proof that the instance still belongs to the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejoin {
    since: Timestamp,
    /// Acks of earlier pings prove nothing.
    pub(crate) sequence: u64,
    /// Version of the configuration to reach; none before the first ack.
    pub(crate) through: Option<u64>,
}

/// The membership as one instance keeps it.
#[derive(Debug, Clone)]
pub struct Swim {
    pub(crate) own: fleet::Instance,
    pub(crate) incarnation: u64,
    seeds: Vec<String>,
    pub(crate) roster: roster::Roster,
    pub(crate) probe: probe::Probe,
    pub(crate) random: random::Random,
    pub(crate) sequence: u64,
    pub(crate) relays: collections::BTreeMap<u64, (String, u64)>,
    pub(crate) rejoin: Option<Rejoin>,
    pub(crate) through: u64,
    /// When the platform last answered anybody.
    pub(crate) heard: Option<Timestamp>,
    /// When anybody's message last came in.
    pub(crate) contact: Timestamp,
    pub(crate) last_tick: Timestamp,
    next_join: Timestamp,
    next_sync: Timestamp,
    pub(crate) is_urgent: bool,
    /// Whether anybody has told who else there is; until then the instance owns nothing, for
    /// alone in its own view it would own everything.
    is_settled: bool,
    started: Timestamp,
    pub(crate) revision: u64,
}

impl Swim {
    /// The membership at the start of an instance.
    pub fn new(origin: Origin) -> Self {
        let now = origin.now;
        let mut swim = Self {
            own: origin.own,
            incarnation: origin.incarnation,
            seeds: origin.seeds,
            roster: roster::Roster::default(),
            probe: probe::Probe::new(now),
            random: random::Random::new(origin.seed),
            sequence: origin.seed >> 16,
            relays: collections::BTreeMap::new(),
            rejoin: None,
            through: 0,
            heard: None,
            contact: now,
            last_tick: now,
            next_join: now,
            next_sync: now,
            is_urgent: true,
            is_settled: false,
            started: now,
            revision: 0,
        };
        swim.state_own(now);
        swim
    }

    /// Takes in the platform's list: only instances that nobody has told of yet.
    pub fn hint(&mut self, listed: &[fleet::Instance], now: Timestamp) {
        for instance in listed {
            self.roster.hint(instance, now);
        }
        self.settle();
        self.next_join = now;
    }

    /// Takes note of the configuration held in full.
    pub fn set_through(&mut self, through: u64) {
        if through > self.through {
            self.through = through;
            self.is_urgent = true;
        }
    }

    /// Takes note that the platform answered.
    pub fn set_heard(&mut self, now: Timestamp) {
        self.heard = Some(now);
    }

    /// Time since the platform answered anybody, as far as this instance knows.
    pub fn heard(&self, now: Timestamp) -> Option<time::Duration> {
        self.heard.map(|at| now.since(at))
    }

    /// Whether the instance has heard from anybody but the platform's list.
    pub fn is_joined(&self) -> bool {
        let mut known = self.roster.all();
        known.any(|k| k.rumor.incarnation > 0 && k.rumor.instance.name != self.own.name)
    }

    /// Until when the instance may act as an owner; none while it rejoins.
    pub fn valid_until(&self) -> Option<Timestamp> {
        match self.rejoin {
            Some(_) => None,
            None if !self.is_settled => None,
            None => Some(self.last_tick.after(timing::STALE_AFTER)),
        }
    }

    /// A number that rises whenever [`Swim::fleet`] changes.
    pub fn revision(&self) -> u64 {
        self.revision + self.roster.revision()
    }

    /// The fleet as it is known here; empty before anybody has told who there is.
    pub fn fleet(&self) -> fleet::Fleet {
        let mut fleet = fleet::Fleet::default();
        if !self.is_settled {
            return fleet;
        }
        for known in self.roster.all() {
            fleet.insert(known.rumor.instance.clone());
        }
        for zone in self.probe.cut_zones() {
            fleet.cut(zone.clone());
        }
        fleet
    }

    /// What is known, for a comparison of the whole membership.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Announces that the instance leaves.
    pub fn leave(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.own.state = fleet::InstanceState::Leaving;
        self.incarnation += 1;
        self.state_own(now);
        for address in self.some(timing::LEAVE_TOLD) {
            self.ping(address, false, outputs);
        }
    }

    /// Moves on in time; to be called every [`timing::TICK`].
    pub fn tick(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.wake(now);
        if now.since(self.started) >= timing::REJOIN_LIMIT {
            self.settle();
        }
        self.settle_rejoin(now, outputs);
        self.run_probe(now, outputs);
        if now >= self.next_join && !self.is_joined() {
            self.join(now, outputs);
        }
        if now >= self.next_sync && self.is_joined() {
            self.next_sync = now.after(timing::JOIN_PERIOD);
            // Neighbours share what they missed, so that other zones are asked as well.
            let remote = self
                .any_remote()
                .filter(|_| self.sequence.is_multiple_of(2));
            let chosen = remote.or_else(|| self.some(1).pop());
            outputs.extend(chosen.map(message::Output::Sync));
        }
        if std::mem::take(&mut self.is_urgent) {
            self.announce(outputs);
        }
    }

    /// Finds out whether the instance itself was paused.
    pub(crate) fn wake(&mut self, now: Timestamp) {
        let pause = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if pause < timing::STALE_AFTER {
            return;
        }
        self.sequence += 1;
        self.rejoin = Some(Rejoin {
            since: now,
            sequence: self.sequence,
            through: None,
        });
        self.incarnation += 1;
        self.state_own(now);
        self.probe.reset(now);
        self.roster.restart_suspicions(now);
        self.contact = now;
        self.next_sync = now;
    }

    fn settle_rejoin(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        if self.end_rejoin(now) {
            return;
        }
        for address in self.some(timing::HELPERS) {
            self.ping(address, true, outputs);
        }
    }

    /// Ends the wait if it is over; true when there is none any more.
    pub(crate) fn end_rejoin(&mut self, now: Timestamp) -> bool {
        let Some(rejoin) = self.rejoin else {
            return true;
        };
        let is_fresh = rejoin.through.is_some_and(|t| self.through >= t);
        let is_over = now.since(rejoin.since) >= timing::REJOIN_LIMIT;
        if is_fresh || is_over || self.roster.len() == 1 {
            self.rejoin = None;
        }
        self.rejoin.is_none()
    }

    /// Asks the seeds, and whoever the platform lists, who they are.
    fn join(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.next_join = now.after(timing::JOIN_PERIOD);
        let mut addresses = self.some(timing::HELPERS);
        addresses.extend(self.seeds.iter().cloned());
        for address in addresses {
            if address != self.own.address {
                self.ping(address, true, outputs);
            }
        }
    }

    /// Tells a few instances at once that there is news.
    fn announce(&mut self, outputs: &mut Vec<message::Output>) {
        let mut addresses = self.some(timing::ANNOUNCED);
        addresses.extend(self.any_remote());
        addresses.dedup();
        for address in addresses {
            self.ping(address, false, outputs);
        }
    }

    /// Takes in a membership that needs no passing on, because everybody has it.
    pub fn adopt(&mut self, rumors: &[message::Rumor], now: Timestamp) {
        for rumor in rumors {
            self.learn(rumor, now);
        }
        self.roster.settle();
        self.settle();
    }

    /// Takes in what a comparison of the whole membership brought.
    pub fn synced(&mut self, rumors: &[message::Rumor], now: Timestamp) {
        self.next_sync = now.after(timing::SYNC_PERIOD);
        for rumor in rumors {
            self.learn(rumor, now);
        }
        self.settle();
    }

    fn settle(&mut self) {
        if !self.is_settled {
            self.is_settled = true;
            self.revision += 1;
        }
    }

    /// Takes in what is said of an instance.
    pub(crate) fn learn(&mut self, rumor: &message::Rumor, now: Timestamp) {
        if rumor.instance.name == self.own.name {
            self.refute(rumor, now);
            return;
        }
        if self.roster.merge(rumor, now) && rumor.instance.state == fleet::InstanceState::Leaving {
            self.is_urgent = true;
        }
    }

    fn refute(&mut self, rumor: &message::Rumor, now: Timestamp) {
        let own = message::Rumor {
            instance: self.own.clone(),
            incarnation: self.incarnation,
        };
        if !rumor.overrides(&own) {
            return;
        }
        self.incarnation = rumor.incarnation + 1;
        self.state_own(now);
        self.is_urgent = true;
    }

    fn state_own(&mut self, now: Timestamp) {
        let own = message::Rumor {
            instance: self.own.clone(),
            incarnation: self.incarnation,
        };
        self.roster.merge(&own, now);
    }

    /// Addresses of some instances at random: of the own zone first, then of others.
    pub(crate) fn some(&mut self, count: usize) -> Vec<String> {
        let serving = self.roster.serving(&self.own.zone);
        let others = serving.filter(|i| i.name != self.own.name);
        let mut addresses: Vec<String> = others.map(|i| i.address.clone()).collect();
        self.random.shuffle(&mut addresses);
        addresses.truncate(count);
        for _ in addresses.len()..count {
            let Some(address) = self.any_remote() else {
                break;
            };
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }

    /// An address of another zone, chosen at random.
    fn any_remote(&mut self) -> Option<String> {
        let zones = self.roster.zones().filter(|z| **z != self.own.zone);
        let zones: Vec<name::ZoneName> = zones.cloned().collect();
        let at = self.random.below(zones.len());
        self.any_of(zones.get(at)?)
    }

    /// An address of a zone, chosen at random among those that serve there.
    pub(crate) fn any_of(&mut self, zone: &name::ZoneName) -> Option<String> {
        let count = self.roster.serving(zone).count();
        let at = self.random.below(count);
        let chosen = self.roster.serving(zone).nth(at);
        chosen.map(|i| i.address.clone())
    }
}
