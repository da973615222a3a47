//! No instance relies on an ended leadership once its successor may be promoted, despite lost
//! and late messages, network partitions, restarts, frozen instances and changes of the voters.
//!
//! `CARDAMOMHOLD_CASES=100000` runs more histories than CI does.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections;
use std::env;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::lease;
use cardamomhold_lead::round;
use cardamomhold_lead::voters;
use rand::RngExt;
use rand::SeedableRng;

/// Number of histories in CI.
const CASES: u64 = 3_000;

/// Number of histories in which a missing rule on the change of voters must show.
const VOTER_CASES: u64 = 30_000;

/// Duration of a history, in milliseconds.
const DURATION_MS: u64 = 12_000;

/// Maximum delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 1_200;

/// A rule that is disabled, to show that the check detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// The promoter does not wait until the leases of unacknowledged instances expire.
    Expiry,
    /// An instance confirms to others as soon as it has any leadership.
    StartCheck,
    /// A confirmation counts from its arrival, not from the request.
    RequestTime,
    /// Voters are replaced in one step.
    Proposal,
    /// A proposal takes effect before a majority has adopted it.
    Adoption,
}

/// What an instance knows, or the store holds.
#[derive(Debug, Clone)]
struct State {
    /// Newest change.
    change: u64,
    voters: voters::Voters,
}

#[derive(Debug)]
enum Message {
    /// Request number.
    Confirm(u64),
    /// Request number and state.
    Confirmed(u64, State),
    /// Time of the request.
    Renew(u64),
    /// Time of the request, age of the confirmation and state.
    Renewed(u64, u64, State),
    /// Time of the request and the stored state.
    StoreRead(u64, State),
    /// Asks for the generation of the voters that the receiver has adopted.
    Ping,
    /// That generation.
    Pong(u64),
    /// The change that ends the leadership.
    Announce(u64),
    Ack,
}

struct Instance {
    name: name::InstanceName,
    /// Number of restarts.
    restarts: u64,
    lease: lease::Lease,
    state: State,
    /// Newest generation that each instance has answered to this one.
    adopted: collections::BTreeMap<name::InstanceName, u64>,
    round: Option<round::Round>,
    /// Renewal requests that wait for the next confirmation: sender, time of the request, time of
    /// its arrival.
    held: Vec<(usize, u64, u64)>,
    frozen_until: u64,
}

struct World {
    rng: rand_pcg::Pcg64Mcg,
    disabled: Disabled,
    now: u64,
    instances: Vec<Instance>,
    /// End of each instance's network partition.
    partitions: Vec<u64>,
    /// Instances that reach neither the store nor the others, but one another.
    is_apart: Vec<bool>,
    /// Until when they are apart.
    split_until: u64,
    /// Whether the instances read the store often.
    has_calm_store: bool,
    /// Whether the voters change.
    has_changes: bool,
    /// What the store holds.
    stored: State,
    /// Messages in transit by arrival time and number: sender, receiver, restarts of the
    /// receiver, and the message.
    in_transit: collections::BTreeMap<(u64, u64), (usize, usize, u64, Message)>,
    sent: u64,
    acks: Option<acks::Acks>,
    /// When the promoter, which has read the store before, ends the leadership.
    write_at: u64,
    /// Number of times that the voters were replaced.
    replaced: u64,
    promoted: Option<u64>,
}

