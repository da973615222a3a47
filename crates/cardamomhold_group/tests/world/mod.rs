//! Simulation around the driver of changes: members, a platform, and drivers that pause, die and
//! lose messages between any two steps.

pub mod member;
pub mod oracle;
pub mod store;

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::change;
use cardamomhold_group::confirm;
use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;
use cardamomhold_group::status;

/// Number of drivers in the simulation.
pub const DRIVERS: usize = 3;

/// Rounds within which the group must recover once all faults have ended: 15 s of simulated time.
const MAX_RECOVERY_ROUNDS: usize = 600;

/// Simulated time of one round.
const ROUND_LENGTH: time::Duration = time::Duration::from_millis(25);

/// A rule of the members that a test disables to check that the oracle reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// All rules hold.
    Nothing,
    /// A replica reports the new term before it holds the log up to the term's start.
    EarlyTerm,
    /// Members report that they are fenced, but aren't.
    Fence,
}

/// One action or fault of a history. The numbers select a driver, member or message by index,
/// modulo how many there are. `Round` has the number of rounds, and `Replicate` a member and the
/// maximum number of entries minus one.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Write(usize),
    Round(usize),
    Poll(usize),
    Deliver(usize),
    Drop(usize),
    Replicate(usize, usize),
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    CutMembers(usize, usize),
    CutDriver(usize, usize),
    Isolate(usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Replace(usize),
    StoreDown(bool),
    LoseAnswer,
    Switchover(usize),
}

#[derive(Debug, Clone)]
enum Message {
    ToMember(usize, event::Command),
    CommandReply(usize, usize, Option<status::MemberStatus>),
    ProbeReply(usize, usize, Option<status::MemberStatus>),
    ToStore(usize, event::Command),
    StoreReply(usize, Option<(leadership::Leadership, u64)>),
}

struct Driver {
    change: change::Change,
    confirmations: confirm::Confirmations,
    pending: Vec<(u64, position::Position)>,
    paused: bool,
}

pub struct World {
    broken_rule: BrokenRule,
    now: Timestamp,
    spec: spec::GroupSpec,
    members: Vec<member::Member>,
    drivers: Vec<Driver>,
    store: store::Store,
    messages: collections::VecDeque<(usize, Message)>,
    cut_members: collections::BTreeSet<(usize, usize)>,
    cut_drivers: collections::BTreeSet<(usize, usize)>,
    next_write: u64,
    pub oracle: oracle::Oracle,
}

fn name_of(index: usize) -> name::MemberName {
    name::MemberName::parse(&format!("m{index}")).expect("name")
}

fn index_of(name: &name::MemberName) -> usize {
    name.as_str()[1..].parse().expect("number")
}

impl World {
    pub fn new(count: usize, broken_rule: BrokenRule) -> Self {
        let zone = name::ZoneName::parse("a").expect("name");
        let mut members = Vec::new();
        for index in 0..count {
            members.push(spec::MemberSpec {
                name: name_of(index),
                zone: zone.clone(),
                address: String::new(),
                draining: false,
            });
        }
        let spec = spec::GroupSpec {
            members,
            slots: 3,
            connections: 50,
            key_retention_s: 60,
        };
        let mut world = Self {
            broken_rule,
            now: Timestamp::from_millis(1_000),
            members: (0..count)
                .map(|index| member::Member::new(index == 0))
                .collect(),
            drivers: Vec::new(),
            store: store::Store {
                leadership: leadership::Leadership::first(name_of(0)),
                version: 0,
                is_down: false,
                lost_answers: 0,
            },
            messages: collections::VecDeque::new(),
            cut_members: collections::BTreeSet::new(),
            cut_drivers: collections::BTreeSet::new(),
            next_write: 0,
            oracle: oracle::Oracle::default(),
            spec,
        };
        for index in 0..DRIVERS {
            let driver = world.new_driver(index);
            world.drivers.push(driver);
        }
        world
    }

    fn new_driver(&self, index: usize) -> Driver {
        let mut change = change::Change::default();
        change.apply_spec(&self.spec);
        let precedence = event::Precedence {
            rank: index as u32,
            owns_primary: index == 0,
        };
        change.observe(self.now, event::Event::Precedence(precedence));
        let majority = self.spec.majority();
        Driver {
            change,
            confirmations: confirm::Confirmations::new(majority),
            pending: Vec::new(),
            paused: false,
        }
    }

