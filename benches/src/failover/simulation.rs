//! Simulates the members, drivers and platform of one failover trial, with message latencies.
//!
//! In this module, `d` is the index of a driver and `m` the index of a member.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::change;
use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use rand::RngExt;

use crate::failover;
use crate::failover::schedule;

mod drivers;
mod members;

/// Number of zones, each with one member and one instance.
const ZONES: usize = 3;

/// One-way latency between zones.
const ZONE_LATENCY: time::Duration = time::Duration::from_millis(1);
/// One-way latency to the callers.
const CALLER_LATENCY: time::Duration = time::Duration::from_millis(3);
/// Time to open a connection.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(10);
/// Time that the platform needs for a store call.
const STORE_TIME: time::Duration = time::Duration::from_millis(5);
/// Interval of the primary's heartbeats to the replicas.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Maximum wait that a status poll requests.
const MAX_STATUS_WAIT: time::Duration = time::Duration::from_secs(1);
/// Time past the requested wait after which a status poll times out.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Delay before polling a member again after a failed poll.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Maximum virtual time of a trial.
const MAX_TRIAL_TIME: time::Duration = time::Duration::from_secs(30);

/// Time after which an attempt to connect to a partitioned member fails.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Member {
    role: status::MemberRole,
    term: position::Term,
    fenced: position::Term,
    /// Time at which a replica joins its primary's term; `None` while it follows no primary.
    joins_at: Option<Timestamp>,
}

struct Simulation {
    now: Timestamp,
    fault: failover::Fault,
    /// Time of the fault; `None` before it.
    fault_at: Option<Timestamp>,
    first_heartbeat: Timestamp,
    /// Time at which a driver first called the store after the fault.
    change_started_at: Option<Timestamp>,
    /// Earliest time at which the new primary can run a write.
    writable_at: Option<Timestamp>,
    members: Vec<Member>,
    drivers: Vec<change::Change>,
    reports: Vec<Vec<Option<status::MemberStatus>>>,
    leadership: leadership::Leadership,
    version: u64,
    events: collections::BinaryHeap<schedule::Scheduled>,
    last_sequence: u64,
}

fn member_name(index: usize) -> Option<name::MemberName> {
    name::MemberName::parse(&format!("m{index}")).ok()
}

fn latency(a: usize, b: usize) -> time::Duration {
    if a == b {
        time::Duration::ZERO
    } else {
        ZONE_LATENCY
    }
}

/// Runs one trial. Returns the gap and the time until the change of primary started, in
/// milliseconds.
pub fn run(fault: failover::Fault, rng: &mut rand_pcg::Pcg64Mcg) -> (u64, u64) {
    let Some(mut simulation) = Simulation::new(fault, rng) else {
        return (u64::MAX, u64::MAX);
    };
    let end = Timestamp(0).after(MAX_TRIAL_TIME);
    while let Some(schedule::Scheduled(at, _, event)) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
        if let Some(gap) = simulation.gap() {
            let detection = simulation
                .change_started_at
                .zip(simulation.fault_at)
                .map(|(started, fault)| started.since(fault));
            let detect_ms = detection.unwrap_or_default().as_millis() as u64;
            return (gap.as_millis() as u64, detect_ms);
        }
    }
    (u64::MAX, u64::MAX)
}

impl Simulation {
    fn new(fault: failover::Fault, rng: &mut rand_pcg::Pcg64Mcg) -> Option<Self> {
        let zone = name::ZoneName::parse("a").ok()?;
        let mut specs = Vec::new();
        let mut members = Vec::new();
        for index in 0..ZONES {
            specs.push(spec::MemberSpec {
                name: member_name(index)?,
                zone: zone.clone(),
                address: String::new(),
                draining: false,
            });
            members.push(Member {
                role: if index == 0 {
                    status::MemberRole::Primary
                } else {
                    status::MemberRole::Replica
                },
                term: position::Term(1),
                fenced: position::Term(1),
                joins_at: (index > 0).then_some(Timestamp(0)),
            });
        }
        let spec = spec::GroupSpec {
            members: specs,
            slots: 3,
            connections: 50,
            key_retention_s: 60,
        };
        let mut drivers = vec![change::Change::default(); ZONES];
        for (index, driver) in drivers.iter_mut().enumerate() {
            driver.apply_spec(&spec);
            let precedence = event::Precedence {
                rank: ((index + ZONES - 1) % ZONES) as u32,
                owns_primary: index == 0,
            };
            driver.observe(Timestamp(0), event::Event::Precedence(precedence));
        }
        let mut simulation = Self {
            now: Timestamp(0),
            fault,
            fault_at: None,
            first_heartbeat: Timestamp(rng.random_range(0..HEARTBEAT_INTERVAL.as_micros() as u64)),
            change_started_at: None,
            writable_at: None,
            members,
            drivers,
            reports: vec![vec![None; ZONES]; ZONES],
            leadership: leadership::Leadership::first(member_name(0)?),
            version: 1,
            events: collections::BinaryHeap::new(),
            last_sequence: 0,
        };
        simulation.schedule_initial(rng);
        Some(simulation)
    }

