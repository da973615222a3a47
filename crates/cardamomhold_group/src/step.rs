//! Commands that the driver sends in each phase of a change of primary.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::change;
use crate::choice;
use crate::event;
use crate::leadership;
use crate::status;

impl change::Change {
    /// Whether a command may be sent to the member now. If so, delays the next one by
    /// [`change::COMMAND_RETRY_DELAY`].
    fn try_command(&mut self, now: Timestamp, member: &name::MemberName) -> bool {
        let Some(member) = self.members.get_mut(member) else {
            return false;
        };
        if member.reach.has_failed() || now < member.next_command {
            return false;
        }
        member.next_command = now.after(change::COMMAND_RETRY_DELAY);
        true
    }

    /// Whether the store may be called now. If so, marks a call as pending.
    fn try_call(&mut self, now: Timestamp) -> bool {
        if self.call_pending || now < self.next_call {
            return false;
        }
        self.call_pending = true;
        true
    }

    pub(crate) fn read_leadership(&mut self, now: Timestamp) -> Vec<event::Command> {
        if !self.try_call(now) {
            return Vec::new();
        }
        // Delays the next call, in case this read returns no new content.
        self.next_call = now.after(change::STORE_RETRY_DELAY);
        vec![event::Command::Read]
    }

    pub(crate) fn write_leadership(
        &mut self,
        now: Timestamp,
        leadership: leadership::Leadership,
    ) -> Vec<event::Command> {
        if !self.try_call(now) {
            return Vec::new();
        }
        let expected = self.version;
        vec![event::Command::Write {
            leadership,
            expected,
        }]
    }

