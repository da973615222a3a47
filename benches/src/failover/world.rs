//! Members, drivers and a platform for one trial, with the time that each message takes.

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
use crate::failover::act;

/// Zones, with a member and an instance each.
const ZONES: usize = 3;

const WAY: time::Duration = time::Duration::from_millis(1);
const CALLER_WAY: time::Duration = time::Duration::from_millis(3);
const OPEN: time::Duration = time::Duration::from_millis(10);
const STORE: time::Duration = time::Duration::from_millis(5);
const HEARTBEAT: time::Duration = time::Duration::from_millis(100);
const STATUS_WAIT: time::Duration = time::Duration::from_secs(1);
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);
const REOPEN: time::Duration = time::Duration::from_millis(100);

/// Longest time that a trial may take.
const END: time::Duration = time::Duration::from_secs(30);

const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Member {
    role: status::MemberRole,
    term: position::Term,
    fenced: position::Term,
    /// When a replica joins its primary's term; none while it follows nobody.
    joins: Option<Timestamp>,
}

struct World {
    now: Timestamp,
    fault: failover::Fault,
    /// When the fault came; none before.
    since: Option<Timestamp>,
    beat: Timestamp,
    begun: Option<Timestamp>,
    /// When the new primary could first run a write.
    opened: Option<Timestamp>,
    members: Vec<Member>,
    drivers: Vec<change::Change>,
    reports: Vec<Vec<Option<status::MemberStatus>>>,
    leadership: leadership::Leadership,
    version: u64,
    queue: collections::BinaryHeap<act::Due>,
    next: u64,
}

fn name_of(at: usize) -> Option<name::MemberName> {
    name::MemberName::parse(&format!("m{at}")).ok()
}

fn way(a: usize, b: usize) -> time::Duration {
    if a == b { time::Duration::ZERO } else { WAY }
}

/// One trial: the gap, and the time until the change began, in milliseconds.
pub fn trial(fault: failover::Fault, rng: &mut rand_pcg::Pcg64Mcg) -> (u64, u64) {
    let Some(mut world) = World::new(fault, rng) else {
        return (u64::MAX, u64::MAX);
    };
    let end = Timestamp(0).after(END);
    while let Some(act::Due(at, _, act)) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.step(act);
        if let Some(gap) = world.gap() {
            let begun = world.begun.zip(world.since).map(|(b, s)| b.since(s));
            let detect = begun.unwrap_or_default().as_millis() as u64;
            return (gap.as_millis() as u64, detect);
        }
    }
    (u64::MAX, u64::MAX)
}

impl World {
    fn new(fault: failover::Fault, rng: &mut rand_pcg::Pcg64Mcg) -> Option<Self> {
        let zone = name::ZoneName::parse("a").ok()?;
        let mut specs = Vec::new();
        let mut members = Vec::new();
        for at in 0..ZONES {
            specs.push(spec::MemberSpec {
                name: name_of(at)?,
                zone: zone.clone(),
                address: String::new(),
                draining: false,
            });
            members.push(Member {
                role: if at == 0 {
                    status::MemberRole::Primary
                } else {
                    status::MemberRole::Replica
                },
                term: position::Term(1),
                fenced: position::Term(1),
                joins: (at > 0).then_some(Timestamp(0)),
            });
        }
        let spec = spec::GroupSpec {
            members: specs,
            slots: 3,
            connections: 50,
            key_retention_s: 60,
        };
        let mut drivers = vec![change::Change::default(); ZONES];
        for (at, driver) in drivers.iter_mut().enumerate() {
            driver.apply_spec(&spec);
            let place = event::Precedence {
                rank: ((at + ZONES - 1) % ZONES) as u32,
                owns_primary: at == 0,
            };
            driver.observe(Timestamp(0), event::Event::Precedence(place));
        }
        let mut world = Self {
            now: Timestamp(0),
            fault,
            since: None,
            beat: Timestamp(rng.random_range(0..HEARTBEAT.as_micros() as u64)),
            begun: None,
            opened: None,
            members,
            drivers,
            reports: vec![vec![None; ZONES]; ZONES],
            leadership: leadership::Leadership::first(name_of(0)?),
            version: 1,
            queue: collections::BinaryHeap::new(),
            next: 0,
        };
        world.seed(rng);
        Some(world)
    }

