//! Membership by pings and rumours, based on SWIM.
//!
//! An instance pings the instances of its own zone one after another. A peer that answers
//! neither the instance nor its helpers is suspected, and declared dead unless it refutes the
//! suspicion. Of the other zones it pings one random instance at a time; their instances are
//! declared dead only by instances of the same zone. Thus a partition between zones makes no
//! instance dead, and an instance's traffic doesn't grow with the fleet.

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

/// Configuration of an instance's membership at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// The instance itself.
    pub own: fleet::Instance,
    /// First incarnation of this process; higher than every earlier one of the instance.
    pub incarnation: u64,
    /// Addresses that are pinged while no other instance is known.
    pub seeds: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The current time.
    pub now: Timestamp,
}

/// Rejoin of an instance that was paused: it waits for an ack as proof that it still belongs to the
/// fleet, and for the configuration version named in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejoin {
    since: Timestamp,
    /// Only acks with a higher sequence number count: earlier ones may be from before the pause.
    pub(crate) sequence: u64,
    /// Configuration version to reach; none before the first ack.
    pub(crate) through: Option<u64>,
}

/// Membership state of one instance.
#[derive(Debug, Clone)]
pub struct Swim {
    pub(crate) own: fleet::Instance,
    pub(crate) incarnation: u64,
    seeds: Vec<String>,
    pub(crate) roster: roster::Roster,
    pub(crate) probe: probe::Probe,
    pub(crate) random: random::Random,
    pub(crate) sequence: u64,
    /// Pings on behalf of others by sequence number, with the requester's address and its
    /// sequence number.
    pub(crate) relays: collections::BTreeMap<u64, (String, u64)>,
    pub(crate) rejoin: Option<Rejoin>,
    pub(crate) through: u64,
    /// Time of the platform's newest answer to any instance.
    pub(crate) last_answer: Option<Timestamp>,
    /// Time of the last message received.
    pub(crate) last_received: Timestamp,
    pub(crate) last_tick: Timestamp,
    next_join: Timestamp,
    next_sync: Timestamp,
    /// Whether a few instances are to be pinged at the next tick: at the start, or because of an
    /// urgent rumour or a new configuration version.
    pub(crate) is_urgent: bool,
    /// Whether the instance has received a list of other instances, or has waited long enough for
    /// one. Until then it owns nothing, because alone in its view it would own every endpoint.
    is_initialized: bool,
    started: Timestamp,
    pub(crate) revision: u64,
}

impl Swim {
    /// Creates the membership of an instance that starts.
    pub fn new(config: Config) -> Self {
        let now = config.now;
        let mut swim = Self {
            own: config.own,
            incarnation: config.incarnation,
            seeds: config.seeds,
            roster: roster::Roster::default(),
            probe: probe::Probe::new(now),
            random: random::Random::new(config.seed),
            sequence: config.seed >> 16,
            relays: collections::BTreeMap::new(),
            rejoin: None,
            through: 0,
            last_answer: None,
            last_received: now,
            last_tick: now,
            next_join: now,
            next_sync: now,
            is_urgent: true,
            is_initialized: false,
            started: now,
            revision: 0,
        };
        swim.store_own_rumor(now);
        swim
    }

    /// Adds those instances of the platform's list that are unknown.
    pub fn add_listed(&mut self, listed: &[fleet::Instance], now: Timestamp) {
        for instance in listed {
            self.roster.insert_listed(instance, now);
        }
        self.mark_initialized();
        self.next_join = now;
    }

    /// Sets the version up to which this instance has every change of the configuration.
    pub fn set_through(&mut self, through: u64) {
        if through > self.through {
            self.through = through;
            self.is_urgent = true;
        }
    }

