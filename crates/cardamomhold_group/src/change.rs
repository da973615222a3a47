//! Driver of a change of primary: failover and planned switchover.
//!
//! The driver derives the next phase from the group's stored leadership and the members'
//! reports alone, so that any instance can resume a change that another one started.
//! Several drivers may run concurrently without harm, because each term has one chosen member,
//! written to the leadership before the promotion; a member is promoted only in the term that
//! it is fenced at; and a choice needs the log positions of a majority that is fenced.

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

/// Delay per [`event::Precedence::rank`] before an instance starts to replace a lost primary.
pub const START_STAGGER: time::Duration = time::Duration::from_millis(150);

/// Delay before an instance resumes a change that another one started, or starts a planned change
/// although it doesn't own the primary's endpoint; multiplied by [`event::Precedence::rank`] + 1.
pub const RESUME_DELAY: time::Duration = time::Duration::from_millis(300);

/// Time after which a command without an answer is sent again.
pub const COMMAND_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Delay before another command to a member whose last one failed.
pub const COMMAND_FAILURE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Delay before another call to the platform after a failed one.
pub const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Shortest time between two polls while a change is in progress.
pub const MIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Longest time between two polls of a phase that makes no progress.
pub const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The poll interval is the time spent in the phase so far, divided by this.
const POLL_INTERVAL_DIVISOR: u32 = 8;

/// Silence of a replica after which the follow command is sent to it again.
pub const FOLLOW_RETRY_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Longest time that a planned change holds new writes before it starts.
pub const MAX_HOLD: time::Duration = time::Duration::from_millis(500);

/// Greatest lag of a member that may take over in a planned change.
pub const MAX_TARGET_LAG: time::Duration = time::Duration::from_millis(500);

/// Shortest time that a planned change holds new writes. Other instances may also send writes
/// to the primary if their view of the fleet differs; in this time they learn of the change and
/// end those writes.
pub const MIN_HOLD: time::Duration = time::Duration::from_millis(50);

/// Time that running write transactions get to end before a planned change starts.
pub const WRITER_GRACE: time::Duration = time::Duration::from_millis(150);

/// Longest time that the choice waits for the wanted member to be fenced.
pub const MAX_WANTED_WAIT: time::Duration = time::Duration::from_millis(100);

/// Delay before another attempt at a planned change whose target did not catch up.
pub const HOLD_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Phase of a change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Read the leadership: a member reports a newer term, or a call to the store failed.
    Refresh,
    /// Probe a primary that may be lost.
    Suspect,
    /// Start a new term to replace a lost primary.
    Replace,
    /// Fence the members and choose a primary.
    Choose,
    /// Promote the chosen member.
    Promote,
    /// Make the other members follow the primary.
    Follow,
    /// Planned change to another member.
    HandOver,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Member {
    pub(crate) draining: bool,
    pub(crate) reach: detect::Reach,
    pub(crate) report: Option<status::MemberStatus>,
    pub(crate) reported_at: Timestamp,
    /// Earliest time of the next command to the member.
    pub(crate) next_command: Timestamp,
    /// Term and time of this driver's last follow command to the member.
    pub(crate) last_follow: (position::Term, Timestamp),
}

impl Member {
    /// The last report, unless the member has become unreachable since.
    pub(crate) fn live_report(&self) -> Option<&status::MemberStatus> {
        self.report
            .as_ref()
            .filter(|_| self.reach == detect::Reach::Up)
    }

    pub(crate) fn accepts_work(&self) -> bool {
        !self.draining && self.live_report().is_some_and(|s| !s.leaving)
    }
}

/// Drives the changes of one group's primary.
#[derive(Debug, Clone, Default)]
pub struct Change {
    pub(crate) majority: usize,
    pub(crate) members: collections::BTreeMap<name::MemberName, Member>,
    pub(crate) leadership: Option<leadership::Leadership>,
    pub(crate) version: u64,
    pub(crate) precedence: event::Precedence,
    /// Number of write transactions that run through this instance.
    pub(crate) writers: usize,
    /// Newest term that this driver started.
    pub(crate) started_term: position::Term,
    /// Current phase, with its term and start.
    pub(crate) phase: Option<(Phase, position::Term, Timestamp)>,
    /// Start of the last hold of writes; kept for up to
    /// [`HOLD_RETRY_DELAY`] after the end of the hold.
    pub(crate) hold_start: Option<Timestamp>,
    pub(crate) is_holding: bool,
    /// Time of the last change of `writers`.
    pub(crate) writers_changed: Timestamp,
    /// Whether a call to the store has not been answered yet.
    pub(crate) call_pending: bool,
    /// Whether the last call to the store failed, so that the leadership has to be read.
    pub(crate) must_read: bool,
    /// Earliest time of the next call to the store.
    pub(crate) next_call: Timestamp,
}

