//! Measures in virtual time how long a configuration change takes to reach every instance.
//!
//! The instances run the product's membership code ([`swim::Swim`]); the network, the platform
//! and the pulling of changes are simulated. An instance has all instances of its own zone in
//! its member list, but only a few of each other zone, to limit the memory of the run. This does
//! not change the choice of peers in other zones, which is random in any case.

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

/// Number of zones at the design size.
pub const ZONES: usize = 10;

/// Instances per zone at the design size.
pub const INSTANCES_PER_ZONE: usize = 440;

/// Zones per region; the last region has the remaining zones.
const ZONES_PER_REGION: usize = 3;

/// Instances of each other zone in an instance's member list.
const KNOWN_PER_REMOTE_ZONE: usize = 4;

/// One-way latency within a region, in microseconds.
const REGION_LATENCY_US: u64 = 1_000;

/// One-way latency between regions, in microseconds.
const REMOTE_LATENCY_US: u64 = 50_000;

/// Number of one-way trips of a pull: a round trip to connect and a round trip for the request.
const PULL_ONE_WAY_TRIPS: u64 = 4;

/// Share of datagrams that are lost, in percent.
const LOSS_PERCENT: usize = 1;

/// Size of the headers of a datagram, in bytes.
const HEADER_BYTES: usize = 28;

