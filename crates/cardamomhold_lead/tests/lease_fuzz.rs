//! No instance relies on an ended leadership once its successor may be promoted, whatever is
//! lost, late, cut off, restarted or frozen.
//!
//! `CARDAMOMHOLD_CASES=100000` runs more histories than CI does.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

use std::collections;
use std::env;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::acks;
use cardamomhold_lead::lease;
use cardamomhold_lead::round;
use rand::RngExt;
use rand::SeedableRng;

/// Histories in CI.
const CASES: u64 = 3_000;

/// Length of a history, in milliseconds.
const LENGTH: u64 = 12_000;

/// Longest delay of a message, in milliseconds.
const MAX_DELAY: u64 = 1_200;

/// A rule that is switched off, to see that the check reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The promoter does not wait for those that have not acknowledged.
    Waiting,
    /// An instance vouches as soon as it has heard anything.
    Vouching,
    /// An answer counts from when it came, not from when it was asked for.
    Asking,
}

#[derive(Debug)]
enum Message {
    Ask(u64),
    Answer(u64, u64),
    Renew(u64),
    Renewed(u64, u64, u64),
    Stored(u64, u64),
    Announce(u64),
    Ack,
}

struct Instance {
    name: name::InstanceName,
    life: u64,
    lease: lease::Lease,
    known: u64,
    round: Option<round::Round>,
    frozen_until: u64,
}

struct World {
    rng: rand_pcg::Pcg64Mcg,
    without: Without,
    now: u64,
    instances: Vec<Instance>,
    cut: Vec<u64>,
    stored: u64,
    mail: collections::BTreeMap<(u64, u64), (usize, usize, u64, Message)>,
    posted: u64,
    acks: Option<acks::Acks>,
    promoted: Option<u64>,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

impl World {
    fn new(seed: u64, without: Without) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(Instance {
                name: name::InstanceName::parse(&format!("entry-{i}")).unwrap(),
                life: 0,
                lease: lease::Lease::new(at(0)),
                known: 0,
                round: None,
                frozen_until: 0,
            });
        }
        let cut = vec![0; count];
        Self {
            rng,
            without,
            now: 0,
            instances,
            cut,
            stored: 1,
            mail: collections::BTreeMap::new(),
            posted: 0,
            acks: None,
            promoted: None,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        if from != to && (self.cut[from] > self.now || self.cut[to] > self.now) {
            return;
        }
        if self.chance(5) {
            return;
        }
        let most = if self.chance(10) { MAX_DELAY } else { 10 };
        let due = self.now + self.rng.random_range(1..most);
        self.posted += 1;
        let life = self.instances[to].life;
        self.mail
            .insert((due, self.posted), (from, to, life, message));
    }

    fn may_vouch(&self, i: usize) -> bool {
        let is_allowed = self.instances[i].lease.may_vouch();
        is_allowed || (self.without == Without::Vouching && self.instances[i].known > 0)
    }

    fn confirm(&mut self, i: usize, asked: u64) {
        let counted = if self.without == Without::Asking {
            self.now
        } else {
            asked
        };
        self.instances[i].lease.confirm(at(counted));
    }