    pub fn act(&mut self, action: Action) -> Result<(), String> {
        let (count, drivers) = (self.members.len(), DRIVERS);
        match action {
            Action::Write(d) => self.write(d % drivers)?,
            Action::Round(n) => {
                for _ in 0..n {
                    self.round()?;
                }
            }
            Action::Poll(d) => self.poll(d % drivers),
            Action::Deliver(index) if !self.messages.is_empty() => {
                let index = index % self.messages.len();
                self.deliver(index)?;
            }
            Action::Drop(index) if !self.messages.is_empty() => {
                let index = index % self.messages.len();
                self.lose_message(index);
            }
            Action::Deliver(_) | Action::Drop(_) => {}
            Action::Replicate(m, n) => self.replicate(m % count, 1 + n),
            Action::Kill(m) => self.members[m % count].alive = false,
            Action::Restart(m) => {
                let member = &mut self.members[m % count];
                if !member.alive {
                    member.restart();
                }
            }
            Action::Freeze(m) => self.members[m % count].frozen = true,
            Action::Thaw(m) => self.members[m % count].frozen = false,
            Action::CutMembers(a, b) => {
                self.cut_members.insert((a % count, b % count));
                self.cut_members.insert((b % count, a % count));
            }
            Action::CutDriver(d, m) => {
                self.cut_drivers.insert((d % drivers, m % count));
            }
            Action::Isolate(m) => self.isolate(m % count),
            Action::Heal => {
                self.cut_members.clear();
                self.cut_drivers.clear();
            }
            Action::Pause(d) => self.drivers[d % drivers].paused = true,
            Action::Resume(d) => self.drivers[d % drivers].paused = false,
            Action::Replace(d) => self.drivers[d % drivers] = self.new_driver(d % drivers),
            Action::StoreDown(is_down) => self.store.is_down = is_down,
            Action::LoseAnswer => self.store.lost_answers += 1,
            Action::Switchover(m) => self.request_switchover(m % count),
        }
        Ok(())
    }

    /// Cuts off a zone: the member and the driver in it.
    fn isolate(&mut self, m: usize) {
        for other in (0..self.members.len()).filter(|o| *o != m) {
            self.cut_members.insert((m, other));
            self.cut_members.insert((other, m));
        }
        for d in (0..DRIVERS).filter(|d| *d != m) {
            self.cut_drivers.insert((d, m));
        }
    }

    fn request_switchover(&mut self, m: usize) {
        let mut leadership = self.store.leadership.clone();
        leadership.wanted = Some(name_of(m));
        let version = self.store.version;
        self.store.write(&leadership, version);
    }

    /// One round: every running component makes progress, in a fixed order.
    fn round(&mut self) -> Result<(), String> {
        self.now = self.now.after(ROUND_LENGTH);
        for m in 0..self.members.len() {
            self.replicate(m, 4);
        }
        for d in 0..DRIVERS {
            self.observe_all(d)?;
            self.poll(d);
        }
        for _ in 0..self.messages.len() * 3 {
            if !self.messages.is_empty() {
                self.deliver(0)?;
            }
        }
        Ok(())
    }

    fn reaches(&self, d: usize, m: usize) -> bool {
        self.members[m].answers() && !self.cut_drivers.contains(&(d, m))
    }

    /// Passes the stored leadership and all members' reports to a driver, like the daemon's
    /// monitors and watch.
    fn observe_all(&mut self, d: usize) -> Result<(), String> {
        if self.drivers[d].paused {
            return Ok(());
        }
        if let store::Answer::Object(leadership, version) = self.store.read() {
            self.observe_leadership(d, &leadership, version);
        }
        for m in 0..self.members.len() {
            let status = self.reaches(d, m).then(|| self.members[m].status(self.now));
            self.observe_member(d, m, status)?;
        }
        Ok(())
    }