    fn seed(&mut self, rng: &mut rand_pcg::Pcg64Mcg) {
        for d in 0..ZONES {
            let watched = act::Note::Watched(self.leadership.clone(), self.version);
            self.push(time::Duration::ZERO, act::Act::Note(d, watched));
            for m in 0..ZONES {
                let phase = rng.random_range(0..STATUS_WAIT.as_micros() as u64);
                self.push(time::Duration::from_micros(phase), act::Act::Poll(d, m));
            }
        }
        let at = rng.random_range(2_000_000..4_000_000);
        self.push(time::Duration::from_micros(at), act::Act::Fault);
    }

    fn push(&mut self, after: time::Duration, act: act::Act) {
        self.next += 1;
        self.queue
            .push(act::Due(self.now.after(after), self.next, act));
    }

    fn is_gone(&self, m: usize) -> bool {
        m == 0 && self.since.is_some() && self.fault != failover::Fault::SwitchedOver
    }

    /// When a replica last heard from the first primary.
    fn heard(&self) -> Timestamp {
        let until = self.since.filter(|_| self.is_gone(0)).unwrap_or(self.now);
        let beat = HEARTBEAT.as_micros() as u64;
        let beats = until.0.saturating_sub(self.beat.0) / beat;
        Timestamp(self.beat.0 + beats * beat)
    }

    fn status(&self, m: usize) -> status::MemberStatus {
        let member = &self.members[m];
        let joined = member.joins.is_some_and(|at| at <= self.now);
        let silence = match member.role {
            status::MemberRole::Primary => time::Duration::ZERO,
            status::MemberRole::Replica if joined && member.fenced > position::Term(1) => {
                time::Duration::ZERO
            }
            status::MemberRole::Replica => self.now.since(self.heard()),
        };
        status::MemberStatus {
            role: member.role,
            term: if joined { member.fenced } else { member.term },
            fenced: member.fenced,
            received: position::LogPosition(1_000),
            applied: position::LogPosition(1_000),
            silence,
            lag: silence,
            leaving: false,
        }
    }

    fn step(&mut self, act: act::Act) {
        match act {
            act::Act::Fault => self.strike(),
            act::Act::Poll(d, m) => self.poll(d, m),
            act::Act::Command(d, m, command) => self.command(d, m, &command),
            act::Act::Call(d, command) => self.call(d, &command),
            act::Act::Wake(d) => self.decide(d),
            act::Act::Note(d, note) => {
                self.note(d, note);
                self.decide(d);
            }
        }
    }

    fn strike(&mut self) {
        self.since = Some(self.now);
        match self.fault {
            failover::Fault::Killed => {
                for d in 0..ZONES {
                    let lost = act::Note::Lost(0, detect::Reach::Closed);
                    self.push(way(d, 0), act::Act::Note(d, lost));
                }
            }
            failover::Fault::Partitioned => {}
            failover::Fault::SwitchedOver => {
                self.leadership.wanted = name_of(1);
                self.publish();
            }
        }
    }

    fn publish(&mut self) {
        self.version += 1;
        for d in 0..ZONES {
            let watched = act::Note::Watched(self.leadership.clone(), self.version);
            self.push(WAY, act::Act::Note(d, watched));
        }
    }

    /// A poll that was sent one wait ago ends, or meets its timeout.
    fn poll(&mut self, d: usize, m: usize) {
        if !self.is_gone(m) {
            let report = act::Note::Report(m, self.status(m));
            self.push(way(d, m), act::Act::Note(d, report));
            self.push(STATUS_WAIT + way(d, m) * 2, act::Act::Poll(d, m));
            return;
        }
        if self.fault == failover::Fault::Partitioned {
            let lost = act::Note::Lost(m, detect::Reach::Timeout);
            self.push(ANSWER_TIMEOUT, act::Act::Note(d, lost));
        }
        self.push(STATUS_WAIT + REOPEN, act::Act::Poll(d, m));
    }

    fn note(&mut self, d: usize, note: act::Note) {
        let now = self.now;
        let driver = &mut self.drivers[d];
        match note {
            act::Note::Watched(leadership, version) => {
                let leadership = &leadership;
                driver.observe(
                    now,
                    event::Event::Leadership {
                        leadership,
                        version,
                    },
                );
            }
            act::Note::Stored(leadership, version) => {
                let leadership = &leadership;
                driver.observe(
                    now,
                    event::Event::Leadership {
                        leadership,
                        version,
                    },
                );
                driver.observe(now, event::Event::StoreAnswered);
            }
            act::Note::Lost(m, reach) => {
                if let Some(member) = &name_of(m) {
                    driver.observe(now, event::Event::Unreachable { member, reach });
                }
            }
            act::Note::Report(m, status) => self.report(d, m, status),
            act::Note::Answered(m, status) => {
                let done = status.is_some();
                if let Some(status) = status {
                    self.report(d, m, status);
                }
                if let Some(member) = &name_of(m) {
                    self.drivers[d].observe(now, event::Event::CommandEnded { member, done });
                }
            }
        }
    }

