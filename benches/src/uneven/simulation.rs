//! The events of a replay.

use std::cmp;
use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::load;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;
use cardamomhold_workspace::access;

use crate::uneven::Decisions;
use crate::uneven::Deployment;
use crate::uneven::KINDS;
use crate::uneven::Results;
use crate::uneven::attempt::Attempt;
use crate::uneven::attempt::Ending;
use crate::uneven::owner;
use crate::uneven::traffic;

/// Time between two instances of the same zone, and of two zones.
const LATENCY: [time::Duration; 2] = [
    time::Duration::from_micros(500),
    time::Duration::from_micros(1_500),
];

/// Interval of the samples that an instance gets with the renewals of the lease.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Age of such a sample when it arrives.
const SAMPLE_DELAY: time::Duration = time::Duration::from_millis(20);

/// Age of the data that reads accept.
const STALENESS: time::Duration = time::Duration::from_millis(500);

/// Attempts for one statement, as in `cardamomhold_entry`.
const MAX_ATTEMPTS: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    AtOwner(usize),
    Poll(usize),
    Done(usize, job::JobId),
    Reply(usize),
    Sample,
}

/// A replay; member 0 is the primary.
#[derive(Debug)]
pub struct Simulation {
    deployment: Deployment,
    decisions: Decisions,
    operations: Vec<traffic::Operation>,
    attempts: Vec<Attempt>,
    pools: Vec<pool::Pool<()>>,
    /// Last report that each instance has got from each member's owner.
    reports: Vec<[load::Load; 3]>,
    owners: Vec<owner::Owner>,
    members: Vec<name::MemberName>,
    callers: Vec<name::CallerName>,
    grant: access::Grant,
    /// Times of the commits, whose positions are their indexes plus one.
    commits: Vec<Timestamp>,
    events: collections::BinaryHeap<cmp::Reverse<(Timestamp, u64, Event)>>,
    next_event: u64,
    results: Results,
}

impl Simulation {
    /// A replay of the operations.
    pub fn new(
        deployment: &Deployment,
        decisions: Decisions,
        operations: Vec<traffic::Operation>,
    ) -> Self {
        let members: Vec<_> = ["a", "b", "c"].map(name::MemberName::sanitized).into();
        let mut pools = Vec::new();
        for instance in 0..deployment.instances {
            let mut pool = pool::Pool::new();
            let infos: Vec<_> = (members.iter().enumerate())
                .map(|(index, name)| member::MemberInfo {
                    name,
                    is_near: instance % deployment.zones == index,
                    is_ready: true,
                    share: share::Share::Relayed,
                })
                .collect();
            pool.set_members(&infos);
            pool.set_primary(members.first());
            pool.set_instances(deployment.instances);
            pools.push(pool);
        }
        let attempts = operations.iter().map(|_| Attempt::default());
        Self {
            deployment: *deployment,
            decisions,
            attempts: attempts.collect(),
            operations,
            reports: vec![Default::default(); deployment.instances],
            pools,
            owners: (0..3).map(|_| owner::Owner::new(deployment)).collect(),
            members,
            callers: (0..deployment.workspaces)
                .map(|i| name::CallerName::sanitized(&format!("workspace-{i}")))
                .collect(),
            grant: access::Grant {
                workspace: name::WorkspaceName::sanitized("client"),
                version: 1,
            },
            commits: Vec::new(),
            events: collections::BinaryHeap::new(),
            next_event: 0,
            results: Results {
                burst_work: vec![Default::default(); traffic::BURSTS_S.len()],
                ..Results::default()
            },
        }
    }