impl Change {
    /// Applies the declared configuration of the group.
    pub fn apply_spec(&mut self, spec: &spec::GroupSpec) {
        self.majority = spec.majority();
        self.members.retain(|name, _| spec.member(name).is_some());
        for member in &spec.members {
            let known = self.members.entry(member.name.clone()).or_default();
            known.draining = member.draining;
        }
    }

    /// Updates the driver's state with an event.
    pub fn observe(&mut self, now: Timestamp, event: event::Event<'_>) {
        match event {
            event::Event::Leadership {
                leadership,
                version,
            } => self.store_leadership(leadership, version),
            event::Event::Report { member, status } => self.store_report(now, member, status),
            event::Event::Unreachable { member, reach } => self.mark_unreachable(member, reach),
            event::Event::CommandEnded { member, done } => {
                if let Some(member) = self.members.get_mut(member) {
                    let delay = if done {
                        time::Duration::ZERO
                    } else {
                        COMMAND_FAILURE_DELAY
                    };
                    member.next_command = now.after(delay);
                    if !done {
                        member.last_follow = Default::default();
                    }
                }
            }
            event::Event::StoreAnswered => {
                self.call_pending = false;
                self.must_read = false;
            }
            event::Event::StoreFailed => {
                self.call_pending = false;
                self.must_read = true;
                self.next_call = now.after(STORE_RETRY_DELAY);
            }
            event::Event::Precedence(precedence) => self.precedence = precedence,
            event::Event::Writers(writers) if writers == self.writers => {}
            event::Event::Writers(writers) => {
                self.writers = writers;
                self.writers_changed = now;
            }
        }
    }

    fn store_leadership(&mut self, leadership: &leadership::Leadership, version: u64) {
        if self.leadership.is_some() && version <= self.version {
            return;
        }
        if self
            .leadership
            .as_ref()
            .is_some_and(|known| known.term != leadership.term)
        {
            self.hold_start = None;
        }
        self.leadership = Some(leadership.clone());
        self.version = version;
    }

    /// Stores a member's report unless its terms are older than those of the known one, because
    /// reports of one member may arrive out of order.
    fn store_report(
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
        member.reported_at = now;
    }

    fn mark_unreachable(&mut self, member: &name::MemberName, reach: detect::Reach) {
        if let Some(member) = self.members.get_mut(member) {
            member.reach = reach;
            member.report = None;
        }
    }

    /// The primary that accepts writes now; none while a change is in progress.
    pub fn serving_primary(&self) -> Option<(&name::MemberName, position::Term)> {
        let leadership = self.leadership.as_ref()?;
        if self.is_holding {
            return None;
        }
        leadership
            .primary
            .as_ref()
            .map(|primary| (primary, leadership.term))
    }

    /// The primary of the newest known leadership, whether or not it accepts writes now.
    pub fn primary(&self) -> Option<&name::MemberName> {
        self.leadership.as_ref()?.primary.as_ref()
    }