/// State of an instance that has just started.
fn unknown() -> State {
    State {
        change: 0,
        voters: voters::Voters {
            generation: 0,
            current: voters::Set::new(),
            next: None,
        },
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

impl World {
    fn new(seed: u64, disabled: Disabled) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(Instance {
                name: name::InstanceName::parse(&format!("entry-{i}")).unwrap(),
                restarts: 0,
                lease: lease::Lease::new(at(0)),
                state: unknown(),
                adopted: collections::BTreeMap::new(),
                round: None,
                held: Vec::new(),
                frozen_until: 0,
            });
        }
        let partitions = vec![0; count];
        let write_at = DURATION_MS / 3 + rng.random_range(10..1_500);
        let first = instances
            .iter()
            .map(|i: &Instance| i.name.clone())
            .collect();
        let stored = State {
            change: 1,
            voters: voters::Voters::first(first),
        };
        Self {
            rng,
            disabled,
            now: 0,
            instances,
            partitions,
            is_apart: vec![false; count],
            split_until: 0,
            has_calm_store: seed.is_multiple_of(2),
            has_changes: !seed.is_multiple_of(3),
            stored,
            in_transit: collections::BTreeMap::new(),
            sent: 0,
            acks: None,
            write_at,
            replaced: 0,
            promoted: None,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && (self.partitions[from] > self.now || self.partitions[to] > self.now) {
            return;
        }
        if self.is_split() && self.is_apart[from] != self.is_apart[to] {
            return;
        }
        if self.chance(5) {
            return;
        }
        let max_delay = if self.chance(10) { MAX_DELAY_MS } else { 10 };
        let due = self.now + self.rng.random_range(1..max_delay);
        self.sent += 1;
        let restarts = self.instances[to].restarts;
        self.in_transit
            .insert((due, self.sent), (from, to, restarts, message));
    }

    fn may_confirm_others(&self, i: usize) -> bool {
        let is_allowed = self.instances[i].lease.may_confirm_others();
        is_allowed || (self.disabled == Disabled::StartCheck && self.instances[i].state.change > 0)
    }

    fn confirm(&mut self, i: usize, requested: u64) {
        let start = if self.disabled == Disabled::RequestTime {
            self.now
        } else {
            requested
        };
        self.instances[i].lease.confirm(at(start));
        self.answer_held(i);
    }

    /// Answers the renewal requests that an instance has kept.
    fn answer_held(&mut self, i: usize) {
        for (from, requested, since) in std::mem::take(&mut self.instances[i].held) {
            self.renew(i, from, requested + self.now - since);
        }
    }

    /// Passes an instance's confirmation on; `requested` is a time before the answer by the clock of
    /// the receiver.
    fn renew(&mut self, i: usize, to: usize, requested: u64) {
        let instance = &self.instances[i];
        if let Some(age) = instance.lease.age(at(self.now))
            && instance.lease.may_confirm_others()
        {
            let age = age.as_millis() as u64;
            let state = instance.state.clone();
            self.send(i, to, Message::Renewed(requested, age, state));
        }
    }

    fn update(&mut self, i: usize, state: &State) {
        let instance = &mut self.instances[i];
        instance.state.change = instance.state.change.max(state.change);
        self.update_voters(i, &state.voters);
    }

    fn update_voters(&mut self, i: usize, voters: &voters::Voters) {
        let instance = &mut self.instances[i];
        if voters.generation > instance.state.voters.generation {
            instance.state.voters = voters.clone();
            instance.round = None;
        }
    }

    /// A random set of instances.
    fn random_set(&mut self) -> voters::Set {
        let mut set = voters::Set::new();
        for i in 0..self.instances.len() {
            if self.chance(50) {
                set.insert(self.instances[i].name.clone());
            }
        }
        set.insert(self.instances[0].name.clone());
        set
    }

    /// Lets an instance change the voters, if it knows those that are stored.
    fn change_voters(&mut self, i: usize) {
        let voters = self.instances[i].state.voters.clone();
        if self.stored.voters.generation != voters.generation || !self.reaches_store(i) {
            return;
        }
        let adopted = self.instances[i].adopted.clone();
        let has_adopted =
            |n: &name::InstanceName| adopted.get(n).is_some_and(|g| *g >= voters.generation);
        let is_adopted = voters.is_majority(has_adopted) || self.disabled == Disabled::Adoption;
        if voters.next.is_some() && is_adopted {
            self.stored.voters = voters.accepted();
            self.replaced += 1;
        } else if voters.next.is_some() {
            if self.chance(5) {
                self.stored.voters = voters.withdrawn();
            }
        } else {
            let next = self.random_set();
            self.stored.voters = voters.proposing(next);
            if self.disabled == Disabled::Proposal {
                self.stored.voters = self.stored.voters.accepted();
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Confirm(number) => {
                if self.may_confirm_others(to) {
                    let state = self.instances[to].state.clone();
                    self.send(to, from, Message::Confirmed(number, state));
                }
            }
            Message::Confirmed(number, state) => {
                self.update(to, &state);
                let voter = self.instances[from].name.clone();
                let generation = state.voters.generation;
                let Some(round) = &mut self.instances[to].round else {
                    return;
                };
                round.record_answer(number, generation, &voter);
                if round.is_majority() {
                    let requested = round.requested.0 / 1_000;
                    self.instances[to].round = None;
                    self.confirm(to, requested);
                }
            }
            Message::Renew(requested) => {
                if self.chance(50) {
                    let now = self.now;
                    self.instances[to].held.push((from, requested, now));
                    return;
                }
                self.renew(to, from, requested);
            }
            Message::Renewed(requested, age, state) => {
                self.update(to, &state);
                self.confirm(to, requested.saturating_sub(age));
            }
            Message::StoreRead(requested, state) => {
                self.update(to, &state);
                self.confirm(to, requested);
            }
            Message::Ping => {
                let generation = self.instances[to].state.voters.generation;
                self.send(to, from, Message::Pong(generation));
            }
            Message::Pong(generation) => {
                let name = self.instances[from].name.clone();
                let adopted = &mut self.instances[to].adopted;
                let known = adopted.entry(name).or_default();
                *known = generation.max(*known);
            }
            Message::Announce(change) => {
                let state = &mut self.instances[to].state;
                state.change = state.change.max(change);
                self.send(to, from, Message::Ack);
            }
            Message::Ack => {
                let voter = self.instances[from].name.clone();
                if let Some(acks) = &mut self.acks {
                    acks.record(at(self.now), &voter);
                }
            }
        }
    }

    /// Lets one instance take a random action.
    fn act(&mut self, i: usize) {
        let now = self.now;
        match self.rng.random_range(0..100) {
            0..=9 => self.read_store(i),
            10..=24 if self.has_calm_store => self.read_store(i),
            25..=44 => self.start_round(i),
            45..=54 if self.has_changes => self.change_voters(i),
            55..=64 if self.has_changes => self.ping(i),
            65..=89 => {
                let other = self.rng.random_range(0..self.instances.len());
                self.send(i, other, Message::Renew(now));
            }
            90 => {
                let restarts = self.instances[i].restarts + 1;
                let instance = &mut self.instances[i];
                instance.restarts = restarts;
                instance.lease = lease::Lease::new(at(now));
                instance.state = unknown();
                instance.adopted.clear();
                instance.round = None;
                instance.held.clear();
            }
            91 => self.partitions[i] = now + self.rng.random_range(100..4_000),
            92 if self.chance(30) => {
                // Some instances lose the store and the promoter, but not one another.
                self.split_until = now + self.rng.random_range(500..6_000);
                for other in 1..self.instances.len() {
                    self.is_apart[other] = self.chance(60);
                }
            }
            93 => self.instances[i].frozen_until = now + self.rng.random_range(50..3_000),
            _ => {}
        }
    }

    fn reaches_store(&self, i: usize) -> bool {
        self.partitions[i] <= self.now && !(self.is_split() && self.is_apart[i])
    }

    fn is_split(&self) -> bool {
        self.split_until > self.now
    }

    /// Reads the store, which answers with its content at some time during the call.
    fn read_store(&mut self, i: usize) {
        if self.reaches_store(i) {
            let (now, state) = (self.now, self.stored.clone());
            self.send(i, i, Message::StoreRead(now, state));
        }
    }

    fn start_round(&mut self, i: usize) {
        let number = self.now * 10 + i as u64;
        let voters = self.instances[i].state.voters.clone();
        if voters.generation == 0 {
            return;
        }
        let mut round = round::Round::new(number, at(self.now), &voters);
        if self.may_confirm_others(i) {
            let own = self.instances[i].name.clone();
            round.record_answer(number, voters.generation, &own);
        }
        self.instances[i].round = Some(round);
        for other in 0..self.instances.len() {
            if other != i {
                self.send(i, other, Message::Confirm(number));
            }
        }
    }

    /// Asks which voters the others have adopted.
    fn ping(&mut self, i: usize) {
        let own = self.instances[i].name.clone();
        let generation = self.instances[i].state.voters.generation;
        self.instances[i].adopted.insert(own, generation);
        for other in 0..self.instances.len() {
            self.send(i, other, Message::Ping);
        }
    }

    /// Ends the leadership and promotes a successor when the acknowledgements allow it. The
    /// promoter is simulated apart from the instances: only its safety checks matter.
    fn promote(&mut self) {
        if self.acks.is_none() && self.now > DURATION_MS / 3 {
            let instances = self.instances.iter().map(|i| i.name.clone());
            self.acks = Some(acks::Acks::new(&self.stored.voters, instances));
        }
        if self.now < self.write_at {
            return;
        }
        self.stored.change = 2;
        let Some(acks) = &mut self.acks else {
            return;
        };
        if self.promoted.is_some() {
            return;
        }
        if acks.is_over(at(self.now)) {
            acks.update_voters(at(self.now), &self.stored.voters);
        }
        let is_over = match self.disabled {
            Disabled::Expiry => acks.ended_at().is_some(),
            _ => acks.is_over(at(self.now)),
        };
        if is_over {
            self.promoted = Some(self.now);
        } else if self.now.is_multiple_of(60) {
            for i in 0..self.instances.len() {
                self.send(0, i, Message::Announce(2));
            }
        }
    }

    /// Runs the history; returns the time at which an instance relied on the ended leadership,
    /// if one did.
    fn run(&mut self) -> Option<u64> {
        while self.now < DURATION_MS {
            self.now += 5;
            self.promote();
            let due = (self.now, u64::MAX);
            while let Some(entry) = self.in_transit.first_entry() {
                if *entry.key() > due {
                    break;
                }
                let (from, to, restarts, message) = entry.remove();
                let target = &self.instances[to];
                if target.restarts != restarts {
                    continue;
                }
                if target.frozen_until > self.now {
                    // A frozen instance receives the message after the freeze.
                    self.sent += 1;
                    let later = (target.frozen_until, self.sent);
                    self.in_transit.insert(later, (from, to, restarts, message));
                    continue;
                }
                self.deliver(from, to, message);
            }
            let i = self.rng.random_range(0..self.instances.len());
            if self.instances[i].frozen_until <= self.now && self.chance(30) {
                self.act(i);
            }
            if self.promoted.is_some() {
                for instance in &self.instances {
                    if instance.state.change < 2 && instance.lease.is_valid(at(self.now)) {
                        return Some(self.now);
                    }
                }
            }
        }
        None
    }
}

fn cases() -> u64 {
    let cases = env::var("CARDAMOMHOLD_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

#[test]
fn ended_leadership_unused() {
    let mut promotions = 0;
    let mut replaced = 0;
    for seed in 0..cases() {
        let mut world = World::new(seed, Disabled::Nothing);
        let violation = world.run();
        assert_eq!(violation, None, "seed {seed}");
        promotions += u64::from(world.promoted.is_some());
        replaced += u64::from(world.replaced > 1);
    }
    // Histories without a promotion, or without changes of the voters, test nothing.
    assert!(promotions * 2 > cases(), "{promotions} promotions");
    assert!(
        replaced * 2 > cases(),
        "{replaced} histories with new voters"
    );
}

fn violations(disabled: Disabled, cases: u64) -> u64 {
    let mut count = 0;
    for seed in 0..cases {
        count += u64::from(World::new(seed, disabled).run().is_some());
        if count > 0 {
            break;
        }
    }
    count
}

#[test]
fn detects_missing_expiry() {
    assert!(violations(Disabled::Expiry, CASES) > 0);
}

#[test]
fn detects_missing_start_check() {
    assert!(violations(Disabled::StartCheck, CASES) > 0);
}

#[test]
fn detects_missing_request_time() {
    assert!(violations(Disabled::RequestTime, CASES) > 0);
}

#[test]
fn detects_missing_proposal() {
    assert!(violations(Disabled::Proposal, VOTER_CASES) > 0);
}

#[test]
fn detects_missing_adoption() {
    assert!(violations(Disabled::Adoption, VOTER_CASES) > 0);
}

#[test]
fn lease_expires() {
    let mut lease = lease::Lease::new(at(0));
    lease.confirm(at(10));
    let end = 10 + lease::DURATION.as_millis() as u64;
    assert!(lease.is_valid(at(end - 1)));
    assert!(!lease.is_valid(at(end)));
    assert_eq!(lease.age(at(30)), Some(time::Duration::from_millis(20)));
}
