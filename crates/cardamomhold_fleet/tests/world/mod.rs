//! Simulation of instances in virtual time, over a network that loses and delays messages and cuts
//! off zones.

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
pub enum Status {
    Running,
    Frozen,
    Killed,
}

pub struct Node {
    pub swim: swim::Swim,
    pub status: Status,
    pub start_count: u64,
    pub inbox: Vec<(String, message::Message)>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub cut_zones: collections::BTreeSet<usize>,
    /// Share of messages lost, in percent.
    pub loss_percent: usize,
    random: random::Random,
    /// Messages by time of arrival and number, with the receiver and the sender's address.
    in_flight: collections::BTreeMap<(u64, u64), (usize, String, message::Message)>,
    sent_count: u64,
}

pub fn instance(index: usize) -> fleet::Instance {
    fleet::Instance {
        name: name::InstanceName::parse(&format!("i{index}")).expect("name"),
        zone: zone(index),
        address: index.to_string(),
        state: fleet::InstanceState::Alive,
    }
}

pub fn zone(index: usize) -> name::ZoneName {
    name::ZoneName::parse(&format!("z{}", index % ZONES)).expect("name")
}

fn start(index: usize, start_count: u64, now: Timestamp) -> swim::Swim {
    swim::Swim::new(swim::Config {
        own: instance(index),
        incarnation: start_count * 1_000_000,
        seeds: vec!["0".to_owned(), "1".to_owned(), "2".to_owned()],
        seed: start_count * 1_000 + index as u64,
        now,
    })
}

impl World {
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Timestamp::from_millis(1);
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(Node {
                swim: start(index, 1, now),
                status: Status::Running,
                start_count: 1,
                inbox: Vec::new(),
            });
        }
        Self {
            now,
            nodes,
            cut_zones: collections::BTreeSet::new(),
            loss_percent: 0,
            random: random::Random::new(seed),
            in_flight: collections::BTreeMap::new(),
            sent_count: 0,
        }
    }

    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.start_count += 1;
        node.status = Status::Running;
        node.inbox.clear();
        node.swim = start(index, node.start_count, self.now);
    }

    fn is_separated(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % ZONES, b % ZONES);
        a != b && (self.cut_zones.contains(&a) || self.cut_zones.contains(&b))
    }

    pub fn handle_outputs(&mut self, from: usize, outputs: Vec<message::Output>) {
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
        if self.is_separated(from, to) || self.random.below(100) < self.loss_percent {
            return;
        }
        self.sent_count += 1;
        let jitter = self.random.below(LATENCY_US as usize) as u64;
        let due = self.now.0 + LATENCY_US + jitter;
        self.in_flight
            .insert((due, self.sent_count), (to, from.to_string(), message));
    }

    fn sync(&mut self, from: usize, to: &str) {
        let to: usize = to.parse().expect("address");
        if self.is_separated(from, to) || self.nodes[to].status != Status::Running {
            return;
        }
        let digests = self.nodes[from].swim.roster().digests();
        let rumors = self.nodes[to].swim.roster().differing(&digests);
        self.nodes[from].swim.apply_sync(&rumors, self.now);
    }

    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].status = Status::Running;
        let inbox = std::mem::take(&mut self.nodes[index].inbox);
        for (from, message) in inbox {
            self.receive(index, &from, &message);
        }
    }

    fn receive(&mut self, index: usize, from: &str, message: &message::Message) {
        let mut outputs = Vec::new();
        let node = &mut self.nodes[index];
        node.swim.receive(from, message, self.now, &mut outputs);
        self.handle_outputs(index, outputs);
    }

    /// Advances virtual time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now.0 + ms * 1_000;
        while self.now.0 < end {
            let next = self.now.0 + timing::TICK_INTERVAL.as_micros() as u64;
            while let Some(((due, _), _)) = self.in_flight.first_key_value()
                && *due <= next
            {
                let Some(((due, _), (to, from, message))) = self.in_flight.pop_first() else {
                    break;
                };
                self.now = self.now.max(Timestamp(due));
                match self.nodes[to].status {
                    Status::Running => self.receive(to, &from, &message),
                    Status::Frozen => self.nodes[to].inbox.push((from, message)),
                    Status::Killed => {}
                }
            }
            self.now = Timestamp(next);
            for index in 0..self.nodes.len() {
                if self.nodes[index].status != Status::Running {
                    continue;
                }
                let mut outputs = Vec::new();
                self.nodes[index].swim.tick(self.now, &mut outputs);
                self.handle_outputs(index, outputs);
            }
        }
    }

    pub fn leave(&mut self, index: usize) {
        let mut outputs = Vec::new();
        self.nodes[index].swim.leave(self.now, &mut outputs);
        self.handle_outputs(index, outputs);
    }

    pub fn running(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].status == Status::Running)
            .collect()
    }

    pub fn state(&self, viewer: usize, target: usize) -> Option<fleet::InstanceState> {
        let fleet = self.nodes[viewer].swim.fleet();
        fleet
            .instance(instance(target).name.as_str())
            .map(|i| i.state)
    }

    /// The owner, in an instance's view, of an endpoint in `zone(index)`.
    pub fn owner(&self, viewer: usize, endpoint: &str, index: usize) -> Option<name::InstanceName> {
        let endpoint = name::MemberName::parse(endpoint).expect("name");
        let fleet = self.nodes[viewer].swim.fleet();
        fleet.owner(&endpoint, &zone(index)).map(|i| i.name.clone())
    }

    pub fn can_own(&self, index: usize) -> bool {
        let until = self.nodes[index].swim.valid_until();
        until.is_some_and(|until| until > self.now)
    }
}