    fn report(&mut self, d: usize, m: usize, status: status::MemberStatus) {
        if let Some(member) = &name_of(m) {
            let status = &status;
            self.drivers[d].observe(self.now, event::Event::Report { member, status });
        }
        self.reports[d][m] = Some(status);
    }

    fn decide(&mut self, d: usize) {
        for command in self.drivers[d].poll(self.now) {
            let member = match &command {
                event::Command::Write { .. } | event::Command::Read => {
                    if self.begun.is_none() && self.since.is_some() {
                        self.begun = Some(self.now);
                    }
                    self.push(WAY, act::Act::Call(d, command));
                    continue;
                }
                event::Command::Fence { member, .. }
                | event::Command::Promote { member, .. }
                | event::Command::Follow { member, .. }
                | event::Command::Probe { member } => member.clone(),
            };
            for m in (0..ZONES).filter(|m| name_of(*m).as_ref() == Some(&member)) {
                let open = OPEN + way(d, m);
                self.push(open, act::Act::Command(d, m, command.clone()));
            }
        }
        if let Some(at) = self.drivers[d].next_wakeup(self.now) {
            self.push(at.since(self.now), act::Act::Wake(d));
        }
    }

    fn command(&mut self, d: usize, m: usize, command: &event::Command) {
        if self.is_gone(m) {
            let wait = match self.fault {
                failover::Fault::Partitioned => OPEN_TIMEOUT,
                failover::Fault::Killed | failover::Fault::SwitchedOver => way(d, m),
            };
            self.push(wait, act::Act::Note(d, act::Note::Answered(m, None)));
            return;
        }
        let done = self.obey(m, command);
        let status = done.then(|| self.status(m));
        self.push(way(d, m), act::Act::Note(d, act::Note::Answered(m, status)));
    }

    /// The members' own rules, as far as a trial without lost writes needs them.
    fn obey(&mut self, m: usize, command: &event::Command) -> bool {
        let now = self.now;
        let member = &mut self.members[m];
        match command {
            event::Command::Fence { term, .. } if member.term < *term => {
                member.role = status::MemberRole::Replica;
                member.fenced = *term;
                member.joins = None;
                true
            }
            event::Command::Fence { .. } => true,
            event::Command::Promote { term, .. } => {
                let is_ready = member.fenced == *term;
                if is_ready {
                    member.role = status::MemberRole::Primary;
                    member.term = *term;
                }
                is_ready
            }
            event::Command::Follow { term, .. } => {
                member.fenced = *term;
                if member.joins.is_none() {
                    member.joins = Some(now.after(OPEN + WAY * 2));
                }
                true
            }
            event::Command::Probe { .. } | event::Command::Write { .. } | event::Command::Read => {
                true
            }
        }
    }

    fn call(&mut self, d: usize, command: &event::Command) {
        if let event::Command::Write {
            leadership,
            expected,
        } = command
            && *expected == self.version
        {
            self.leadership = leadership.clone();
            self.publish();
        }
        let stored = act::Note::Stored(self.leadership.clone(), self.version);
        self.push(STORE + WAY, act::Act::Note(d, stored));
    }

    /// The gap, once the first write of the new term must be acknowledged.
    fn gap(&mut self) -> Option<time::Duration> {
        let since = self.since?;
        let first = position::Term(1);
        let is_new = |m: &Member| m.role == status::MemberRole::Primary && m.term > first;
        let primary = self.members.iter().position(is_new)?;
        let term = self.members[primary].term;
        let (serving, in_term) = self.drivers[primary].serving_primary()?;
        if Some(serving) != name_of(primary).as_ref() || in_term != term {
            return None;
        }
        let report = self.reports[primary][primary].as_ref()?;
        if !report.is_primary_of(term) {
            return None;
        }
        let opened = *self.opened.get_or_insert(self.now.after(WAY + OPEN));
        let replicas = self.members.iter().filter(|m| m.fenced == term);
        let joined = replicas.filter_map(|m| m.joins).min()?;
        let back = WAY * 3 + CALLER_WAY * 2;
        Some(opened.max(joined).after(back).since(since))
    }
}