    /// Time at which to poll again without a new event; none while no change is in progress.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        self.phase
            .is_some()
            .then(|| now.after(self.poll_interval(now)))
    }

    /// Time between two polls; it grows with the duration of the phase.
    pub(crate) fn poll_interval(&self, now: Timestamp) -> time::Duration {
        (self.elapsed(now) / POLL_INTERVAL_DIVISOR).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
    }

    /// Time since the start of the current phase.
    pub(crate) fn elapsed(&self, now: Timestamp) -> time::Duration {
        let since = self.phase.map_or(now, |(_, _, since)| since);
        now.since(since)
    }

    /// Determines the phase and returns the commands that are due in it.
    pub fn poll(&mut self, now: Timestamp) -> Vec<event::Command> {
        let Some(leadership) = self.leadership.clone() else {
            return Vec::new();
        };
        let phase = self.next_phase(now, &leadership);
        if phase != Some(Phase::HandOver) {
            self.hold_start = None;
        }
        self.update_hold(now);
        self.phase = match (phase, self.phase) {
            (None, _) => None,
            (Some(new), Some((old, term, since))) if old == new && term == leadership.term => {
                Some((new, term, since))
            }
            (Some(new), _) => Some((new, leadership.term, now)),
        };
        let Some((phase, _, since)) = self.phase else {
            return Vec::new();
        };
        if now < since.after(self.delay(phase, leadership.term)) {
            return self.watch_promotion(now, phase, &leadership);
        }
        match phase {
            Phase::Refresh => self.read_leadership(now),
            Phase::Suspect => self.probe_all(now),
            Phase::Replace => self.start_change(now, &leadership),
            Phase::Choose => self.choose(now, &leadership),
            Phase::Promote => self.promote(now, &leadership),
            Phase::Follow => self.send_follows(now, &leadership),
            Phase::HandOver => self.hand_over(now, &leadership),
        }
    }

    /// Delay before this instance acts in a phase. The instance that started a change continues at
    /// once; the others wait, so that they act only if it has stopped.
    fn delay(&self, phase: Phase, term: position::Term) -> time::Duration {
        match phase {
            Phase::Refresh | Phase::Suspect => time::Duration::ZERO,
            Phase::Replace => START_STAGGER * self.precedence.rank,
            Phase::HandOver if self.precedence.owns_primary => time::Duration::ZERO,
            Phase::HandOver => RESUME_DELAY * (self.precedence.rank + 1),
            Phase::Choose | Phase::Promote | Phase::Follow if self.started_term == term => {
                time::Duration::ZERO
            }
            Phase::Choose | Phase::Promote | Phase::Follow => {
                RESUME_DELAY * (self.precedence.rank + 1)
            }
        }
    }

    fn next_phase(&mut self, now: Timestamp, leadership: &leadership::Leadership) -> Option<Phase> {
        let reports = self.members.values().filter_map(Member::live_report);
        let newest = reports.map(|s| s.term.max(s.fenced)).max();
        if self.must_read || newest.is_some_and(|term| term > leadership.term) {
            return Some(Phase::Refresh);
        }
        let Some(primary) = &leadership.primary else {
            return Some(Phase::Choose);
        };
        if self.is_lost(now, primary, leadership.term) {
            return Some(Phase::Replace);
        }
        let reach = self.members.get(primary).map(|m| m.reach);
        let report = self.members.get(primary).and_then(Member::live_report);
        match report {
            Some(report) if report.is_primary_of(leadership.term) => {
                if self.can_hand_over(leadership, primary) {
                    return Some(Phase::HandOver);
                }
                let all_follow = self.non_followers(leadership.term, primary).is_empty();
                (!all_follow).then_some(Phase::Follow)
            }
            Some(report) if report.fenced == leadership.term && report.term < leadership.term => {
                Some(Phase::Promote)
            }
            Some(_) => Some(Phase::Suspect),
            None => reach
                .is_some_and(detect::Reach::has_failed)
                .then_some(Phase::Suspect),
        }
    }

    fn is_lost(&self, now: Timestamp, primary: &name::MemberName, term: position::Term) -> bool {
        let known = self.members.get(primary).map(|m| m.reach);
        let reach = known.unwrap_or_default();
        let mut witnesses = Vec::new();
        for (name, member) in &self.members {
            let Some(status) = member.live_report().filter(|_| name != primary) else {
                continue;
            };
            if !reach.has_failed() && status.term != term {
                // It doesn't follow this primary yet, so its silence is no evidence.
                continue;
            }
            let age = now.since(member.reported_at);
            witnesses.push(detect::Witness { status, age });
        }
        detect::is_lost(reach, witnesses, self.majority)
    }

    /// The reachable members that don't follow the primary of the term.
    pub(crate) fn non_followers(
        &self,
        term: position::Term,
        primary: &name::MemberName,
    ) -> Vec<name::MemberName> {
        let mut non_followers = Vec::new();
        for (name, member) in &self.members {
            let Some(report) = member.live_report().filter(|_| name != primary) else {
                continue;
            };
            let max_silence = if report.term < term {
                detect::CLOSED_SILENCE
            } else {
                FOLLOW_RETRY_SILENCE
            };
            // A fenced member has stopped following, but its silence is still too short to
            // show that.
            let is_newly_fenced =
                self.started_term == term && report.term < term && member.last_follow.0 < term;
            if is_newly_fenced || report.fenced < term || report.silence >= max_silence {
                non_followers.push(name.clone());
            }
        }
        non_followers
    }
}