    fn schedule_initial(&mut self, rng: &mut rand_pcg::Pcg64Mcg) {
        for d in 0..ZONES {
            let changed =
                schedule::Message::LeadershipChanged(self.leadership.clone(), self.version);
            self.schedule(time::Duration::ZERO, schedule::Event::Message(d, changed));
            for m in 0..ZONES {
                let phase = rng.random_range(0..MAX_STATUS_WAIT.as_micros() as u64);
                self.schedule(
                    time::Duration::from_micros(phase),
                    schedule::Event::Poll(d, m),
                );
            }
        }
        let fault_time_us = rng.random_range(2_000_000..4_000_000);
        self.schedule(
            time::Duration::from_micros(fault_time_us),
            schedule::Event::Fault,
        );
    }

    fn schedule(&mut self, after: time::Duration, event: schedule::Event) {
        self.last_sequence += 1;
        self.events.push(schedule::Scheduled(
            self.now.after(after),
            self.last_sequence,
            event,
        ));
    }

    fn handle(&mut self, event: schedule::Event) {
        match event {
            schedule::Event::Fault => self.inject_fault(),
            schedule::Event::Poll(d, m) => self.finish_poll(d, m),
            schedule::Event::Command(d, m, command) => self.receive_command(d, m, &command),
            schedule::Event::Call(d, command) => self.call_store(d, &command),
            schedule::Event::Wake(d) => self.poll_driver(d),
            schedule::Event::Message(d, message) => {
                self.deliver(d, message);
                self.poll_driver(d);
            }
        }
    }

    fn inject_fault(&mut self) {
        self.fault_at = Some(self.now);
        match self.fault {
            failover::Fault::Killed => {
                for d in 0..ZONES {
                    let unreachable = schedule::Message::Unreachable(0, detect::Reach::Closed);
                    self.schedule(latency(d, 0), schedule::Event::Message(d, unreachable));
                }
            }
            failover::Fault::Partitioned => {}
            failover::Fault::SwitchedOver => {
                self.leadership.wanted = member_name(1);
                self.publish();
            }
        }
    }

    fn publish(&mut self) {
        self.version += 1;
        for d in 0..ZONES {
            let changed =
                schedule::Message::LeadershipChanged(self.leadership.clone(), self.version);
            self.schedule(ZONE_LATENCY, schedule::Event::Message(d, changed));
        }
    }

    fn call_store(&mut self, d: usize, command: &event::Command) {
        if let event::Command::Write {
            leadership,
            expected,
        } = command
            && *expected == self.version
        {
            self.leadership = leadership.clone();
            self.publish();
        }
        let answer = schedule::Message::StoreAnswered(self.leadership.clone(), self.version);
        self.schedule(
            STORE_TIME + ZONE_LATENCY,
            schedule::Event::Message(d, answer),
        );
    }

    /// Returns the gap in writes once the new primary's first write is certain to be acknowledged.
    fn gap(&mut self) -> Option<time::Duration> {
        let fault_at = self.fault_at?;
        let first = position::Term(1);
        let is_new = |m: &Member| m.role == status::MemberRole::Primary && m.term > first;
        let primary = self.members.iter().position(is_new)?;
        let term = self.members[primary].term;
        let (serving, in_term) = self.drivers[primary].serving_primary()?;
        if Some(serving) != member_name(primary).as_ref() || in_term != term {
            return None;
        }
        let report = self.reports[primary][primary].as_ref()?;
        if !report.is_primary_of(term) {
            return None;
        }
        let writable_at = *self
            .writable_at
            .get_or_insert(self.now.after(ZONE_LATENCY + CONNECT_TIME));
        let replicas = self.members.iter().filter(|m| m.fenced == term);
        let joined = replicas.filter_map(|m| m.joins_at).min()?;
        let path_latency = ZONE_LATENCY * 3 + CALLER_LATENCY * 2;
        Some(writable_at.max(joined).after(path_latency).since(fault_at))
    }
}
