//! Failure detection: selection of ping targets and handling of missing acks.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::fleet;
use crate::message;
use crate::swim;
use crate::timing;

/// A ping without an ack so far.
#[derive(Debug, Clone)]
struct PendingPing {
    target: name::InstanceName,
    sequence: u64,
    sent_at: Timestamp,
    helpers_asked: bool,
}

/// State of the pings of one instance.
#[derive(Debug, Clone)]
pub struct Probe {
    pending: Option<PendingPing>,
    /// Instances of the own zone to ping in this round, the next one last.
    targets: Vec<name::InstanceName>,
    next_ping: Timestamp,
    /// Zone of the last ping to another zone, while it hasn't answered.
    sampled_zone: Option<name::ZoneName>,
    /// Other zones to ping in this round, the next one last.
    zone_queue: Vec<name::ZoneName>,
    next_remote: Timestamp,
    next_dead: Timestamp,
    /// Unanswered pings in a row, by zone.
    misses: collections::BTreeMap<name::ZoneName, u32>,
}

impl Probe {
    /// Creates the state of an instance that hasn't sent a ping.
    pub fn new(now: Timestamp) -> Self {
        Self {
            pending: None,
            targets: Vec::new(),
            next_ping: now,
            sampled_zone: None,
            zone_queue: Vec::new(),
            next_remote: now,
            next_dead: now,
            misses: collections::BTreeMap::new(),
        }
    }

    /// Drops the pending pings, because this instance itself may have missed their acks.
    pub fn reset(&mut self, now: Timestamp) {
        self.pending = None;
        self.sampled_zone = None;
        self.next_ping = now;
        self.next_remote = now;
    }

    /// Ends the pending ping if the ack has its sequence number.
    pub fn ack_received(&mut self, sequence: u64) {
        if self
            .pending
            .as_ref()
            .is_some_and(|p| p.sequence == sequence)
        {
            self.pending = None;
        }
    }

    /// Resets the count of a zone's unanswered pings after a message from it; true if there were
    /// any.
    pub fn message_received(&mut self, zone: &name::ZoneName) -> bool {
        if self.sampled_zone.as_ref() == Some(zone) {
            self.sampled_zone = None;
        }
        self.misses.remove(zone).is_some()
    }

    /// Zones with at least [`timing::ZONE_MISS_LIMIT`] unanswered pings in a row.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &name::ZoneName> {
        let unreachable = self.misses.iter();
        unreachable
            .filter(|(_, m)| **m >= timing::ZONE_MISS_LIMIT)
            .map(|(zone, _)| zone)
    }

    /// Counts an unanswered ping of a zone; true if the zone has just become unreachable.
    fn record_miss(&mut self, zone: name::ZoneName) -> bool {
        let misses = self.misses.entry(zone.clone()).or_default();
        *misses += 1;
        if *misses < timing::ZONE_MISS_LIMIT {
            // The zone is the next one to be pinged.
            self.zone_queue.push(zone);
        }
        *misses == timing::ZONE_MISS_LIMIT
    }
}

impl swim::Swim {
    pub(crate) fn run_probes(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.request_helpers(now, outputs);
        if now >= self.probe.next_ping {
            self.probe.next_ping = now.after(timing::PING_INTERVAL);
            self.suspect_unanswered(now);
            self.declare_dead(now);
            self.ping_next(now, outputs);
        }
        if now >= self.probe.next_remote {
            self.probe.next_remote = now.after(timing::REMOTE_PING_INTERVAL);
            self.ping_zone(outputs);
        }
        if now >= self.probe.next_dead {
            self.probe.next_dead = now.after(timing::DEAD_PING_INTERVAL);
            self.ping_dead(outputs);
            let retention_us = timing::RETENTION.as_micros() as u64;
            self.roster
                .remove_before(Timestamp(now.0.saturating_sub(retention_us)));
        }
    }

    /// Pings a random dead instance, which may have returned without knowing any other instance.
    fn ping_dead(&mut self, outputs: &mut Vec<message::Output>) {
        let dead = self.roster.all().map(|k| &k.rumor.instance);
        let dead = dead.filter(|i| i.state == fleet::InstanceState::Dead);
        let addresses: Vec<String> = dead.map(|i| i.address.clone()).collect();
        let index = self.random.below(addresses.len());
        if let Some(address) = addresses.get(index) {
            self.ping(address.clone(), true, outputs);
        }
    }