    fn observe_leadership(&mut self, d: usize, leadership: &leadership::Leadership, version: u64) {
        let event = event::Event::Leadership {
            leadership,
            version,
        };
        self.drivers[d].change.observe(self.now, event);
    }

    fn observe_member(
        &mut self,
        d: usize,
        m: usize,
        status: Option<status::MemberStatus>,
    ) -> Result<(), String> {
        let member = &name_of(m);
        let driver = &mut self.drivers[d];
        let Some(status) = &status else {
            let reach = if self.members[m].alive {
                detect::Reach::Timeout
            } else {
                detect::Reach::Closed
            };
            driver
                .change
                .observe(self.now, event::Event::Unreachable { member, reach });
            return Ok(());
        };
        driver
            .change
            .observe(self.now, event::Event::Report { member, status });
        driver.confirmations.observe(member, status);
        self.acknowledge_confirmed(d)
    }

    /// Acknowledges the confirmed writes by the daemon's rule.
    fn acknowledge_confirmed(&mut self, d: usize) -> Result<(), String> {
        let driver = &mut self.drivers[d];
        let mut remaining = Vec::new();
        for (write, position) in std::mem::take(&mut driver.pending) {
            if driver.confirmations.is_confirmed(position) {
                self.oracle.record_acknowledgement(write)?;
            } else if driver.confirmations.newest_term() <= position.term {
                remaining.push((write, position));
            }
        }
        self.drivers[d].pending = remaining;
        Ok(())
    }

    fn poll(&mut self, d: usize) {
        if self.drivers[d].paused {
            return;
        }
        for command in self.drivers[d].change.poll(self.now) {
            let message = match &command {
                event::Command::Write { .. } | event::Command::Read => Message::ToStore(d, command),
                event::Command::Fence { member, .. }
                | event::Command::Promote { member, .. }
                | event::Command::Follow { member, .. }
                | event::Command::Probe { member } => {
                    Message::ToMember(index_of(member), command.clone())
                }
            };
            self.messages.push_back((d, message));
        }
    }

    fn lose_message(&mut self, index: usize) {
        let Some((d, message)) = self.messages.remove(index) else {
            return;
        };
        let answer = match message {
            Message::ToMember(m, event::Command::Probe { .. }) => Message::ProbeReply(d, m, None),
            Message::ToMember(m, _) => Message::CommandReply(d, m, None),
            Message::ToStore(d, _) => Message::StoreReply(d, None),
            // The driver sees a lost answer as a timeout.
            Message::ProbeReply(d, m, _) => Message::ProbeReply(d, m, None),
            Message::CommandReply(d, m, _) => Message::CommandReply(d, m, None),
            Message::StoreReply(d, _) => Message::StoreReply(d, None),
        };
        self.messages.push_back((d, answer));
    }

    fn deliver(&mut self, index: usize) -> Result<(), String> {
        let Some((d, message)) = self.messages.remove(index) else {
            return Ok(());
        };
        match message {
            Message::ToMember(m, command) => {
                let status = self.run_command(d, m, &command)?;
                let answer = match command {
                    event::Command::Probe { .. } => Message::ProbeReply(d, m, status),
                    _ => Message::CommandReply(d, m, status),
                };
                self.messages.push_back((d, answer));
            }
            Message::ToStore(_, command) => {
                let answer = match command {
                    event::Command::Write {
                        leadership,
                        expected,
                    } => self.store.write(&leadership, expected),
                    _ => self.store.read(),
                };
                let object = match answer {
                    store::Answer::Object(leadership, version) => Some((leadership, version)),
                    store::Answer::Lost => None,
                };
                self.messages.push_back((d, Message::StoreReply(d, object)));
            }
            answer if self.drivers[d].paused => self.messages.push_back((d, answer)),
            Message::CommandReply(_, m, status) | Message::ProbeReply(_, m, status) => {
                let done = status.is_some();
                if done {
                    self.observe_member(d, m, status)?;
                }
                let member = &name_of(m);
                let event = event::Event::CommandEnded { member, done };
                self.drivers[d].change.observe(self.now, event);
            }
            Message::StoreReply(_, object) => {
                let event = match &object {
                    Some((leadership, version)) => {
                        self.observe_leadership(d, leadership, *version);
                        event::Event::StoreAnswered
                    }
                    None => event::Event::StoreFailed,
                };
                self.drivers[d].change.observe(self.now, event);
            }
        }
        Ok(())
    }

