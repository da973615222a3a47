//! Instances in virtual time over a network that loses, delays and parts.

#![allow(dead_code)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_fleet::random;
use cardamomhold_fleet::swim;
use cardamomhold_fleet::timing;

pub const ZONES: usize = 3;
const LATENCY_US: u64 = 1_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Life {
    Running,
    Frozen,
    Killed,
}

pub struct Node {
    pub swim: swim::Swim,
    pub life: Life,
    pub lives: u64,
    pub inbox: Vec<(String, message::Message)>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub cut: collections::BTreeSet<usize>,
    /// Lost messages, in percent.
    pub loss: usize,
    random: random::Random,
    flying: collections::BTreeMap<(u64, u64), (usize, String, message::Message)>,
    sent: u64,
}

pub fn instance(at: usize) -> fleet::Instance {
    fleet::Instance {
        name: name::InstanceName::parse(&format!("i{at}")).expect("name"),
        zone: zone(at),
        address: at.to_string(),
        state: fleet::InstanceState::Alive,
    }
}

pub fn zone(at: usize) -> name::ZoneName {
    name::ZoneName::parse(&format!("z{}", at % ZONES)).expect("name")
}

fn start(at: usize, life: u64, now: Timestamp) -> swim::Swim {
    swim::Swim::new(swim::Origin {
        own: instance(at),
        incarnation: life * 1_000_000,
        seeds: vec!["0".to_owned(), "1".to_owned(), "2".to_owned()],
        seed: life * 1_000 + at as u64,
        now,
    })
}

impl World {
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Timestamp::from_millis(1);
        let mut nodes = Vec::new();
        for at in 0..count {
            nodes.push(Node {
                swim: start(at, 1, now),
                life: Life::Running,
                lives: 1,
                inbox: Vec::new(),
            });
        }
        Self {
            now,
            nodes,
            cut: collections::BTreeSet::new(),
            loss: 0,
            random: random::Random::new(seed),
            flying: collections::BTreeMap::new(),
            sent: 0,
        }
    }

    pub fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.lives += 1;
        node.life = Life::Running;
        node.inbox.clear();
        node.swim = start(at, node.lives, self.now);
    }

    fn is_parted(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % ZONES, b % ZONES);
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    pub fn carry(&mut self, from: usize, outputs: Vec<message::Output>) {
        for output in outputs {
            match output {
                message::Output::Send(to, message) => self.send(from, &to, message),
                message::Output::Sync(to) => self.sync(from, &to),
                message::Output::Pull(_, through) => self.nodes[from].swim.set_through(through),
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: message::Message) {
        let to: usize = to.parse().expect("address");
        if self.is_parted(from, to) || self.random.below(100) < self.loss {
            return;
        }
        self.sent += 1;
        let late = self.random.below(LATENCY_US as usize) as u64;
        let at = self.now.0 + LATENCY_US + late;
        self.flying
            .insert((at, self.sent), (to, from.to_string(), message));
    }

    fn sync(&mut self, from: usize, to: &str) {
        let to: usize = to.parse().expect("address");
        if self.is_parted(from, to) || self.nodes[to].life != Life::Running {
            return;
        }
        let digests = self.nodes[from].swim.roster().digests();
        let rumors = self.nodes[to].swim.roster().differing(&digests);
        self.nodes[from].swim.synced(&rumors, self.now);
    }

    pub fn thaw(&mut self, at: usize) {
        self.nodes[at].life = Life::Running;
        let inbox = std::mem::take(&mut self.nodes[at].inbox);
        for (from, message) in inbox {
            self.receive(at, &from, &message);
        }
    }

    fn receive(&mut self, at: usize, from: &str, message: &message::Message) {
        let mut outputs = Vec::new();
        let node = &mut self.nodes[at];
        node.swim.receive(from, message, self.now, &mut outputs);
        self.carry(at, outputs);
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now.0 + ms * 1_000;
        while self.now.0 < end {
            let next = self.now.0 + timing::TICK.as_micros() as u64;
            while let Some(((due, _), _)) = self.flying.first_key_value()
                && *due <= next
            {
                let Some(((due, _), (to, from, message))) = self.flying.pop_first() else {
                    break;
                };
                self.now = self.now.max(Timestamp(due));
                match self.nodes[to].life {
                    Life::Running => self.receive(to, &from, &message),
                    Life::Frozen => self.nodes[to].inbox.push((from, message)),
                    Life::Killed => {}
                }
            }
            self.now = Timestamp(next);
            for at in 0..self.nodes.len() {
                if self.nodes[at].life != Life::Running {
                    continue;
                }
                let mut outputs = Vec::new();
                self.nodes[at].swim.tick(self.now, &mut outputs);
                self.carry(at, outputs);
            }
        }
    }

    pub fn leave(&mut self, at: usize) {
        let mut outputs = Vec::new();
        self.nodes[at].swim.leave(self.now, &mut outputs);
        self.carry(at, outputs);
    }

    pub fn running(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|at| self.nodes[*at].life == Life::Running)
            .collect()
    }

    pub fn state(&self, viewer: usize, of: usize) -> Option<fleet::InstanceState> {
        let fleet = self.nodes[viewer].swim.fleet();
        fleet.instance(instance(of).name.as_str()).map(|i| i.state)
    }

    /// The owner of an endpoint of a zone, as an instance sees it.
    pub fn owner(&self, viewer: usize, endpoint: &str, at: usize) -> Option<name::InstanceName> {
        let endpoint = name::MemberName::parse(endpoint).expect("name");
        let fleet = self.nodes[viewer].swim.fleet();
        fleet.owner(&endpoint, &zone(at)).map(|i| i.name.clone())
    }

    pub fn may_own(&self, at: usize) -> bool {
        let until = self.nodes[at].swim.valid_until();
        until.is_some_and(|until| until > self.now)
    }
}