    fn request_helpers(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        let Some(pending) = &mut self.probe.pending else {
            return;
        };
        if pending.helpers_asked || now.since(pending.sent_at) < timing::PING_TIMEOUT {
            return;
        }
        pending.helpers_asked = true;
        let sequence = pending.sequence;
        let target = pending.target.clone();
        let target_address = self.roster.get(&target);
        let target_address = target_address.map(|k| k.rumor.instance.address.clone());
        // One address more, because the target may be among them.
        for address in self.random_addresses(timing::HELPER_COUNT + 1) {
            if Some(&address) == target_address.as_ref() {
                continue;
            }
            let kind = message::Kind::PingRequest(target.clone());
            let request = self.message(kind, sequence);
            outputs.push(message::Output::Send(address, request));
        }
    }

    fn suspect_unanswered(&mut self, now: Timestamp) {
        let Some(pending) = self.probe.pending.take() else {
            return;
        };
        let Some(known) = self.roster.get(&pending.target) else {
            return;
        };
        if known.rumor.instance.state == fleet::InstanceState::Alive {
            let mut rumor = known.rumor.clone();
            rumor.instance.state = fleet::InstanceState::Suspect;
            self.roster.merge(&rumor, now);
        }
    }

    fn ping_next(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(known) = self.roster.get(&target) else {
            return;
        };
        let address = known.rumor.instance.address.clone();
        // An instance known only from the platform's list is asked for its own rumour.
        let joining = known.rumor.incarnation == 0;
        let sequence = self.ping(address, joining, outputs);
        if let Some(message::Output::Send(_, ping)) = outputs.last_mut() {
            self.add_rumor(&target, ping);
        }
        self.probe.pending = Some(PendingPing {
            target,
            sequence,
            sent_at: now,
            helpers_asked: false,
        });
    }

    /// The next target in the own zone; each round has a new random order.
    fn next_target(&mut self) -> Option<name::InstanceName> {
        for _ in 0..2 {
            while let Some(name) = self.probe.targets.pop() {
                let known = self.roster.get(&name);
                if known.is_some_and(|k| k.rumor.instance.state <= fleet::InstanceState::Suspect) {
                    return Some(name);
                }
            }
            let zone = self.roster.zone(&self.own.zone);
            let names = zone.map(|k| k.rumor.instance.name.clone());
            self.probe.targets = names.filter(|n| *n != self.own.name).collect();
            self.random.shuffle(&mut self.probe.targets);
        }
        None
    }

    fn ping_zone(&mut self, outputs: &mut Vec<message::Output>) {
        if let Some(zone) = self.probe.sampled_zone.take()
            && self.probe.record_miss(zone)
        {
            self.revision += 1;
        }
        if self.probe.zone_queue.is_empty() {
            let zones = self.roster.zones().filter(|z| **z != self.own.zone);
            self.probe.zone_queue = zones.cloned().collect();
            self.random.shuffle(&mut self.probe.zone_queue);
        }
        let Some(zone) = self.probe.zone_queue.pop() else {
            return;
        };
        if let Some(address) = self.random_address(&zone) {
            self.ping(address, false, outputs);
            self.probe.sampled_zone = Some(zone);
        }
    }

    /// Declares dead the instances of the own zone that haven't refuted a suspicion in time.
    fn declare_dead(&mut self, now: Timestamp) {
        let limit = if now.since(self.last_received) > timing::PING_INTERVAL * 2 {
            timing::SUSPICION_TIMEOUT * timing::ISOLATION_FACTOR
        } else {
            timing::SUSPICION_TIMEOUT
        };
        let mut dead = Vec::new();
        for known in self.roster.zone(&self.own.zone) {
            let is_suspect = known.rumor.instance.state == fleet::InstanceState::Suspect;
            if is_suspect && now.since(known.since) >= limit {
                let mut rumor = known.rumor.clone();
                rumor.instance.state = fleet::InstanceState::Dead;
                dead.push(rumor);
            }
        }
        for rumor in dead {
            self.roster.merge(&rumor, now);
        }
    }
}