    fn run_command(
        &mut self,
        d: usize,
        m: usize,
        command: &event::Command,
    ) -> Result<Option<status::MemberStatus>, String> {
        if !self.reaches(d, m) {
            return Ok(None);
        }
        let broken_rule = self.broken_rule;
        let member = &mut self.members[m];
        let done = match command {
            event::Command::Fence { term, .. } if broken_rule == BrokenRule::Fence => {
                let mut status = member.status(self.now);
                status.fenced = *term;
                return Ok(Some(status));
            }
            event::Command::Fence { term, .. } => member.fence(*term),
            event::Command::Promote { term, .. } => {
                if broken_rule == BrokenRule::Fence {
                    member.fenced = member.fenced.max(*term);
                }
                let done = member.promote(*term);
                if done {
                    let log = member.log.clone();
                    self.oracle.record_promotion(*term, m, &log)?;
                }
                done
            }
            event::Command::Follow { term, primary, .. } => member.follow(*term, index_of(primary)),
            _ => true,
        };
        Ok(done.then(|| self.members[m].status(self.now)))
    }

    fn replicate(&mut self, m: usize, max_entries: usize) {
        let Some(primary) = self.members[m].following else {
            return;
        };
        let is_cut = self.cut_members.contains(&(m, primary));
        if is_cut || !self.members[m].answers() || !self.members[primary].answers() {
            return;
        }
        let source = self.members[primary].clone();
        let early_term = self.broken_rule == BrokenRule::EarlyTerm;
        self.members[m].receive(&source, self.now, max_entries, early_term);
    }

    /// A caller's write through the instance of a driver.
    fn write(&mut self, d: usize) -> Result<(), String> {
        if self.drivers[d].paused {
            return Ok(());
        }
        let Some((primary, term)) = self.drivers[d].change.serving_primary() else {
            return Ok(());
        };
        let (m, primary) = (index_of(primary), primary.clone());
        if !self.reaches(d, m) || !self.members[m].is_primary() {
            return Ok(());
        }
        let log_term = self.members[m].term;
        let write = self.next_write;
        self.next_write += 1;
        self.members[m].log.push((log_term, write));
        let fenced = self.members.iter().filter(|f| f.fenced > log_term).count();
        self.oracle
            .record_write(write, log_term, fenced >= self.spec.majority());
        if log_term != term {
            return Ok(());
        }
        let end = position::LogPosition(self.members[m].log.len() as u64);
        let position = position::Position::new(log_term, end);
        self.drivers[d]
            .confirmations
            .record_position(&primary, position);
        self.drivers[d].pending.push((write, position));
        self.acknowledge_confirmed(d)
    }

    /// Ends every fault; the group must then accept writes again, without a lost write.
    pub fn recover(&mut self) -> Result<(), String> {
        self.act(Action::Heal)?;
        self.store.is_down = false;
        for member in &mut self.members {
            member.frozen = false;
            if !member.alive {
                member.restart();
            }
        }
        for driver in &mut self.drivers {
            driver.paused = false;
        }
        let before = self.oracle.acknowledged.len();
        for _ in 0..MAX_RECOVERY_ROUNDS {
            self.round()?;
            if !self.is_healthy() {
                continue;
            }
            for d in 0..DRIVERS {
                self.write(d)?;
            }
            self.round()?;
            if self.oracle.acknowledged.len() >= before + DRIVERS {
                return self.check_members();
            }
        }
        Err(format!("no recovery: {:?} {:?}", self.store, self.members))
    }

    fn is_healthy(&self) -> bool {
        let term = self.store.leadership.term;
        let primaries = self.members.iter().filter(|m| m.is_primary()).count();
        primaries == 1 && self.members.iter().all(|m| m.term == term)
    }

    fn check_members(&self) -> Result<(), String> {
        let term = self.store.leadership.term;
        for member in self.members.iter().filter(|m| m.is_primary()) {
            self.oracle.check_log(term, &member.log)?;
        }
        Ok(())
    }
}
