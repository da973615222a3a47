//! Whom an instance pings, and what it makes of silence.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::fleet;
use crate::message;
use crate::swim;
use crate::timing;

/// A ping that waits for its ack.
#[derive(Debug, Clone)]
struct Waiting {
    target: name::InstanceName,
    sequence: u64,
    since: Timestamp,
    has_helpers: bool,
}

/// The pings under way.
#[derive(Debug, Clone)]
pub struct Probe {
    waiting: Option<Waiting>,
    ring: Vec<name::InstanceName>,
    next: Timestamp,
    /// Zone that was pinged and has not answered yet.
    sample: Option<name::ZoneName>,
    zones: Vec<name::ZoneName>,
    next_remote: Timestamp,
    next_dead: Timestamp,
    misses: collections::BTreeMap<name::ZoneName, u32>,
}

impl Probe {
    /// No pings yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            waiting: None,
            ring: Vec::new(),
            next: now,
            sample: None,
            zones: Vec::new(),
            next_remote: now,
            next_dead: now,
            misses: collections::BTreeMap::new(),
        }
    }

    /// Forgets the pings under way; whoever did not answer them is not to blame.
    pub fn reset(&mut self, now: Timestamp) {
        self.waiting = None;
        self.sample = None;
        self.next = now;
        self.next_remote = now;
    }

    /// Takes an ack in.
    pub fn acked(&mut self, sequence: u64) {
        if self
            .waiting
            .as_ref()
            .is_some_and(|w| w.sequence == sequence)
        {
            self.waiting = None;
        }
    }

    /// Takes note of a message out of a zone; true when pings of it had been lost.
    pub fn reached(&mut self, zone: &name::ZoneName) -> bool {
        if self.sample.as_ref() == Some(zone) {
            self.sample = None;
        }
        self.misses.remove(zone).is_some()
    }

    /// Zones in which nobody answers.
    pub fn cut_zones(&self) -> impl Iterator<Item = &name::ZoneName> {
        let cut = self.misses.iter();
        cut.filter(|(_, m)| **m >= timing::ZONE_MISSES)
            .map(|(zone, _)| zone)
    }

    /// Counts a lost sample; true when its zone is now cut off.
    fn missed(&mut self, zone: name::ZoneName) -> bool {
        let misses = self.misses.entry(zone.clone()).or_default();
        *misses += 1;
        if *misses < timing::ZONE_MISSES {
            // The zone is asked again at once.
            self.zones.push(zone);
        }
        *misses == timing::ZONE_MISSES
    }
}

impl swim::Swim {
    pub(crate) fn run_probe(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        self.ask_helpers(now, outputs);
        if now >= self.probe.next {
            self.probe.next = now.after(timing::PERIOD);
            self.suspect_silent(now);
            self.bury(now);
            self.ping_next(now, outputs);
        }
        if now >= self.probe.next_remote {
            self.probe.next_remote = now.after(timing::REMOTE_PERIOD);
            self.sample_zone(outputs);
        }
        if now >= self.probe.next_dead {
            self.probe.next_dead = now.after(timing::DEAD_PERIOD);
            self.try_dead(outputs);
            let remembered = timing::REMEMBER.as_micros() as u64;
            self.roster
                .forget(Timestamp(now.0.saturating_sub(remembered)));
        }
    }

    /// Pings one of the dead: it may be back with nobody else to tell it of the fleet.
    fn try_dead(&mut self, outputs: &mut Vec<message::Output>) {
        let dead = self.roster.all().map(|k| &k.rumor.instance);
        let dead = dead.filter(|i| i.state == fleet::InstanceState::Dead);
        let addresses: Vec<String> = dead.map(|i| i.address.clone()).collect();
        let at = self.random.below(addresses.len());
        if let Some(address) = addresses.get(at) {
            self.ping(address.clone(), true, outputs);
        }
    }

    fn ask_helpers(&mut self, now: Timestamp, outputs: &mut Vec<message::Output>) {
        let Some(waiting) = &mut self.probe.waiting else {
            return;
        };
        if waiting.has_helpers || now.since(waiting.since) < timing::PING_TIMEOUT {
            return;
        }
        waiting.has_helpers = true;
        let sequence = waiting.sequence;
        let target = waiting.target.clone();
        let silent = self.roster.get(&target);
        let silent = silent.map(|k| k.rumor.instance.address.clone());
        for address in self.some(timing::HELPERS + 1) {
            if Some(&address) == silent.as_ref() {
                continue;
            }
            let kind = message::Kind::PingRequest(target.clone());
            let request = self.message(kind, sequence);
            outputs.push(message::Output::Send(address, request));
        }
    }

    fn suspect_silent(&mut self, now: Timestamp) {
        let Some(silent) = self.probe.waiting.take() else {
            return;
        };
        let Some(known) = self.roster.get(&silent.target) else {
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
        // Somebody who is only on the platform's list is asked who it is.
        let joining = known.rumor.incarnation == 0;
        let sequence = self.ping(address, joining, outputs);
        if let Some(message::Output::Send(_, ping)) = outputs.last_mut() {
            self.tell_of(&target, ping);
        }
        self.probe.waiting = Some(Waiting {
            target,
            sequence,
            since: now,
            has_helpers: false,
        });
    }

    /// The next of the zone in a random order that is drawn anew each round.
    fn next_target(&mut self) -> Option<name::InstanceName> {
        for _ in 0..2 {
            while let Some(name) = self.probe.ring.pop() {
                let known = self.roster.get(&name);
                if known.is_some_and(|k| k.rumor.instance.state <= fleet::InstanceState::Suspect) {
                    return Some(name);
                }
            }
            let zone = self.roster.zone(&self.own.zone);
            let names = zone.map(|k| k.rumor.instance.name.clone());
            self.probe.ring = names.filter(|n| *n != self.own.name).collect();
            self.random.shuffle(&mut self.probe.ring);
        }
        None
    }

    fn sample_zone(&mut self, outputs: &mut Vec<message::Output>) {
        if let Some(lost) = self.probe.sample.take()
            && self.probe.missed(lost)
        {
            self.revision += 1;
        }
        if self.probe.zones.is_empty() {
            let zones = self.roster.zones().filter(|z| **z != self.own.zone);
            self.probe.zones = zones.cloned().collect();
            self.random.shuffle(&mut self.probe.zones);
        }
        let Some(zone) = self.probe.zones.pop() else {
            return;
        };
        if let Some(address) = self.any_of(&zone) {
            self.ping(address, false, outputs);
            self.probe.sample = Some(zone);
        }
    }

    /// Holds those dead that were suspected for long enough without contradicting.
    fn bury(&mut self, now: Timestamp) {
        let limit = if now.since(self.contact) > timing::PERIOD * 2 {
            timing::SUSPICION * timing::ALONE_FACTOR
        } else {
            timing::SUSPICION
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
