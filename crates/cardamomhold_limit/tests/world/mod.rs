//! Test fixture: several instances with their voters, a lossy network, changing voters and limits,
//! and an oracle that counts the operations that members receive.

#![allow(dead_code)]
// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;
use cardamomhold_limit::allowance;
use cardamomhold_limit::bounds;
use cardamomhold_limit::limiter;
use cardamomhold_limit::message;
use cardamomhold_workspace::directory;
use rand::RngExt;
use rand::SeedableRng;

mod changes;
mod load;
mod losses;
mod oracle;
mod plan;

pub use plan::Plan;

/// Duration of a history, in milliseconds.
pub const DURATION_MS: u64 = 20_000;

/// Longest time from the last check of a permit to the operation's arrival at the member.
const PATH_MS: u64 = 40;

pub const BOUNDS: bounds::Bounds = bounds::Bounds {
    window: time::Duration::from_millis(5_000),
    overshoot: 0.1,
    slack: 20.0,
};

/// A rule that is disabled, to show that the oracle detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// Each instance is its own majority.
    Majority,
    /// A voter confirms at once after its start.
    StartAbstention,
    /// A voter confirms at once after it has adopted other voters.
    AdoptionAbstention,
    /// A voter doesn't abstain anew when a proposed set has replaced the voters.
    RestartedAbstention,
    /// A holder that hands over the tenure keeps its lease.
    HandoverEnd,
    /// Voters are replaced in one step.
    Proposal,
    /// Tokens stay valid for long.
    Expiry,
    /// A new holder's buckets are full.
    EmptyStart,
    /// A holder relies on confirmations for longer than the voters keep to them.
    LeaseEnd,
    /// A permit isn't checked again when its operation has waited in a queue.
    QueueCheck,
}

#[derive(Debug)]
enum Event {
    Deliver(usize, usize, message::Message),
    Wake(usize),
    /// Reads the store: voters and limits.
    Read(usize),
    /// An operation of a workspace comes.
    Operation(usize),
    /// An operation that has left the queue is sent to its member.
    Leave(usize, usize, Option<allowance::Permit>),
    /// It arrives there.
    Arrive(usize),
    Fault,
    Start(usize),
    ChangeVoters,
    ChangeLimits,
    /// The load moves, starts or stops.
    ChangeLoad,
}

struct Instance {
    name: name::InstanceName,
    zone: usize,
    limiter: Option<limiter::Limiter>,
    /// Difference of its clock.
    offset: u64,
    starts: u64,
    frozen_until: u64,
    generation: u64,
    version: usize,
    /// Workspaces of waiting operations.
    waiting: collections::BTreeMap<u64, usize>,
    next_id: u64,
    /// The next scheduled step.
    wake: u64,
}

pub struct World {
    pub rng: rand_pcg::Pcg64Mcg,
    disabled: Disabled,
    pub plan: Plan,
    pub now: u64,
    instances: Vec<Instance>,
    events: collections::BTreeMap<(u64, u64), Event>,
    sequence: u64,
    stored: voters::Voters,
    /// All voters that were stored.
    records: Vec<voters::Voters>,
    limits: Vec<directory::Limit>,
    partitioned: Option<usize>,
    partitioned_until: u64,
    /// Instances that receive each workspace's operations, and the load's present factor.
    pub targets: Vec<Vec<usize>>,
    factors: Vec<f64>,
    oracle: oracle::Oracle,
    /// Messages that were sent.
    pub messages: u64,
    pub refused: [u64; 2],
    pub tenures: u64,
}

fn instance_name(index: usize) -> name::InstanceName {
    name::InstanceName::parse(&format!("node-{index:02}")).unwrap()
}

fn workspace_name(index: usize) -> name::WorkspaceName {
    name::WorkspaceName::parse(&format!("workspace-{index}")).unwrap()
}

const WORKSPACES: usize = 2;