    /// Records an answer of the platform to this instance.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
    }

    /// Time since the platform's newest known answer to any instance.
    pub fn answer_age(&self, now: Timestamp) -> Option<time::Duration> {
        self.last_answer.map(|answered_at| now.since(answered_at))
    }

    /// Whether the instance knows another one from a rumour, not only from the platform's list.
    pub fn is_joined(&self) -> bool {
        let mut known = self.roster.all();
        known.any(|k| k.rumor.incarnation > 0 && k.rumor.instance.name != self.own.name)
    }

    /// Time until which the instance may act as an owner; none while it rejoins, and after a start
    /// until it has a list of other instances or has waited long enough for one.
    pub fn valid_until(&self) -> Option<Timestamp> {
        match self.rejoin {
            Some(_) => None,
            None if !self.is_initialized => None,
            None => Some(self.last_tick.after(timing::MAX_TICK_GAP)),
        }
    }

    /// Counter that rises whenever [`Swim::fleet`] changes.
    pub fn revision(&self) -> u64 {
        self.revision + self.roster.revision()
    }

    /// The fleet as known to this instance; empty before it has a list of other instances.
    pub fn fleet(&self) -> fleet::Fleet {
        let mut fleet = fleet::Fleet::default();
        if !self.is_initialized {
            return fleet;
        }
        for known in self.roster.all() {
            fleet.insert(known.rumor.instance.clone());
        }
        for zone in self.probe.unreachable_zones() {
            fleet.mark_unreachable(zone.clone());
        }
        fleet
    }

    /// The table of known instances, for a comparison of the full membership.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Sets the own state to leaving and announces it.
    pub fn leave(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.own.state = fleet::InstanceState::Leaving;
        self.incarnation += 1;
        self.store_own_rumor(now);
        for address in self.random_addresses(timing::LEAVE_PING_COUNT) {
            self.ping(address, false, outputs);
        }
    }

    /// Handles all timers; to be called every [`timing::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.detect_pause(now);
        if now.since(self.started) >= timing::MAX_REJOIN_WAIT {
            self.mark_initialized();
        }
        self.continue_rejoin(now, outputs);
        self.run_probes(now, outputs);
        if now >= self.next_join && !self.is_joined() {
            self.join(now, outputs);
        }
        if now >= self.next_sync && self.is_joined() {
            // Retried at this interval until `apply_sync` sets the regular one.
            self.next_sync = now.after(timing::JOIN_INTERVAL);
            // Instances of one zone may have missed the same rumours, so other zones are
            // asked as well.
            let remote = self
                .random_remote()
                .filter(|_| self.sequence.is_multiple_of(2));
            let chosen = remote.or_else(|| self.random_addresses(1).pop());
            outputs.extend(chosen.map(message::Output::Sync));
        }
        if std::mem::take(&mut self.is_urgent) {
            self.announce(outputs);
        }
    }

    /// Starts a rejoin if the instance itself was paused.
    pub(crate) fn detect_pause(&mut self, now: Timestamp) {
        let pause = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if pause < timing::MAX_TICK_GAP {
            return;
        }
        self.sequence += 1;
        self.rejoin = Some(Rejoin {
            since: now,
            sequence: self.sequence,
            through: None,
        });
        self.incarnation += 1;
        self.store_own_rumor(now);
        self.probe.reset(now);
        self.roster.restart_suspicions(now);
        self.last_received = now;
        self.next_sync = now;
    }

    fn continue_rejoin(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        if self.end_rejoin(now) {
            return;
        }
        for address in self.random_addresses(timing::HELPER_COUNT) {
            self.ping(address, true, outputs);
        }
    }

    /// Ends the rejoin if its condition is met; true if none is in progress any more.
    pub(crate) fn end_rejoin(&mut self, now: Timestamp) -> bool {
        let Some(rejoin) = self.rejoin else {
            return true;
        };
        let is_current = rejoin.through.is_some_and(|t| self.through >= t);
        let is_expired = now.since(rejoin.since) >= timing::MAX_REJOIN_WAIT;
        if is_current || is_expired || self.roster.len() == 1 {
            self.rejoin = None;
        }
        self.rejoin.is_none()
    }

    /// Pings the seeds and some instances of the platform's list for their own rumours.
    fn join(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.next_join = now.after(timing::JOIN_INTERVAL);
        let mut addresses = self.random_addresses(timing::HELPER_COUNT);
        addresses.extend(self.seeds.iter().cloned());
        for address in addresses {
            if address != self.own.address {
                self.ping(address, true, outputs);
            }
        }
    }

    /// Pings a few instances immediately to send urgent rumours or a new configuration version.
    fn announce(&mut self, outputs: &mut Vec<message::Output>) {
        let mut addresses = self.random_addresses(timing::ANNOUNCE_COUNT);
        addresses.extend(self.random_remote());
        addresses.dedup();
        for address in addresses {
            self.ping(address, false, outputs);
        }
    }

    /// Stores rumours that all instances have already, and empties the queue of rumours to send.
    pub fn adopt(&mut self, rumors: &[message::Rumor], now: Timestamp) {
        for rumor in rumors {
            self.apply_rumor(rumor, now);
        }
        self.roster.clear_queue();
        self.mark_initialized();
    }

    /// Stores the rumours received in a comparison of the full membership.
    pub fn apply_sync(&mut self, rumors: &[message::Rumor], now: Timestamp) {
        self.next_sync = now.after(timing::SYNC_INTERVAL);
        for rumor in rumors {
            self.apply_rumor(rumor, now);
        }
        self.mark_initialized();
    }

    fn mark_initialized(&mut self) {
        if !self.is_initialized {
            self.is_initialized = true;
            self.revision += 1;
        }
    }

    /// Stores a rumour, or refutes it if it is about this instance.
    pub(crate) fn apply_rumor(&mut self, rumor: &message::Rumor, now: Timestamp) {
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
        self.store_own_rumor(now);
        self.is_urgent = true;
    }

    fn store_own_rumor(&mut self, now: Timestamp) {
        let own = message::Rumor {
            instance: self.own.clone(),
            incarnation: self.incarnation,
        };
        self.roster.merge(&own, now);
    }

    /// Addresses of random instances, in the own zone first, then in others.
    pub(crate) fn random_addresses(&mut self, count: usize) -> Vec<String> {
        let serving = self.roster.serving(&self.own.zone);
        let others = serving.filter(|i| i.name != self.own.name);
        let mut addresses: Vec<String> = others.map(|i| i.address.clone()).collect();
        self.random.shuffle(&mut addresses);
        addresses.truncate(count);
        for _ in addresses.len()..count {
            let Some(address) = self.random_remote() else {
                break;
            };
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }

    /// The address of a random instance in a random other zone.
    fn random_remote(&mut self) -> Option<String> {
        let zones = self.roster.zones().filter(|z| **z != self.own.zone);
        let zones: Vec<name::ZoneName> = zones.cloned().collect();
        let index = self.random.below(zones.len());
        self.random_address(zones.get(index)?)
    }

    /// The address of a random alive or suspected instance of a zone.
    pub(crate) fn random_address(&mut self, zone: &name::ZoneName) -> Option<String> {
        let count = self.roster.serving(zone).count();
        let index = self.random.below(count);
        let chosen = self.roster.serving(zone).nth(index);
        chosen.map(|i| i.address.clone())
    }
}
