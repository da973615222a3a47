//! How long a change of configuration takes to reach every instance, in virtual time.
//!
//! The instances run the membership's own decisions ([`swim::Swim`]); the network, the platform
//! and the fetching of changes are modelled. An instance knows all of its own zone, but only a
//! few of each other zone, which bounds the memory of the run; whom an instance talks to in
//! other zones is drawn at random either way.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_daemon::gossip;
use cardamomhold_fleet::election;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_fleet::random;
use cardamomhold_fleet::swim;
use cardamomhold_fleet::timing;

/// Zones of the size to design for.
pub const ZONES: usize = 10;

/// Instances of a zone at the size to design for.
pub const PER_ZONE: usize = 440;

/// Zones of a region; the last region has what is left.
const ZONES_PER_REGION: usize = 3;

/// Instances of each other zone that an instance knows.
const KNOWN_ABROAD: usize = 4;

/// One way inside a region, in microseconds.
const NEAR_US: u64 = 1_000;

/// One way between regions, in microseconds.
const FAR_US: u64 = 50_000;

/// Trips of a fetch: connection there and back, request there and back.
const PULL_TRIPS: u64 = 4;

/// Lost datagrams, in percent.
const LOSS_PERCENT: usize = 1;

/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Changes that are followed, and the time between two of them.
const CHANGES: u64 = 5;
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Time after which a change counts as not arrived.
const GIVE_UP: time::Duration = time::Duration::from_secs(60);

/// What a run showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dissemination {
    /// Number of instances.
    pub instances: usize,
    /// Time until half of the instances held a change, in milliseconds.
    pub p50_ms: u64,
    /// Time until 99 % of the instances held a change, in milliseconds.
    pub p99_ms: u64,
    /// Time until every instance held every change, in milliseconds.
    pub max_ms: u64,
    /// Bytes sent and received by an instance in a second, headers included, fetches not.
    pub bytes_per_s: f64,
    /// Fetches by an instance for a change.
    pub pulls: f64,
    /// Datagrams that an instance handles in a second.
    pub datagrams_per_s: f64,
}

enum Event {
    Tick(usize),
    Arrive {
        to: usize,
        from: usize,
        message: Box<message::Message>,
    },
    Pulled {
        to: usize,
        from: usize,
    },
}

struct World {
    now: u64,
    per_zone: usize,
    nodes: Vec<swim::Swim>,
    through: Vec<u64>,
    is_pulling: Vec<bool>,
    events: collections::BTreeMap<(u64, u64), Event>,
    number: u64,
    random: random::Random,
    bytes: u64,
    datagrams: u64,
    pulls: u64,
    arrivals: Vec<u64>,
    changed_at: u64,
}

/// Runs at the size to design for.
pub fn run(seed: u64) -> Dissemination {
    run_sized(PER_ZONE, seed)
}

/// Runs with a number of instances in each zone.
pub fn run_sized(per_zone: usize, seed: u64) -> Dissemination {
    let mut world = World::new(per_zone, seed);
    world.run_until(CHANGE_INTERVAL.as_micros() as u64);
    world.bytes = 0;
    world.datagrams = 0;
    let start = world.now;
    let watchers = world.watchers();
    let mut all = Vec::new();
    for change in 1..=CHANGES {
        world.change(change, &watchers);
        all.extend_from_slice(&world.arrivals);
    }
    all.sort_unstable();
    let seconds = (world.now - start) as f64 / 1e6;
    let count = world.nodes.len();
    Dissemination {
        instances: count,
        p50_ms: all[all.len() / 2] / 1_000,
        p99_ms: all[all.len() * 99 / 100] / 1_000,
        max_ms: all[all.len() - 1] / 1_000,
        // Each datagram is one instance's to send and another's to receive.
        bytes_per_s: 2.0 * world.bytes as f64 / seconds / count as f64,
        pulls: world.pulls as f64 / CHANGES as f64 / count as f64,
        datagrams_per_s: 2.0 * world.datagrams as f64 / seconds / count as f64,
    }
}

fn parsed<T>(name: Result<T, name::NameError>) -> T {
    match name {
        Ok(name) => name,
        Err(error) => unreachable!("made-up names are accepted: {error}"),
    }
}

fn instance(at: usize, per_zone: usize) -> fleet::Instance {
    let zone = at / per_zone;
    fleet::Instance {
        name: parsed(name::InstanceName::parse(&format!("entry-{at:04}"))),
        zone: parsed(name::ZoneName::parse(&format!("zone-{zone}"))),
        // As long as a real address.
        address: format!("10.0.{zone:03}.{at:06}"),
        state: fleet::InstanceState::Alive,
    }
}

fn index_of(address: &str) -> usize {
    let digits = address.rsplit('.').next();
    digits.and_then(|d| d.parse().ok()).unwrap_or_default()
}