impl World {
    pub fn random(seed: u64, disabled: Disabled) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let plan = Plan::random(&mut rng, disabled);
        Self::new(rng, plan, disabled)
    }

    pub fn new(rng: rand_pcg::Pcg64Mcg, plan: Plan, disabled: Disabled) -> Self {
        let names = (0..plan.instances).map(instance_name);
        let count = plan.instances.min(5) | 1;
        let current: voters::Set = names.clone().take(count.min(plan.instances)).collect();
        let mut world = Self {
            rng,
            disabled,
            now: 0,
            instances: Vec::new(),
            events: collections::BTreeMap::new(),
            sequence: 0,
            stored: voters::Voters::first(current.clone()),
            records: vec![voters::Voters::first(current)],
            limits: vec![plan.first],
            partitioned: None,
            partitioned_until: 0,
            targets: vec![(0..plan.instances).collect(); WORKSPACES],
            factors: vec![plan.load; WORKSPACES],
            oracle: oracle::Oracle::new(plan.instances, WORKSPACES),
            messages: 0,
            refused: [0; 2],
            tenures: 0,
            plan,
        };
        for (index, name) in names.enumerate() {
            let zone = index % world.plan.zones;
            let offset = world.rng.random_range(0..1_000_000_000);
            world.instances.push(Instance {
                name,
                zone,
                limiter: None,
                offset,
                starts: 0,
                frozen_until: 0,
                generation: 0,
                version: 0,
                waiting: collections::BTreeMap::new(),
                next_id: 0,
                wake: u64::MAX,
            });
            let at = world.rng.random_range(0..200);
            world.at(at, Event::Start(index));
        }
        for workspace in 0..WORKSPACES {
            world.at(1_000, Event::Operation(workspace));
        }
        if world.plan.has_faults {
            world.at(1_000, Event::Fault);
        }
        if world.plan.has_changes {
            world.at(2_500, Event::ChangeVoters);
            world.at(5_000, Event::ChangeLimits);
        }
        if !world.plan.is_steady {
            world.at(3_000, Event::ChangeLoad);
        }
        world
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.at_us(ms * 1_000, event);
    }

    fn at_us(&mut self, us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((us, self.sequence), event);
    }

    fn after(&mut self, max_ms: u64, event: Event) {
        let us = self.rng.random_range(0..=max_ms * 1_000);
        self.at_us(self.now + us, event);
    }

    /// Runs the history; returns the first violation.
    pub fn run(&mut self, until_ms: u64) -> Option<String> {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until_ms * 1_000 {
                self.sequence += 1;
                self.events.insert((at, self.sequence), event);
                break;
            }
            self.now = at;
            self.handle(event);
            if let Some(problem) = self.oracle.violation() {
                return Some(problem);
            }
        }
        self.now = until_ms * 1_000;
        None
    }

    /// Operations that have reached members in the last time.
    pub fn served(&self, workspace: usize, last_ms: u64) -> usize {
        self.oracle.served(workspace, self.now - last_ms * 1_000)
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver(to, ..) => Some(*to),
            Event::Wake(index) | Event::Read(index) | Event::Leave(index, ..) => Some(*index),
            _ => None,
        };
        if let Some(index) = index
            && self.now < self.instances[index].frozen_until
        {
            let until = self.instances[index].frozen_until;
            self.at_us(until, event);
            return;
        }
        match event {
            Event::Deliver(to, from, message) => {
                let from = self.instances[from].name.clone();
                self.with(to, |limiter, now| limiter.handle(now, &from, message));
            }
            Event::Wake(index) => {
                self.instances[index].wake = u64::MAX;
                self.with(index, |_, _| ());
            }
            Event::Read(index) => self.read(index),
            Event::Operation(workspace) => self.operate(workspace),
            Event::Leave(index, workspace, permit) => self.leave(index, workspace, permit),
            Event::Arrive(workspace) => self.oracle.record(self.now, workspace, &self.limits),
            Event::Fault => self.fault(),
            Event::Start(index) => self.start(index),
            Event::ChangeVoters => self.change_voters(),
            Event::ChangeLimits => {
                let limit = plan::random_limit(&mut self.rng);
                self.limits.push(limit);
                self.oracle.begin_version(self.now);
                self.spread();
                self.at(self.now / 1_000 + 5_000, Event::ChangeLimits);
            }
            Event::ChangeLoad => self.change_load(),
        }
    }

    fn timing(&self) -> bounds::Timing {
        let mut timing = bounds::Timing::default();
        match self.disabled {
            // A voter that has just started also adopts voters, so both are needed to see it.
            Disabled::StartAbstention => {
                timing.start_abstention = time::Duration::ZERO;
                timing.adoption_abstention = time::Duration::ZERO;
            }
            Disabled::HandoverEnd => timing.ends_at_handover = false,
            Disabled::RestartedAbstention => timing.restarts_abstention = false,
            Disabled::AdoptionAbstention => timing.adoption_abstention = time::Duration::ZERO,
            Disabled::EmptyStart => timing.head_start = time::Duration::from_secs(600),
            Disabled::LeaseEnd => timing.lease *= 3,
            _ => {}
        }
        timing
    }

    fn start(&mut self, index: usize) {
        let mut bounds = BOUNDS;
        if self.disabled == Disabled::Expiry {
            bounds.overshoot = 1.0;
        }
        let timing = self.timing();
        let fleet = self.instances.iter().map(|i| i.name.clone()).collect();
        let instance = &mut self.instances[index];
        instance.starts += 1;
        instance.generation = 0;
        instance.waiting.clear();
        let settings = limiter::Settings {
            own: instance.name.clone(),
            incarnation: instance.starts,
            bounds,
            timing,
        };
        let now = Timestamp(self.now + instance.offset);
        let mut limiter = limiter::Limiter::new(now, settings);
        limiter.set_fleet(fleet);
        instance.limiter = Some(limiter);
        self.after(1_500, Event::Read(index));
        self.learn_old_voters(index);
    }

    /// Runs a step of an instance and carries out what it decides.
    fn with(&mut self, index: usize, step: impl FnOnce(&mut limiter::Limiter, Timestamp)) {
        let instance = &mut self.instances[index];
        let now = Timestamp(self.now + instance.offset);
        let Some(limiter) = &mut instance.limiter else {
            return;
        };
        step(limiter, now);
        let outputs = limiter.poll(now);
        let wakeup = limiter.next_wakeup(now);
        for output in outputs {
            match output {
                limiter::Output::Send { to, message } => self.send(index, &to, message),
                limiter::Output::Decided(decision) => match decision.result {
                    Ok(permit) => self.queue(index, decision.id, Some(permit)),
                    Err(_) => {
                        if let Some(workspace) = self.instances[index].waiting.remove(&decision.id)
                        {
                            self.refused[workspace] += 1;
                        }
                    }
                },
                limiter::Output::Began => self.tenures += 1,
                limiter::Output::Ended => {}
            }
        }
        let holders = self.instances.iter().enumerate().filter(|(_, i)| {
            let limiter = i.limiter.as_ref();
            limiter.is_some_and(|l| l.is_holder(Timestamp(self.now + i.offset)))
        });
        let holders = holders.map(|(index, _)| index);
        self.oracle.set_holders(self.now, holders);
        let instance = &mut self.instances[index];
        let at = wakeup.map(|at| at.0.saturating_sub(instance.offset).max(self.now + 1));
        if let Some(at) = at.filter(|at| *at < instance.wake) {
            instance.wake = at;
            self.at_us(at, Event::Wake(index));
        }
    }

    fn send(&mut self, from: usize, to: &name::InstanceName, message: message::Message) {
        self.messages += 1;
        let to = self.instances.iter().position(|i| i.name == *to).unwrap();
        let zones = [self.instances[from].zone, self.instances[to].zone];
        let is_cut = self.now < self.partitioned_until
            && zones[0] != zones[1]
            && zones.iter().any(|z| self.partitioned == Some(*z));
        if is_cut || self.rng.random_bool(self.plan.loss) {
            return;
        }
        if self.rng.random_bool(self.plan.duplicates) {
            let max = self.plan.max_delay_ms;
            self.after(max, Event::Deliver(to, from, message.clone()));
        }
        let max = self.plan.max_delay_ms;
        self.after(max, Event::Deliver(to, from, message));
    }
}