    /// Runs it.
    pub fn run(mut self) -> Results {
        for index in 0..self.operations.len() {
            self.schedule(self.operations[index].at, Event::Attempt(index));
        }
        self.schedule(Timestamp(0), Event::Sample);
        while let Some(cmp::Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Attempt(op) => self.attempt(now, op),
                Event::AtOwner(op) => self.arrive(now, op),
                Event::Poll(member) => self.decide(now, member),
                Event::Done(member, id) => self.finish(now, member, id),
                Event::Reply(op) => self.reply(now, op),
                Event::Sample => self.sample(now),
            }
        }
        self.results
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.push(cmp::Reverse((at, self.next_event, event)));
    }

    fn latency(&self, instance: usize, member: usize) -> time::Duration {
        LATENCY[usize::from(instance % self.deployment.zones != member)]
    }

    fn position(&self, member: usize, now: Timestamp) -> position::Position {
        let lag = match member {
            0 => time::Duration::ZERO,
            1 if self.deployment.is_uneven && traffic::is_lagging(now) => traffic::LONG_LAG,
            _ => traffic::SHORT_LAG,
        };
        let applied = self.commits.partition_point(|c| c.after(lag) <= now);
        position::Position::new(position::Term(1), position::LogPosition(applied as u64))
    }

    fn sample(&mut self, now: Timestamp) {
        let position = self.position(0, now);
        for pool in &mut self.pools {
            // Positions are taken as they were when the sample was sent, or later.
            let sent = Timestamp(now.0.saturating_sub(SAMPLE_DELAY.as_micros() as u64));
            pool.add_sample(sample::Sample { sent, position });
        }
        if now < Timestamp(0).after(traffic::RUN_TIME) {
            self.schedule(now.after(SAMPLE_INTERVAL), Event::Sample);
        }
    }

    fn attempt(&mut self, now: Timestamp, op: usize) {
        let operation = self.operations[op];
        let kind = &KINDS[operation.kind];
        let attempt = &mut self.attempts[op];
        attempt.count += 1;
        let deadline = operation.at.after(kind.deadline);
        if attempt.count > MAX_ATTEMPTS || now >= deadline {
            self.count(op, None);
            return;
        }
        let requirement = match kind.is_read {
            true => wait_queue::Requirement::Read {
                staleness: STALENESS,
                own_commit: None,
            },
            false => wait_queue::Requirement::Primary,
        };
        let pool = &mut self.pools[operation.instance];
        pool.request(wait_queue::Request {
            id: op as u64,
            rank: kind.rank.index() as u8,
            requirement,
            caller: self.callers[operation.caller].clone(),
            grant: Some(self.grant.clone()),
            avoid: attempt.avoid.clone(),
            asked: attempt.asked.clone(),
            target: operation.at.after(kind.target),
            deadline,
        });
        let mut granted = Vec::new();
        for decision in pool.poll(now, true) {
            match decision {
                pool::Decision::Grant(grant) => granted.push(grant),
                pool::Decision::Refuse { id, .. } => self.count(id as usize, None),
            }
        }
        for grant in granted {
            let op = grant.id as usize;
            let member = self.members.iter().position(|m| *m == grant.member);
            let member = member.unwrap_or_default();
            let attempt = &mut self.attempts[op];
            attempt.member = member;
            attempt.after = grant.after;
            attempt.max_wait = grant.max_wait.filter(|_| self.decisions.moves_reads);
            let latency = self.latency(self.operations[op].instance, member);
            self.schedule(now.after(latency), Event::AtOwner(op));
        }
    }

    fn arrive(&mut self, now: Timestamp, op: usize) {
        let operation = self.operations[op];
        let (member, max_wait) = (self.attempts[op].member, self.attempts[op].max_wait);
        let is_slow = self.deployment.is_uneven && member == 1 && traffic::is_slow(now);
        let factor = if is_slow { traffic::SLOW_FACTOR } else { 1 };
        let arrived = owner::Arrived {
            operation: op,
            at: now,
            started: now,
            service: operation.service * factor,
        };
        let owner = &mut self.owners[member];
        let wait = owner.queue.expected_wait(now, KINDS[operation.kind].rank);
        if max_wait.is_some_and(|max| wait > max) {
            self.end(now, op, Ending::TurnedAway);
            return;
        }
        let (kind, sent) = (operation.kind, operation.at);
        if !owner.offer(now, &self.callers[operation.caller], kind, sent, arrived) {
            self.end(now, op, Ending::Refused);
        }
        self.decide(now, member);
    }

    fn decide(&mut self, now: Timestamp, member: usize) {
        for decision in self.owners[member].queue.poll(now) {
            match decision {
                queue::Decision::Start(id) => {
                    let owner = &mut self.owners[member];
                    if let Some(statement) = owner.statements.get_mut(&id) {
                        statement.started = now;
                    }
                    owner.in_member.push_back(id);
                }
                queue::Decision::Refuse(id, _) => {
                    if let Some(statement) = self.owners[member].statements.remove(&id) {
                        self.end(now, statement.operation, Ending::Refused);
                    }
                }
            }
        }
        for id in self.owners[member].fill_slots() {
            let Some(statement) = self.owners[member].statements.get_mut(&id) else {
                continue;
            };
            let op = statement.operation;
            let needed = self.attempts[op].after;
            let mut service = statement.service;
            if needed.is_some_and(|n| self.position(member, now) < n) {
                service = time::Duration::ZERO;
                self.attempts[op].ending = Ending::Behind(needed.unwrap_or_default());
            } else {
                self.attempts[op].ending = Ending::Answered(time::Duration::ZERO);
            }
            if let Some(burst) = traffic::burst(now) {
                self.results.burst_work[burst][member] += service;
            }
            self.schedule(now.after(service), Event::Done(member, id));
        }
        if let Some(at) = self.owners[member].queue.next_wakeup() {
            self.schedule(at.max(now), Event::Poll(member));
        }
    }

    fn finish(&mut self, now: Timestamp, member: usize, id: job::JobId) {
        let owner = &mut self.owners[member];
        owner.busy -= 1;
        let Some(statement) = owner.statements.remove(&id) else {
            return;
        };
        let ran = now.since(statement.started);
        let op = statement.operation;
        let completion = job::Completion::Answered(ran);
        owner.queue.finish(now, id, completion);
        let ending = match self.attempts[op].ending {
            Ending::Answered(_) => {
                let latency = self.latency(self.operations[op].instance, member);
                Ending::Answered(ran + latency * 2)
            }
            other => other,
        };
        if !KINDS[self.operations[op].kind].is_read {
            self.commits.push(now);
        }
        self.end(now, op, ending);
        self.decide(now, member);
    }

    fn end(&mut self, now: Timestamp, op: usize, ending: Ending) {
        let (instance, member) = (self.operations[op].instance, self.attempts[op].member);
        let load = self.owners[member].load(now);
        let is_refused = matches!(ending, Ending::Refused | Ending::TurnedAway);
        let report = &mut self.reports[instance][member];
        if !is_refused || self.decisions.reports_refusals {
            *report = load;
        }
        self.attempts[op].load = *report;
        self.attempts[op].ending = ending;
        let latency = self.latency(instance, member);
        self.schedule(now.after(latency), Event::Reply(op));
    }

    fn reply(&mut self, now: Timestamp, op: usize) {
        let instance = self.operations[op].instance;
        let pool = &mut self.pools[instance];
        let attempt = &mut self.attempts[op];
        let name = self.members[attempt.member].clone();
        pool.record_load(now, &name, attempt.load);
        let completion = match attempt.ending {
            Ending::Answered(took) => pool::Completion::Answered(took),
            Ending::Behind(needed) => pool::Completion::Behind(needed),
            Ending::Refused | Ending::TurnedAway => pool::Completion::Unused,
        };
        pool.release(now, &name, Some(()), completion);
        let is_primary = attempt.member == 0;
        match attempt.ending {
            Ending::Answered(_) => {
                self.count(op, Some(now));
                return;
            }
            Ending::Refused if is_primary => {
                self.count(op, None);
                return;
            }
            Ending::TurnedAway => attempt.asked.push(name),
            Ending::Refused | Ending::Behind(_) => attempt.avoid.push(name),
        }
        self.results.extra_attempts += 1;
        self.attempt(now, op);
    }

    /// Counts the result of an operation; `answered` is none when it was refused.
    fn count(&mut self, op: usize, answered: Option<Timestamp>) {
        let operation = &self.operations[op];
        let is_burst = self.deployment.is_uneven && traffic::burst(operation.at).is_some();
        let target = operation.at.after(KINDS[operation.kind].target);
        let all = &mut self.results.kinds[operation.kind];
        let in_burst = &mut self.results.in_bursts[operation.kind];
        for tally in [Some(all), is_burst.then_some(in_burst)]
            .into_iter()
            .flatten()
        {
            tally.sent += 1;
            match answered {
                None => tally.refused += 1,
                Some(at) if at <= target => tally.on_time += 1,
                Some(_) => tally.late += 1,
            }
        }
    }
}