/// Number of changes to measure.
const CHANGE_COUNT: u64 = 5;
/// Time between two changes.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Maximum time to wait for a change to arrive; it is the result for each instance that the change
/// hasn't reached by then.
const MAX_ARRIVAL_TIME: time::Duration = time::Duration::from_secs(60);

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dissemination {
    /// Number of instances.
    pub instances: usize,
    /// Median time until a change arrived at an instance, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time until a change arrived at an instance, in milliseconds.
    pub p99_ms: u64,
    /// Maximum time until a change arrived at an instance, in milliseconds.
    pub max_ms: u64,
    /// Bytes per second sent and received by an instance, including headers, without pulls.
    pub bytes_per_s: f64,
    /// Mean number of pulls per instance and change.
    pub pulls: f64,
    /// Datagrams per second sent and received by an instance.
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

struct Simulation {
    now_us: u64,
    instances_per_zone: usize,
    nodes: Vec<swim::Swim>,
    /// Version up to which each instance has all changes.
    versions: Vec<u64>,
    is_pulling: Vec<bool>,
    events: collections::BTreeMap<(u64, u64), Event>,
    last_sequence: u64,
    random: random::Random,
    bytes: u64,
    datagrams: u64,
    pulls: u64,
    /// Times from the current change to its arrival at each instance, in microseconds.
    arrivals_us: Vec<u64>,
    changed_at_us: u64,
}

/// Runs at the design size.
pub fn run(seed: u64) -> Dissemination {
    run_sized(INSTANCES_PER_ZONE, seed)
}

/// Runs with the given number of instances per zone.
pub fn run_sized(instances_per_zone: usize, seed: u64) -> Dissemination {
    let mut simulation = Simulation::new(instances_per_zone, seed);
    simulation.run_until(CHANGE_INTERVAL.as_micros() as u64);
    simulation.bytes = 0;
    simulation.datagrams = 0;
    let start = simulation.now_us;
    let watchers = simulation.watchers();
    let mut arrivals_us = Vec::new();
    for version in 1..=CHANGE_COUNT {
        simulation.publish_change(version, &watchers);
        arrivals_us.extend_from_slice(&simulation.arrivals_us);
    }
    arrivals_us.sort_unstable();
    let seconds = (simulation.now_us - start) as f64 / 1e6;
    let count = simulation.nodes.len();
    Dissemination {
        instances: count,
        p50_ms: arrivals_us[arrivals_us.len() / 2] / 1_000,
        p99_ms: arrivals_us[arrivals_us.len() * 99 / 100] / 1_000,
        max_ms: arrivals_us[arrivals_us.len() - 1] / 1_000,
        // Each datagram counts twice: for its sender and for its receiver.
        bytes_per_s: 2.0 * simulation.bytes as f64 / seconds / count as f64,
        pulls: simulation.pulls as f64 / CHANGE_COUNT as f64 / count as f64,
        datagrams_per_s: 2.0 * simulation.datagrams as f64 / seconds / count as f64,
    }
}

fn expect_name<T>(name: Result<T, name::NameError>) -> T {
    match name {
        Ok(name) => name,
        Err(error) => unreachable!("generated names are valid: {error}"),
    }
}

fn instance(index: usize, instances_per_zone: usize) -> fleet::Instance {
    let zone = index / instances_per_zone;
    fleet::Instance {
        name: expect_name(name::InstanceName::parse(&format!("entry-{index:04}"))),
        zone: expect_name(name::ZoneName::parse(&format!("zone-{zone}"))),
        // As long as a real address, since it counts towards the datagram's size.
        address: format!("10.0.{zone:03}.{index:06}"),
        state: fleet::InstanceState::Alive,
    }
}

fn index_from(address: &str) -> usize {
    let digits = address.rsplit('.').next();
    digits.and_then(|d| d.parse().ok()).unwrap_or_default()
}

impl Simulation {
    fn new(instances_per_zone: usize, seed: u64) -> Self {
        let count = ZONES * instances_per_zone;
        let mut random = random::Random::new(seed);
        let all: Vec<_> = (0..count)
            .map(|index| instance(index, instances_per_zone))
            .collect();
        let mut simulation = Self {
            now_us: 0,
            instances_per_zone,
            nodes: Vec::new(),
            versions: vec![0; count],
            is_pulling: vec![false; count],
            events: collections::BTreeMap::new(),
            last_sequence: 0,
            random,
            bytes: 0,
            datagrams: 0,
            pulls: 0,
            arrivals_us: Vec::new(),
            changed_at_us: 0,
        };
        for index in 0..count {
            let mut listed = Vec::new();
            for zone in 0..ZONES {
                let first = zone * instances_per_zone;
                if zone == index / instances_per_zone {
                    listed.extend_from_slice(&all[first..first + instances_per_zone]);
                    continue;
                }
                for _ in 0..KNOWN_PER_REMOTE_ZONE {
                    listed.push(all[first + random.below(instances_per_zone)].clone());
                }
            }
            let config = swim::Config {
                own: all[index].clone(),
                incarnation: 1,
                seeds: Vec::new(),
                seed: seed.wrapping_mul(1 << 20) + index as u64,
                now: Timestamp(0),
            };
            let mut rumors = Vec::new();
            for instance in listed {
                rumors.push(message::Rumor {
                    instance,
                    incarnation: 1,
                });
            }
            let mut node = swim::Swim::new(config);
            node.adopt(&rumors, Timestamp(0));
            simulation.nodes.push(node);
            let phase = random.below(timing::TICK_INTERVAL.as_micros() as usize) as u64;
            simulation.schedule(phase, Event::Tick(index));
        }
        simulation.random = random;
        simulation
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_sequence += 1;
        self.events
            .insert((self.now_us + delay_us, self.last_sequence), event);
    }

    fn latency(&self, a: usize, b: usize) -> u64 {
        let region = |index: usize| index / self.instances_per_zone / ZONES_PER_REGION;
        if region(a) == region(b) {
            REGION_LATENCY_US
        } else {
            REMOTE_LATENCY_US
        }
    }

    /// Returns the instances elected in the zones to watch the platform.
    fn watchers(&self) -> Vec<usize> {
        let count = election::watcher_count(Some(time::Duration::ZERO));
        let mut watchers = Vec::new();
        for zone in 0..ZONES {
            let first = zone * self.instances_per_zone;
            let fleet = self.nodes[first].fleet();
            for index in first..first + self.instances_per_zone {
                if election::is_elected(&fleet, &instance(index, self.instances_per_zone), count) {
                    watchers.push(index);
                }
            }
        }
        watchers
    }

    fn publish_change(&mut self, version: u64, watchers: &[usize]) {
        self.changed_at_us = self.now_us;
        self.arrivals_us.clear();
        for &index in watchers {
            self.store_version(index, version);
        }
        let end_us = self.now_us + CHANGE_INTERVAL.as_micros() as u64;
        self.run_until(end_us);
        let limit_us = self.changed_at_us + MAX_ARRIVAL_TIME.as_micros() as u64;
        while self.arrivals_us.len() < self.nodes.len() && self.now_us < limit_us {
            self.run_until(self.now_us + timing::TICK_INTERVAL.as_micros() as u64);
        }
        let missing = self.nodes.len() - self.arrivals_us.len();
        let max_us = MAX_ARRIVAL_TIME.as_micros() as u64;
        self.arrivals_us
            .extend(std::iter::repeat_n(max_us, missing));
    }

    fn store_version(&mut self, index: usize, version: u64) {
        if version > self.versions[index] {
            self.versions[index] = version;
            self.arrivals_us.push(self.now_us - self.changed_at_us);
        }
    }

    fn run_until(&mut self, end_us: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            let ((time_us, _), event) = entry.remove_entry();
            self.now_us = time_us;
            self.handle(event);
        }
        self.now_us = end_us;
    }

    fn handle(&mut self, event: Event) {
        let now = Timestamp(self.now_us);
        let mut outputs = Vec::new();
        match event {
            Event::Tick(index) => {
                self.nodes[index].record_answer(now);
                self.nodes[index].set_through(self.versions[index]);
                self.nodes[index].tick(now, &mut outputs);
                self.schedule(timing::TICK_INTERVAL.as_micros() as u64, Event::Tick(index));
                self.process_outputs(index, outputs);
            }
            Event::Arrive { to, from, message } => {
                let address = instance(from, self.instances_per_zone).address;
                self.nodes[to].receive(&address, &message, now, &mut outputs);
                self.process_outputs(to, outputs);
            }
            Event::Pulled { to, from } => {
                self.is_pulling[to] = false;
                self.store_version(to, self.versions[from]);
            }
        }
    }

    fn process_outputs(&mut self, from: usize, outputs: Vec<message::Output>) {
        for output in outputs {
            match output {
                message::Output::Send(address, message) => self.send(from, &address, message),
                // All instances already have the same membership.
                message::Output::Sync(_) => {
                    let now = Timestamp(self.now_us);
                    self.nodes[from].apply_sync(&[], now);
                }
                message::Output::Pull(address, version) => {
                    let source = index_from(&address);
                    if self.is_pulling[from] || self.versions[from] >= version {
                        continue;
                    }
                    self.is_pulling[from] = true;
                    self.pulls += 1;
                    let delay_us = PULL_ONE_WAY_TRIPS * self.latency(from, source);
                    self.schedule(
                        delay_us,
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
        let to = index_from(address);
        self.bytes += (gossip::encode(&message).len() + HEADER_BYTES) as u64;
        self.datagrams += 1;
        if self.random.below(100) < LOSS_PERCENT {
            return;
        }
        let delay_us = self.latency(from, to);
        let message = Box::new(message);
        self.schedule(delay_us, Event::Arrive { to, from, message });
    }
}
