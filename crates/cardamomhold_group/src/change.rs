//! The driver of a change of primary, planned or not.
//!
//! The driver keeps no step to itself: what is to be done follows from the group's
//! object and the members' reports alone, so that any instance can go on where another
//! one stopped. Several drivers at once are safe. Each term has one choice, written to
//! the object before the promotion; a member is promoted only in the term that it is
//! fenced at; and a choice needs the frozen positions of a majority.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::detect;
use crate::event;
use crate::leadership;
use crate::spec;
use crate::status;

/// Delay between one instance's start of a change and the next one's.
pub const STAGGER: time::Duration = time::Duration::from_millis(150);

/// Delay after which an instance goes on with a change that another one began.
pub const RESUME: time::Duration = time::Duration::from_millis(300);

/// Time after which an unanswered command is sent again.
pub const ASK_RETRY: time::Duration = time::Duration::from_millis(500);

/// Pause after a command that failed.
pub const ASK_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Pause after a call of the platform that failed.
pub const STORE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Time between two looks while a change is under way.
pub const TICK: time::Duration = time::Duration::from_millis(25);

/// Greatest time between two looks at something that does not come to an end.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// The part of the time already spent that passes until the next look.
const LOOKS: u32 = 8;

/// Silence after which a replica is told once more whom to follow.
pub const FOLLOW_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Longest time that a planned change holds writes back before it starts.
pub const HOLD_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Age of its data up to which a member is close enough to take over as planned.
pub const MAX_LAG: time::Duration = time::Duration::from_millis(500);

/// Shortest time that a planned change holds writes back: whoever else takes some for
/// the primary, by another view of the fleet, hears of the change and ends them.
pub const HOLD_SETTLE: time::Duration = time::Duration::from_millis(50);

/// Time that open transactions get to end before a planned change starts.
pub const HOLD_GRACE: time::Duration = time::Duration::from_millis(150);

/// Time that the choice waits for the member that a planned change names.
pub const WANTED_WAIT: time::Duration = time::Duration::from_millis(100);

/// Time before a planned change is tried again whose target did not catch up.
pub const HOLD_PAUSE: time::Duration = time::Duration::from_secs(5);

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Find out why the members are ahead of the object.
    Refresh,
    /// Look closer at a primary that may be lost.
    Suspect,
    /// Replace a lost primary.
    Replace,
    /// Fence and choose.
    Choose,
    /// Promote the chosen member.
    Promote,
    /// Let the others follow.
    Follow,
    /// Hand over to another member as planned.
    HandOver,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Member {
    pub(crate) draining: bool,
    pub(crate) reach: detect::Reach,
    pub(crate) report: Option<status::MemberStatus>,
    pub(crate) at: Timestamp,
    pub(crate) next_ask: Timestamp,
    /// Term in which this driver last told it whom to follow, and when.
    pub(crate) led: (position::Term, Timestamp),
}

impl Member {
    pub(crate) fn up(&self) -> Option<&status::MemberStatus> {
        self.report
            .as_ref()
            .filter(|_| self.reach == detect::Reach::Up)
    }

    pub(crate) fn is_welcome(&self) -> bool {
        !self.draining && self.up().is_some_and(|s| !s.leaving)
    }
}

/// Drives the changes of one group's primary.
#[derive(Debug, Clone, Default)]
pub struct Change {
    pub(crate) majority: usize,
    pub(crate) members: collections::BTreeMap<name::MemberName, Member>,
    pub(crate) leadership: Option<leadership::Leadership>,
    pub(crate) version: u64,
    pub(crate) place: event::Place,
    pub(crate) writers: usize,
    pub(crate) started: position::Term,
    pub(crate) duty: Option<(Duty, position::Term, Timestamp)>,
    pub(crate) held: Option<Timestamp>,
    pub(crate) is_holding: bool,
    pub(crate) quiet: Timestamp,
    pub(crate) is_calling: bool,
    pub(crate) must_read: bool,
    pub(crate) next_call: Timestamp,
}

