//! The steps of a change of primary: which commands a duty leads to.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::change;
use crate::choice;
use crate::event;
use crate::leadership;
use crate::status;

impl change::Change {
    /// Whether a command may go to the member now; if so, takes note of it.
    fn may_ask(&mut self, now: Timestamp, member: &name::MemberName) -> bool {
        let Some(member) = self.members.get_mut(member) else {
            return false;
        };
        if member.reach.is_lost() || now < member.next_ask {
            return false;
        }
        member.next_ask = now.after(change::ASK_RETRY);
        true
    }

    fn may_call(&mut self, now: Timestamp) -> bool {
        if self.is_calling || now < self.next_call {
            return false;
        }
        self.is_calling = true;
        true
    }

    pub(crate) fn read(&mut self, now: Timestamp) -> Vec<event::Command> {
        if !self.may_call(now) {
            return Vec::new();
        }
        // A read that shows nothing new is not repeated at once.
        self.next_call = now.after(change::STORE_PAUSE);
        vec![event::Command::Read]
    }

    pub(crate) fn write(
        &mut self,
        now: Timestamp,
        leadership: leadership::Leadership,
    ) -> Vec<event::Command> {
        if !self.may_call(now) {
            return Vec::new();
        }
        let expected = self.version;
        vec![event::Command::Write {
            leadership,
            expected,
        }]
    }

    /// What an instance does that leaves a duty to another one for now: it looks whether
    /// the chosen member is promoted, for writes may wait here.
    pub(crate) fn look_on(
        &mut self,
        now: Timestamp,
        duty: change::Duty,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        match &leadership.primary {
            Some(primary) if duty == change::Duty::Promote => {
                self.probe_each(now, [primary.clone()])
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn probe(&mut self, now: Timestamp) -> Vec<event::Command> {
        let names: Vec<name::MemberName> = self.members.keys().cloned().collect();
        self.probe_each(now, names)
    }

    fn probe_each(
        &mut self,
        now: Timestamp,
        names: impl IntoIterator<Item = name::MemberName>,
    ) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let pause = self.pause(now);
        for member in names {
            let age = self.members.get(&member).map(|m| now.since(m.at));
            if age.is_some_and(|a| a < pause) {
                continue;
            }
            if self.may_ask(now, &member) {
                commands.push(event::Command::Probe { member });
            }
        }
        commands
    }

    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let next = leadership::Leadership {
            term: leadership.term.next(),
            primary: None,
            wanted: leadership.wanted.clone(),
        };
        let term = next.term;
        let commands = self.write(now, next);
        if !commands.is_empty() {
            self.started = term;
        }
        commands
    }

    pub(crate) fn choose(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let mut frozen = Vec::new();
        for (name, member) in &self.members {
            let Some(report) = member.up() else {
                continue;
            };
            if report.fenced == leadership.term && report.term < leadership.term {
                frozen.push(choice::Frozen {
                    member: name,
                    held: position::Position::new(report.term, report.received),
                    is_welcome: member.is_welcome(),
                });
            }
        }
        let wanted = leadership.wanted.as_ref();
        let chosen = choice::choose(&frozen, self.majority, wanted);
        let is_early =
            wanted.is_some() && chosen != wanted && self.spent(now) < change::WANTED_WAIT;
        if let Some(chosen) = chosen.filter(|_| !is_early) {
            let next = leadership::Leadership {
                term: leadership.term,
                primary: Some(chosen.clone()),
                wanted: None,
            };
            return self.write(now, next);
        }
        self.fence(now, leadership.term)
    }

    fn fence(&mut self, now: Timestamp, term: position::Term) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let names: Vec<name::MemberName> = self.members.keys().cloned().collect();
        for member in names {
            let report = self.members.get(&member).and_then(change::Member::up);
            if report.is_some_and(|r| r.fenced >= term) {
                continue;
            }
            if self.may_ask(now, &member) {
                commands.push(event::Command::Fence { member, term });
            }
        }
        commands
    }

    pub(crate) fn promote(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let term = leadership.term;
        match &leadership.primary {
            Some(member) if self.may_ask(now, member) => {
                let member = member.clone();
                vec![event::Command::Promote { member, term }]
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn lead(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let Some(primary) = &leadership.primary else {
            return commands;
        };
        for member in self.strays(leadership.term, primary) {
            let led = self.members.get(&member).map(|m| m.led);
            let is_led = led.is_some_and(|(term, at)| {
                term == leadership.term && now < at.after(change::ASK_RETRY)
            });
            // Each order starts the stream anew, so it gets time to take effect.
            if is_led || !self.may_ask(now, &member) {
                continue;
            }
            if let Some(member) = self.members.get_mut(&member) {
                member.led = (leadership.term, now);
            }
            commands.push(event::Command::Follow {
                member,
                term: leadership.term,
                primary: primary.clone(),
            });
        }
        commands
    }

    /// Whether a planned change is asked for and another member could take over.
    pub(crate) fn has_target(
        &self,
        leadership: &leadership::Leadership,
        primary: &name::MemberName,
    ) -> bool {
        let Some(current) = self.members.get(primary) else {
            return false;
        };
        if leadership.wanted.as_ref() == Some(primary) {
            return false;
        }
        if leadership.wanted.is_none() && current.is_welcome() {
            return false;
        }
        self.target(leadership, primary).is_some()
    }

    /// The member that is to take over, the one that is furthest unless one is named.
    fn target(
        &self,
        leadership: &leadership::Leadership,
        primary: &name::MemberName,
    ) -> Option<position::LogPosition> {
        let strays = self.strays(leadership.term, primary);
        let mut best = None;
        for (name, member) in &self.members {
            if name == primary || !member.is_welcome() || strays.contains(name) {
                continue;
            }
            if leadership.wanted.as_ref().is_some_and(|w| w != name) {
                continue;
            }
            // Writes are not held back for a member that can't be level soon.
            let is_close =
                |r: &&status::MemberStatus| r.term == leadership.term && r.lag <= change::MAX_LAG;
            let report = member.up().filter(is_close);
            best = best.max(report.map(|r| r.received));
        }
        best
    }

    /// Holds new writes back for a while before a planned change.
    pub(crate) fn hold(&mut self, now: Timestamp) {
        let waited = self.held.map(|h| now.since(h));
        self.is_holding = waited.is_some_and(|w| w < change::HOLD_LIMIT);
    }

    pub(crate) fn hand_over(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let mut commands = self.lead(now, leadership);
        let held = *self.held.get_or_insert(now);
        self.hold(now);
        let waited = now.since(held);
        if waited >= change::HOLD_LIMIT + change::HOLD_PAUSE {
            self.held = None;
        }
        if waited >= change::HOLD_LIMIT {
            return commands;
        }
        let is_quiet = self.writers == 0 || waited >= change::HOLD_GRACE;
        let settled = held.after(change::HOLD_SETTLE);
        let is_settled = now >= settled && self.is_level(settled.max(self.quiet), leadership);
        if is_quiet && is_settled {
            commands.extend(self.start(now, leadership));
            return commands;
        }
        commands.extend(self.probe(now));
        commands
    }

    /// Whether the target holds all that the primary reported after `since`.
    fn is_level(&self, since: Timestamp, leadership: &leadership::Leadership) -> bool {
        let Some(primary) = &leadership.primary else {
            return false;
        };
        let current = self.members.get(primary).filter(|m| m.at > since);
        let end = current.and_then(change::Member::up).map(|r| r.received);
        end.is_some() && end <= self.target(leadership, primary)
    }
}