impl World {
    fn new(per_zone: usize, seed: u64) -> Self {
        let count = ZONES * per_zone;
        let mut random = random::Random::new(seed);
        let all: Vec<_> = (0..count).map(|at| instance(at, per_zone)).collect();
        let mut world = Self {
            now: 0,
            per_zone,
            nodes: Vec::new(),
            through: vec![0; count],
            is_pulling: vec![false; count],
            events: collections::BTreeMap::new(),
            number: 0,
            random,
            bytes: 0,
            datagrams: 0,
            pulls: 0,
            arrivals: Vec::new(),
            changed_at: 0,
        };
        for at in 0..count {
            let mut known = Vec::new();
            for zone in 0..ZONES {
                let first = zone * per_zone;
                if zone == at / per_zone {
                    known.extend_from_slice(&all[first..first + per_zone]);
                    continue;
                }
                for _ in 0..KNOWN_ABROAD {
                    known.push(all[first + random.below(per_zone)].clone());
                }
            }
            let origin = swim::Config {
                own: all[at].clone(),
                incarnation: 1,
                seeds: Vec::new(),
                seed: seed.wrapping_mul(1 << 20) + at as u64,
                now: Timestamp(0),
            };
            let mut rumors = Vec::new();
            for instance in known {
                rumors.push(message::Rumor {
                    instance,
                    incarnation: 1,
                });
            }
            let mut node = swim::Swim::new(origin);
            node.adopt(&rumors, Timestamp(0));
            world.nodes.push(node);
            let phase = random.below(timing::TICK_INTERVAL.as_micros() as usize) as u64;
            world.plan(phase, Event::Tick(at));
        }
        world.random = random;
        world
    }

    fn plan(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.insert((self.now + delay, self.number), event);
    }

    fn latency(&self, a: usize, b: usize) -> u64 {
        let region = |at: usize| at / self.per_zone / ZONES_PER_REGION;
        if region(a) == region(b) {
            NEAR_US
        } else {
            FAR_US
        }
    }

    /// The instances that the zones elected to watch the platform.
    fn watchers(&self) -> Vec<usize> {
        let count = election::watcher_count(Some(time::Duration::ZERO));
        let mut watchers = Vec::new();
        for zone in 0..ZONES {
            let first = zone * self.per_zone;
            let fleet = self.nodes[first].fleet();
            for at in first..first + self.per_zone {
                if election::is_elected(&fleet, &instance(at, self.per_zone), count) {
                    watchers.push(at);
                }
            }
        }
        watchers
    }

    fn change(&mut self, version: u64, watchers: &[usize]) {
        self.changed_at = self.now;
        self.arrivals.clear();
        for &at in watchers {
            self.hold(at, version);
        }
        let end = self.now + CHANGE_INTERVAL.as_micros() as u64;
        self.run_until(end);
        let limit = self.changed_at + GIVE_UP.as_micros() as u64;
        while self.arrivals.len() < self.nodes.len() && self.now < limit {
            self.run_until(self.now + timing::TICK_INTERVAL.as_micros() as u64);
        }
        let missing = self.nodes.len() - self.arrivals.len();
        let late = GIVE_UP.as_micros() as u64;
        self.arrivals.extend(std::iter::repeat_n(late, missing));
    }

    fn hold(&mut self, at: usize, version: u64) {
        if version > self.through[at] {
            self.through[at] = version;
            self.arrivals.push(self.now - self.changed_at);
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = Timestamp(self.now);
        let mut outputs = Vec::new();
        match event {
            Event::Tick(at) => {
                self.nodes[at].record_answer(now);
                self.nodes[at].set_through(self.through[at]);
                self.nodes[at].tick(now, &mut outputs);
                self.plan(timing::TICK_INTERVAL.as_micros() as u64, Event::Tick(at));
                self.carry(at, outputs);
            }
            Event::Arrive { to, from, message } => {
                let address = instance(from, self.per_zone).address;
                self.nodes[to].receive(&address, &message, now, &mut outputs);
                self.carry(to, outputs);
            }
            Event::Pulled { to, from } => {
                self.is_pulling[to] = false;
                self.hold(to, self.through[from]);
            }
        }
    }

    fn carry(&mut self, from: usize, outputs: Vec<message::Output>) {
        for output in outputs {
            match output {
                message::Output::Send(address, message) => self.send(from, &address, message),
                // The memberships are the same already.
                message::Output::Sync(_) => {
                    let now = Timestamp(self.now);
                    self.nodes[from].apply_sync(&[], now);
                }
                message::Output::Pull(address, version) => {
                    let source = index_of(&address);
                    if self.is_pulling[from] || self.through[from] >= version {
                        continue;
                    }
                    self.is_pulling[from] = true;
                    self.pulls += 1;
                    let delay = PULL_TRIPS * self.latency(from, source);
                    self.plan(
                        delay,
                        Event::Pulled {
                            to: from,
                            from: source,
                        },
                    );
                }
            }
        }
    }

    fn send(&mut self, from: usize, address: &str, message: message::Message) {
        let to = index_of(address);
        self.bytes += (gossip::encode(&message).len() + HEADER_BYTES) as u64;
        self.datagrams += 1;
        if self.random.below(100) < LOSS_PERCENT {
            return;
        }
        let delay = self.latency(from, to);
        let message = Box::new(message);
        self.plan(delay, Event::Arrive { to, from, message });
    }
}