impl Change {
    /// Takes over what the operators declare of the group.
    pub fn reshape(&mut self, spec: &spec::GroupSpec) {
        self.majority = spec.majority();
        self.members.retain(|name, _| spec.member(name).is_some());
        for member in &spec.members {
            let known = self.members.entry(member.name.clone()).or_default();
            known.draining = member.draining;
        }
    }

    /// Takes an event in.
    pub fn observe(&mut self, now: Timestamp, event: event::Event<'_>) {
        match event {
            event::Event::Leadership {
                leadership,
                version,
            } => self.take_leadership(leadership, version),
            event::Event::Report { member, status } => self.take_report(now, member, status),
            event::Event::Lost { member, reach } => self.lose(member, reach),
            event::Event::Answered { member, done } => {
                if let Some(member) = self.members.get_mut(member) {
                    let pause = if done {
                        time::Duration::ZERO
                    } else {
                        ASK_PAUSE
                    };
                    member.next_ask = now.after(pause);
                    if !done {
                        member.led = Default::default();
                    }
                }
            }
            event::Event::Stored => {
                self.is_calling = false;
                self.must_read = false;
            }
            event::Event::StoreLost => {
                self.is_calling = false;
                self.must_read = true;
                self.next_call = now.after(STORE_PAUSE);
            }
            event::Event::Place(place) => self.place = place,
            event::Event::Writers(writers) if writers == self.writers => {}
            event::Event::Writers(writers) => {
                self.writers = writers;
                self.quiet = now;
            }
        }
    }

    fn take_leadership(&mut self, leadership: &leadership::Leadership, version: u64) {
        if self.leadership.is_some() && version <= self.version {
            return;
        }
        if self
            .leadership
            .as_ref()
            .is_some_and(|r| r.term != leadership.term)
        {
            self.held = None;
        }
        self.leadership = Some(leadership.clone());
        self.version = version;
    }

    /// Reports of one member may overtake each other; terms tell which one is older.
    fn take_report(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        status: &status::MemberStatus,
    ) {
        let Some(member) = self.members.get_mut(member) else {
            return;
        };
        let is_older = |known: &status::MemberStatus| {
            (status.fenced, status.term) < (known.fenced, known.term)
        };
        if member.report.as_ref().is_some_and(is_older) {
            return;
        }
        member.reach = detect::Reach::Up;
        member.report = Some(status.clone());
        member.at = now;
    }

    fn lose(&mut self, member: &name::MemberName, reach: detect::Reach) {
        if let Some(member) = self.members.get_mut(member) {
            member.reach = reach;
            member.report = None;
        }
    }

    /// The primary that takes writes now; none while a change is under way.
    pub fn serving(&self) -> Option<(&name::MemberName, position::Term)> {
        let leadership = self.leadership.as_ref()?;
        if self.is_holding {
            return None;
        }
        leadership
            .primary
            .as_ref()
            .map(|primary| (primary, leadership.term))
    }

    /// The primary of the newest known leadership, whether or not it takes writes now.
    pub fn primary(&self) -> Option<&name::MemberName> {
        self.leadership.as_ref()?.primary.as_ref()
    }

    /// When to poll again though nothing has happened; none while all is well.
    pub fn wake(&self, now: Timestamp) -> Option<Timestamp> {
        self.duty.is_some().then(|| now.after(self.pause(now)))
    }

    /// Time between two looks; it grows while nothing comes of them.
    pub(crate) fn pause(&self, now: Timestamp) -> time::Duration {
        (self.spent(now) / LOOKS).clamp(TICK, MAX_PAUSE)
    }

    /// Time spent on the present duty so far.
    pub(crate) fn spent(&self, now: Timestamp) -> time::Duration {
        let since = self.duty.map_or(now, |(_, _, since)| since);
        now.since(since)
    }

