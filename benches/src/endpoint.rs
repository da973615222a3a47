//! A run of requests through a policy and one modelled endpoint.

use std::cmp;
use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::breaker;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;

use crate::load;
use crate::plain;
use crate::size;

/// Part of the endpoint's connections that its owner uses, as in the daemon.
const POOL_DIVISOR: usize = 3;

/// Who decides what runs.
#[derive(Debug)]
pub enum Policy {
    /// This version's queue.
    Queue(Box<queue::Queue>),
    /// Pools of the instances, first come first served.
    Plain(plain::Pools),
}

impl Policy {
    /// The queue with the configuration's defaults.
    pub fn queue(size: &size::Size, trip: breaker::Trip) -> Self {
        let ranks = size::CLASSES.map(|class| queue::RankLimits {
            share_percent: class.share_percent,
            max_waiting: size::WAITING,
            target: class.target,
        });
        let limits = queue::Limits {
            max_started: size.connections / POOL_DIVISOR,
            slots: size.slots,
            ranks,
            trip,
        };
        Self::Queue(Box::new(queue::Queue::new(limits)))
    }

    /// The baseline.
    pub fn plain(size: &size::Size) -> Self {
        Self::Plain(plain::Pools::new(size.instances, size.connections))
    }
}

/// How the endpoint behaves.
#[derive(Debug, Clone, Copy)]
pub enum Health {
    /// It answers.
    Good,
    /// Within the time, that part of the calls fails at once, in percent.
    Failing {
        /// Failing part, in percent.
        percent: u64,
        /// When it starts.
        from: Timestamp,
        /// When it ends.
        until: Timestamp,
    },
    /// Within the time, no call is answered.
    Hung {
        /// When it starts.
        from: Timestamp,
        /// When it ends.
        until: Timestamp,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(job::JobId, bool),
    Deadline,
}

/// The run.
#[derive(Debug)]
pub struct Run {
    size: size::Size,
    policy: Policy,
    health: Health,
    callers: Vec<name::CallerName>,
    requests: Vec<load::Request>,
    events: collections::BinaryHeap<cmp::Reverse<(Timestamp, u64, Event)>>,
    next_event: u64,
    busy: usize,
    line: collections::VecDeque<job::JobId>,
    connections: usize,
    in_use: usize,
    started: Vec<Timestamp>,
}

impl Run {
    /// A run of the requests.
    pub fn new(
        size: &size::Size,
        policy: Policy,
        health: Health,
        requests: Vec<load::Request>,
    ) -> Self {
        let mut run = Self {
            size: *size,
            policy,
            health,
            callers: load::callers(),
            started: vec![Timestamp(0); requests.len()],
            requests,
            events: collections::BinaryHeap::new(),
            next_event: 0,
            busy: 0,
            line: collections::VecDeque::new(),
            connections: 0,
            in_use: 0,
        };
        for at in 0..run.requests.len() {
            let arrives = run.requests[at].sent.after(run.way());
            run.push(arrives, Event::Arrive(at));
        }
        run
    }

    /// One way between a client and the queue.
    fn way(&self) -> time::Duration {
        self.size.client + self.size.zone
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        let order = self.next_event;
        self.next_event += 1;
        self.events.push(cmp::Reverse((at, order, event)));
    }

    /// Runs to the end and returns the requests with their fates.
    pub fn finish(mut self) -> Vec<load::Request> {
        while let Some(cmp::Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(at) => self.offer(now, at),
                Event::End(id, is_answered) => self.end(now, id, is_answered),
                Event::Deadline => {}
            }
            self.poll(now);
        }
        self.requests
    }

    fn offer(&mut self, now: Timestamp, at: usize) {
        let request = &self.requests[at];
        let class = &size::CLASSES[request.rank];
        let id = job::JobId(at as u64);
        let deadline = request.sent.after(class.deadline - self.way());
        let job = job::Job {
            id,
            rank: rank::Rank::ALL[request.rank],
            caller: self.callers[request.caller].clone(),
            weight: 1,
            deadline,
        };
        match &mut self.policy {
            Policy::Queue(queue) => {
                if queue.offer(now, job).is_err() {
                    self.requests[at].fate =
                        load::Fate::Refused(now.after(self.size.client + self.size.zone));
                    return;
                }
                self.push(deadline, Event::Deadline);
            }
            Policy::Plain(pools) => pools.offer(request.instance, id, deadline),
        }
    }

    fn poll(&mut self, now: Timestamp) {
        let decisions = match &mut self.policy {
            Policy::Queue(queue) => queue.poll(now),
            Policy::Plain(pools) => pools.poll(now),
        };
        for decision in decisions {
            match decision {
                queue::Decision::Start(id) => self.start(now, id),
                queue::Decision::Refuse(id, _) => {
                    let hears = now.after(self.way());
                    self.requests[id.0 as usize].fate = load::Fate::Refused(hears);
                }
            }
        }
    }

    /// Hands a job to the endpoint, whose slots take jobs in the order of their coming.
    fn start(&mut self, now: Timestamp, id: job::JobId) {
        self.started[id.0 as usize] = now;
        self.in_use += 1;
        match self.health {
            Health::Failing {
                percent,
                from,
                until,
            } if now >= from && now < until && is_chosen(id, percent) => {
                self.push(now.after(self.size.zone), Event::End(id, false));
            }
            Health::Hung { from, until } if now >= from && now < until => {
                let request = &self.requests[id.0 as usize];
                let gives_up = request.sent.after(size::CLASSES[request.rank].deadline);
                self.push(gives_up.max(now), Event::End(id, false));
            }
            _ if self.busy < self.size.slots => self.serve(now, id),
            _ => self.line.push_back(id),
        }
    }

    fn serve(&mut self, now: Timestamp, id: job::JobId) {
        self.busy += 1;
        let service = self.requests[id.0 as usize].service;
        let open = self.opening();
        self.push(now.after(open + service), Event::End(id, true));
    }

    /// Time to open a connection when none is idle; the queue's owner keeps one spare.
    fn opening(&mut self) -> time::Duration {
        if self.in_use <= self.connections {
            return time::Duration::ZERO;
        }
        self.connections = self.in_use;
        if matches!(self.policy, Policy::Queue(_)) && self.connections > 1 {
            return time::Duration::ZERO;
        }
        self.size.open
    }

    fn end(&mut self, now: Timestamp, id: job::JobId, is_answered: bool) {
        let at = id.0 as usize;
        let arrives = now.after(self.way());
        self.requests[at].fate = if is_answered {
            load::Fate::Answered(arrives)
        } else {
            load::Fate::Failed(arrives)
        };
        self.in_use -= 1;
        let took = now.since(self.started[at]);
        match &mut self.policy {
            Policy::Queue(queue) if is_answered => {
                queue.finish(now, id, job::Completion::Answered(took));
            }
            Policy::Queue(queue) => queue.finish(now, id, job::Completion::Failed),
            Policy::Plain(pools) => pools.finish(id),
        }
        if is_answered {
            self.busy -= 1;
        }
        if self.busy < self.size.slots
            && let Some(next) = self.line.pop_front()
        {
            self.serve(now, next);
        }
    }
}

/// Chooses a part of the calls, in an order that repeats.
fn is_chosen(id: job::JobId, percent: u64) -> bool {
    let mut mixed = id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= mixed >> 32;
    mixed.wrapping_mul(0xd6e8_feb8_6659_fd93) % 100 < percent
}