    fn learn(&mut self, i: usize, change: u64) {
        let instance = &mut self.instances[i];
        instance.known = instance.known.max(change);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Ask(number) => {
                if self.may_vouch(to) {
                    let known = self.instances[to].known;
                    self.post(to, from, Message::Answer(number, known));
                }
            }
            Message::Answer(number, known) => {
                self.learn(to, known);
                let voter = self.instances[from].name.clone();
                let Some(round) = &mut self.instances[to].round else {
                    return;
                };
                round.answer(number, &voter);
                if round.is_majority() {
                    let asked = round.asked.0 / 1_000;
                    self.instances[to].round = None;
                    self.confirm(to, asked);
                }
            }
            Message::Renew(asked) => {
                let instance = &self.instances[to];
                if let Some(age) = instance.lease.age(at(self.now))
                    && instance.lease.may_vouch()
                {
                    let age = age.as_millis() as u64;
                    let known = instance.known;
                    self.post(to, from, Message::Renewed(asked, age, known));
                }
            }
            Message::Renewed(asked, age, known) => {
                self.learn(to, known);
                self.confirm(to, asked.saturating_sub(age));
            }
            Message::Stored(asked, change) => {
                self.learn(to, change);
                self.confirm(to, asked);
            }
            Message::Announce(change) => {
                self.learn(to, change);
                self.post(to, from, Message::Ack);
            }
            Message::Ack => {
                let voter = self.instances[from].name.clone();
                if let Some(acks) = &mut self.acks {
                    acks.ack(at(self.now), &voter);
                }
            }
        }
    }

    /// What one instance does of itself.
    fn act(&mut self, i: usize) {
        let now = self.now;
        match self.rng.random_range(0..100) {
            0..=39 => {
                // The store answers with what it held at some moment of the call.
                if self.cut[i] <= now {
                    let change = self.stored;
                    self.post(i, i, Message::Stored(now, change));
                }
            }
            40..=69 => {
                let number = now * 10 + i as u64;
                let mut round = round::Round::new(number, at(now), self.instances.len());
                if self.may_vouch(i) {
                    let own = self.instances[i].name.clone();
                    round.answer(number, &own);
                }
                self.instances[i].round = Some(round);
                for other in 0..self.instances.len() {
                    if other != i {
                        self.post(i, other, Message::Ask(number));
                    }
                }
            }
            70..=89 => {
                let other = self.rng.random_range(0..self.instances.len());
                self.post(i, other, Message::Renew(now));
            }
            90..=93 => {
                let life = self.instances[i].life + 1;
                let instance = &mut self.instances[i];
                instance.life = life;
                instance.lease = lease::Lease::new(at(now));
                instance.known = 0;
                instance.round = None;
            }
            94..=96 => self.cut[i] = now + self.rng.random_range(100..4_000),
            _ => self.instances[i].frozen_until = now + self.rng.random_range(50..3_000),
        }
    }

    /// The promoter is an observer of its own here: what it does to be safe is all that
    /// matters.
    fn promote(&mut self) {
        if self.acks.is_none() && self.now > LENGTH / 3 {
            self.stored = 2;
            let voters = self.instances.iter().map(|i| i.name.clone());
            self.acks = Some(acks::Acks::new(voters));
        }
        let Some(acks) = &self.acks else {
            return;
        };
        if self.promoted.is_some() {
            return;
        }
        let is_over = match self.without {
            Without::Waiting => acks.over_at().is_some(),
            _ => acks.is_over(at(self.now)),
        };
        if is_over {
            self.promoted = Some(self.now);
        } else if self.now.is_multiple_of(60) {
            for i in 0..self.instances.len() {
                self.post(0, i, Message::Announce(2));
            }
        }
    }

    /// Plays the history; returns when an instance relied on the ended leadership.
    fn play(&mut self) -> Option<u64> {
        while self.now < LENGTH {
            self.now += 5;
            self.promote();
            let due = (self.now, u64::MAX);
            while let Some(entry) = self.mail.first_entry() {
                if *entry.key() > due {
                    break;
                }
                let (from, to, life, message) = entry.remove();
                let target = &self.instances[to];
                if target.life != life {
                    continue;
                }
                if target.frozen_until > self.now {
                    // What arrives during a freeze is read after it.
                    self.posted += 1;
                    let later = (target.frozen_until, self.posted);
                    self.mail.insert(later, (from, to, life, message));
                    continue;
                }
                self.deliver(from, to, message);
            }
            let i = self.rng.random_range(0..self.instances.len());
            if self.instances[i].frozen_until <= self.now && self.chance(12) {
                self.act(i);
            }
            if self.promoted.is_some() {
                for instance in &self.instances {
                    if instance.known < 2 && instance.lease.is_valid(at(self.now)) {
                        return Some(self.now);
                    }
                }
            }
        }
        None
    }
}

fn cases() -> u64 {
    let named = env::var("CARDAMOMHOLD_CASES").ok();
    named.and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

#[test]
fn nobody_relies() {
    let mut promotions = 0;
    for seed in 0..cases() {
        let mut world = World::new(seed, Without::Nothing);
        let relied = world.play();
        assert_eq!(relied, None, "seed {seed}");
        promotions += u64::from(world.promoted.is_some());
    }
    // Histories without a promotion prove nothing.
    assert!(promotions * 2 > cases(), "{promotions} promotions");
}

fn violations(without: Without) -> u64 {
    let mut found = 0;
    for seed in 0..CASES {
        found += u64::from(World::new(seed, without).play().is_some());
    }
    found
}

#[test]
fn waiting_matters() {
    assert!(violations(Without::Waiting) > 0);
}

#[test]
fn vouching_matters() {
    assert!(violations(Without::Vouching) > 0);
}

#[test]
fn asking_matters() {
    assert!(violations(Without::Asking) > 0);
}

/// The lease ends by itself.
#[test]
fn lease_ends() {
    let mut lease = lease::Lease::new(at(0));
    lease.confirm(at(10));
    let end = 10 + lease::LENGTH.as_millis() as u64;
    assert!(lease.is_valid(at(end - 1)));
    assert!(!lease.is_valid(at(end)));
    assert_eq!(lease.age(at(30)), Some(time::Duration::from_millis(20)));
}