    /// Probes the chosen member while another instance drives its promotion, because writes
    /// may wait at this instance for the new primary.
    pub(crate) fn watch_promotion(
        &mut self,
        now: Timestamp,
        phase: change::Phase,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        match &leadership.primary {
            Some(primary) if phase == change::Phase::Promote => {
                self.probe_each(now, [primary.clone()])
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn probe_all(&mut self, now: Timestamp) -> Vec<event::Command> {
        let names: Vec<name::MemberName> = self.members.keys().cloned().collect();
        self.probe_each(now, names)
    }

    fn probe_each(
        &mut self,
        now: Timestamp,
        names: impl IntoIterator<Item = name::MemberName>,
    ) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let interval = self.poll_interval(now);
        for member in names {
            let age = self.members.get(&member).map(|m| now.since(m.reported_at));
            if age.is_some_and(|a| a < interval) {
                continue;
            }
            if self.try_command(now, &member) {
                commands.push(event::Command::Probe { member });
            }
        }
        commands
    }

    pub(crate) fn start_change(
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
        let commands = self.write_leadership(now, next);
        if !commands.is_empty() {
            self.started_term = term;
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
            let Some(report) = member.live_report() else {
                continue;
            };
            if report.fenced == leadership.term && report.term < leadership.term {
                frozen.push(choice::Frozen {
                    member: name,
                    position: position::Position::new(report.term, report.received),
                    accepts_work: member.accepts_work(),
                });
            }
        }
        let wanted = leadership.wanted.as_ref();
        let chosen = choice::choose(&frozen, self.majority, wanted);
        let is_early =
            wanted.is_some() && chosen != wanted && self.elapsed(now) < change::MAX_WANTED_WAIT;
        if let Some(chosen) = chosen.filter(|_| !is_early) {
            let next = leadership::Leadership {
                term: leadership.term,
                primary: Some(chosen.clone()),
                wanted: None,
            };
            return self.write_leadership(now, next);
        }
        self.fence(now, leadership.term)
    }

    fn fence(&mut self, now: Timestamp, term: position::Term) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let names: Vec<name::MemberName> = self.members.keys().cloned().collect();
        for member in names {
            let report = self
                .members
                .get(&member)
                .and_then(change::Member::live_report);
            if report.is_some_and(|r| r.fenced >= term) {
                continue;
            }
            if self.try_command(now, &member) {
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
            Some(member) if self.try_command(now, member) => {
                let member = member.clone();
                vec![event::Command::Promote { member, term }]
            }
            _ => Vec::new(),
        }
    }

    pub(crate) fn send_follows(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let mut commands = Vec::new();
        let Some(primary) = &leadership.primary else {
            return commands;
        };
        for member in self.non_followers(leadership.term, primary) {
            let last_follow = self.members.get(&member).map(|m| m.last_follow);
            let is_recent = last_follow.is_some_and(|(term, sent_at)| {
                term == leadership.term && now < sent_at.after(change::COMMAND_RETRY_DELAY)
            });
            // Each follow command restarts the replication stream, so it gets time to take effect.
            if is_recent || !self.try_command(now, &member) {
                continue;
            }
            if let Some(member) = self.members.get_mut(&member) {
                member.last_follow = (leadership.term, now);
            }
            commands.push(event::Command::Follow {
                member,
                term: leadership.term,
                primary: primary.clone(),
            });
        }
        commands
    }

    /// Whether a planned change is due, because another member is wanted or the primary is
    /// draining or leaving, and a member can take over.
    pub(crate) fn can_hand_over(
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
        if leadership.wanted.is_none() && current.accepts_work() {
            return false;
        }
        self.target_position(leadership, primary).is_some()
    }

    /// Log end of the member that is to take over: the wanted one, or else the one with the
    /// furthest log end.
    fn target_position(
        &self,
        leadership: &leadership::Leadership,
        primary: &name::MemberName,
    ) -> Option<position::LogPosition> {
        let non_followers = self.non_followers(leadership.term, primary);
        let mut best = None;
        for (name, member) in &self.members {
            if name == primary || !member.accepts_work() || non_followers.contains(name) {
                continue;
            }
            if leadership.wanted.as_ref().is_some_and(|w| w != name) {
                continue;
            }
            // A member that can't catch up soon is no reason to hold writes.
            let is_close = |r: &&status::MemberStatus| {
                r.term == leadership.term && r.lag <= change::MAX_TARGET_LAG
            };
            let report = member.live_report().filter(is_close);
            best = best.max(report.map(|r| r.received));
        }
        best
    }

    /// Updates whether new writes are held before a planned change.
    pub(crate) fn update_hold(&mut self, now: Timestamp) {
        let waited = self.hold_start.map(|h| now.since(h));
        self.is_holding = waited.is_some_and(|w| w < change::MAX_HOLD);
    }

    pub(crate) fn hand_over(
        &mut self,
        now: Timestamp,
        leadership: &leadership::Leadership,
    ) -> Vec<event::Command> {
        let mut commands = self.send_follows(now, leadership);
        let hold_start = *self.hold_start.get_or_insert(now);
        self.update_hold(now);
        let waited = now.since(hold_start);
        if waited >= change::MAX_HOLD + change::HOLD_RETRY_DELAY {
            self.hold_start = None;
        }
        if waited >= change::MAX_HOLD {
            return commands;
        }
        let writers_done = self.writers == 0 || waited >= change::WRITER_GRACE;
        let earliest_start = hold_start.after(change::MIN_HOLD);
        let is_ready = now >= earliest_start
            && self.is_caught_up(earliest_start.max(self.writers_changed), leadership);
        if writers_done && is_ready {
            commands.extend(self.start_change(now, leadership));
            return commands;
        }
        commands.extend(self.probe_all(now));
        commands
    }

    /// Whether the target holds the log end that the primary reported after `since`.
    fn is_caught_up(&self, since: Timestamp, leadership: &leadership::Leadership) -> bool {
        let Some(primary) = &leadership.primary else {
            return false;
        };
        let current = self.members.get(primary).filter(|m| m.reported_at > since);
        let end = current
            .and_then(change::Member::live_report)
            .map(|r| r.received);
        end.is_some() && end <= self.target_position(leadership, primary)
    }
}