    /// Decides what to do now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<event::Command> {
        let Some(leadership) = self.leadership.clone() else {
            return Vec::new();
        };
        let duty = self.find_duty(now, &leadership);
        if duty != Some(Duty::HandOver) {
            self.held = None;
        }
        self.hold(now);
        self.duty = match (duty, self.duty) {
            (None, _) => None,
            (Some(new), Some((old, term, since))) if old == new && term == leadership.term => {
                Some((new, term, since))
            }
            (Some(new), _) => Some((new, leadership.term, now)),
        };
        let Some((duty, _, since)) = self.duty else {
            return Vec::new();
        };
        if now < since.after(self.delay(duty, leadership.term)) {
            return self.look_on(now, duty, &leadership);
        }
        match duty {
            Duty::Refresh => self.read(now),
            Duty::Suspect => self.probe(now),
            Duty::Replace => self.start(now, &leadership),
            Duty::Choose => self.choose(now, &leadership),
            Duty::Promote => self.promote(now, &leadership),
            Duty::Follow => self.lead(now, &leadership),
            Duty::HandOver => self.hand_over(now, &leadership),
        }
    }

    /// Whoever started a change goes on at once; the others leave it some time.
    fn delay(&self, duty: Duty, term: position::Term) -> time::Duration {
        match duty {
            Duty::Refresh | Duty::Suspect => time::Duration::ZERO,
            Duty::Replace => STAGGER * self.place.rank,
            Duty::HandOver if self.place.owns_primary => time::Duration::ZERO,
            Duty::HandOver => RESUME * (self.place.rank + 1),
            Duty::Choose | Duty::Promote | Duty::Follow if self.started == term => {
                time::Duration::ZERO
            }
            Duty::Choose | Duty::Promote | Duty::Follow => RESUME * (self.place.rank + 1),
        }
    }

    fn find_duty(&mut self, now: Timestamp, leadership: &leadership::Leadership) -> Option<Duty> {
        let reports = self.members.values().filter_map(Member::up);
        let newest = reports.map(|s| s.term.max(s.fenced)).max();
        if self.must_read || newest.is_some_and(|term| term > leadership.term) {
            return Some(Duty::Refresh);
        }
        let Some(primary) = &leadership.primary else {
            return Some(Duty::Choose);
        };
        if self.is_lost(now, primary, leadership.term) {
            return Some(Duty::Replace);
        }
        let reach = self.members.get(primary).map(|m| m.reach);
        let report = self.members.get(primary).and_then(Member::up);
        match report {
            Some(report) if report.is_primary_of(leadership.term) => {
                if self.has_target(leadership, primary) {
                    return Some(Duty::HandOver);
                }
                let is_led = self.strays(leadership.term, primary).is_empty();
                (!is_led).then_some(Duty::Follow)
            }
            Some(report) if report.fenced == leadership.term && report.term < leadership.term => {
                Some(Duty::Promote)
            }
            Some(_) => Some(Duty::Suspect),
            None => reach
                .is_some_and(detect::Reach::is_lost)
                .then_some(Duty::Suspect),
        }
    }

    fn is_lost(&self, now: Timestamp, primary: &name::MemberName, term: position::Term) -> bool {
        let known = self.members.get(primary).map(|m| m.reach);
        let reach = known.unwrap_or_default();
        let mut witnesses = Vec::new();
        for (name, member) in &self.members {
            let Some(status) = member.up().filter(|_| name != primary) else {
                continue;
            };
            if !reach.is_lost() && status.term != term {
                // It does not follow this primary yet, so its silence says nothing of it.
                continue;
            }
            let age = now.since(member.at);
            witnesses.push(detect::Witness { status, age });
        }
        detect::is_lost(reach, witnesses, self.majority)
    }

    /// The members in reach that do not follow the primary of the term.
    pub(crate) fn strays(
        &self,
        term: position::Term,
        primary: &name::MemberName,
    ) -> Vec<name::MemberName> {
        let mut strays = Vec::new();
        for (name, member) in &self.members {
            let Some(report) = member.up().filter(|_| name != primary) else {
                continue;
            };
            let patience = if report.term < term {
                detect::CLOSED_SILENCE
            } else {
                FOLLOW_SILENCE
            };
            // The silence since its fence is too short to show, but follows from the fence.
            let is_fresh = self.started == term && report.term < term && member.led.0 < term;
            if is_fresh || report.fenced < term || report.silence >= patience {
                strays.push(name.clone());
            }
        }
        strays
    }
}
