//! A group, its platform and the instances that change its primary.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::record;
use cardamomhold_lead::succession;
use rand::RngExt;
use rand::SeedableRng;

mod members;

/// Length of a step.
const STEP_MS: u64 = 100;

/// Steps with faults; the same number without any follows.
const STEPS: u64 = 400;

/// Time for which a handover waits for its candidate to lead after a call.
const CALL_STEPS: u64 = 40;

/// Latest effect of a call.
const MAX_DELAY_STEPS: u64 = 30;

/// A rule that is disabled, to show that the check detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// The member with the newest position is promoted.
    Prefix,
    /// Each replaced candidate counts as a term that has begun.
    Reported,
    /// The members that answer are enough, whatever the others may hold.
    Durability,
}

/// A handover of one instance.
#[derive(Debug, Default)]
struct Handover {
    begun: u64,
    /// The candidate that it found in the record.
    inherited: Option<name::MemberName>,
    tried: Vec<name::MemberName>,
    waiting: Option<u64>,
    /// When the last call was sent.
    called: Option<u64>,
    /// The last answers, which stay valid while a member is silent.
    answers: collections::BTreeMap<name::MemberName, candidate::Status>,
}

pub struct World {
    random: rand_pcg::Pcg64,
    disabled: Disabled,
    /// Whether positions have the term of the member, or that of its last commit.
    has_member_terms: bool,
    now: u64,
    members: Vec<members::Member>,
    record: succession::Succession,
    handover: Option<Handover>,
    /// Promotions on their way: when they take effect, and the member.
    calls: Vec<(u64, usize)>,
    order: Option<succession::Order>,
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: usize,
    next_id: u64,
    /// Commits that wait for the replicas.
    pending: Vec<u64>,
    acked: Vec<u64>,
    abandoned: collections::BTreeSet<u64>,
    pub violations: u64,
    /// Acknowledged commits that a promoted member lacks, with synchronous replicas.
    pub lost: usize,
    /// Acknowledged commits that the member with the newest term lacks at the end of a history, with
    /// synchronous replicas: the others are rolled back to its log.
    pub rolled_back: usize,
}

fn member_name(index: usize) -> name::MemberName {
    name::MemberName::parse(&format!("m-{index}")).unwrap()
}

fn index_of(name: &name::MemberName) -> usize {
    name.as_str()[2..].parse().unwrap()
}

impl World {
    /// A group whose commits are acknowledged once `sync_replicas` replicas have received them.
    pub fn new(seed: u64, disabled: Disabled, sync_replicas: usize) -> Self {
        let count = if seed.is_multiple_of(2) { 3 } else { 5 };
        let mut members = vec![members::Member::default(); count];
        for member in &mut members {
            member.term = 1;
        }
        members[0].is_primary = true;
        let group = name::GroupName::parse("grp").unwrap();
        let first = record::Leadership::first(&group, &member_name(0), position::Term(1));
        Self {
            random: rand_pcg::Pcg64::seed_from_u64(seed),
            disabled,
            has_member_terms: seed.is_multiple_of(3),
            now: 0,
            members,
            record: succession::Succession::first(first),
            handover: None,
            calls: Vec::new(),
            order: None,
            sync_replicas,
            next_id: 0,
            pending: Vec::new(),
            acked: Vec::new(),
            abandoned: collections::BTreeSet::new(),
            violations: 0,
            lost: 0,
            rolled_back: 0,
        }
    }

    fn has_chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Begins a handover when the recorded primary can't be used; now and then another instance
    /// continues it.
    fn detect(&mut self, has_faults: bool) {
        let is_failing = self.record.leadership.primary.as_ref().is_none_or(|p| {
            let member = &self.members[index_of(p)];
            member.is_down || member.is_cut || member.is_leaving || !member.is_primary
        });
        let is_ended = has_faults && self.has_chance(1);
        if is_failing && (self.handover.is_none() || is_ended) {
            if self.record.leadership.primary.is_some() {
                self.record = self.record.ended();
                // Their callers are told nothing any more.
                self.pending.clear();
            }
            self.record = self
                .record
                .with_holders(self.sync_replicas, &self.holders());
            self.handover = Some(Handover {
                begun: self.now,
                inherited: self.record.leadership.candidate.clone(),
                ..Handover::default()
            });
        }
    }

    fn complete(
        &mut self,
        mut handover: Handover,
        member: &name::MemberName,
        status: candidate::Status,
    ) {
        let promoted = candidate::Candidate {
            name: member,
            status,
        };
        self.give_up_commits(index_of(member));
        if self.sync_replicas > 0 && self.members[index_of(member)].is_leaving {
            let inherited = handover.inherited.as_ref();
            self.record = self.record.with_interim(promoted, inherited);
            handover.tried.clear();
            (handover.waiting, handover.called) = (None, None);
            self.handover = Some(handover);
            return;
        }
        self.record = self.record.with_primary(promoted);
        self.handover = None;
    }

    /// The commits that an accepted member lacks are given up, acknowledged or not; it must not have
    /// any that was given up before.
    fn give_up_commits(&mut self, accepted: usize) {
        let log = &self.members[accepted].log;
        let held: collections::BTreeSet<u64> = log.iter().map(|(_, id)| *id).collect();
        if held.intersection(&self.abandoned).next().is_some() {
            self.violations += 1;
        }
        let missing = (0..self.next_id).filter(|id| !held.contains(id));
        self.abandoned.extend(missing);
    }

    fn hand_over(&mut self, has_faults: bool) {
        let Some(mut handover) = self.handover.take() else {
            return;
        };
        let span = |since: u64| time::Duration::from_millis((self.now - since) * STEP_MS);
        let waited = handover.waiting.map_or(time::Duration::ZERO, span);
        let running = span(handover.begun);
        let mut names = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            let name = member_name(index);
            let is_former = self.record.leadership.former.as_ref() == Some(&name);
            let is_asked = match self.sync_replicas {
                0 => !member.is_leaving && (!is_former || self.record.needs_former(waited)),
                _ => true,
            };
            if !member.is_down && !member.is_cut && is_asked {
                let status = self.status(index);
                handover.answers.insert(name.clone(), status);
                names.push((name, status));
            }
        }
        let candidates: Vec<_> = names
            .iter()
            .map(|(name, status)| candidate::Candidate {
                name,
                status: *status,
            })
            .collect();
        let progress = succession::Progress {
            members: self.members.len(),
            tried: &handover.tried,
            waited,
            running,
            inherited: handover.inherited.as_ref(),
            order: self.order.as_ref(),
            leaving: &self.leaving(),
            requirement: self.requirement(&handover.answers),
        };
        let mut step = self.record.step(&candidates, progress);
        if self.disabled == Disabled::Prefix {
            step = self.step_without_rule(&candidates, &handover.tried);
        }
        let best = match step {
            succession::Step::Complete(promoted) => {
                return self.complete(handover, promoted.name, promoted.status);
            }
            succession::Step::GiveUp => return,
            succession::Step::Promote(best) => best,
            succession::Step::Retry => {
                handover.tried.clear();
                handover.waiting.get_or_insert(self.now);
                self.handover = Some(handover);
                return;
            }
            succession::Step::Wait => {
                handover.waiting.get_or_insert(self.now);
                self.demote_superseded(&names);
                self.handover = Some(handover);
                return;
            }
        };
        let index = index_of(best.name);
        if let Some(called) = handover.called {
            // The last call was lost: its effect is waited for.
            if self.now < called + CALL_STEPS {
                self.handover = Some(handover);
                return;
            }
            handover.called = None;
            handover
                .tried
                .extend(self.record.leadership.candidate.clone());
            self.handover = Some(handover);
            return;
        }
        if !self.record.has_candidate(best.name, self.order.as_ref()) {
            let reported = candidates.iter().map(|c| c.status.term).max().unwrap();
            let order = self.order.as_ref();
            let requirement = progress.requirement;
            let next = self
                .record
                .with_candidate(best, reported, order, requirement);
            let before = std::mem::replace(&mut self.record, next).leadership;
            if self.disabled == Disabled::Reported && before.candidate.is_some() {
                self.record.leadership.term = before.term.next().max(reported);
            }
        }
        let member = best.name.clone();
        if best.status.role == candidate::Role::Primary {
            self.members[index].is_primary &=
                self.members[index].term >= self.record.leadership.term.next().0;
        }
        match self.random.random_range(0..if has_faults { 6 } else { 2 }) {
            0 | 1 => self.calls.push((self.now + 1, index)),
            // Lost, with or without effect.
            2 => {}
            3 => {
                let delay = self.random.random_range(1..MAX_DELAY_STEPS);
                self.calls.push((self.now + delay, index));
            }
            // Refused.
            _ => {
                handover.tried.push(member);
                self.handover = Some(handover);
                return;
            }
        }
        handover.called = Some(self.now);
        self.handover = Some(handover);
    }

    fn leaving(&self) -> Vec<name::MemberName> {
        let members = self.members.iter().enumerate();
        let leaving = members.filter(|(_, member)| member.is_leaving);
        leaving.map(|(index, _)| member_name(index)).collect()
    }

    /// All members: one that is replaced has a successor with its log at its address.
    fn holders(&self) -> Vec<durability::Holder> {
        let address = |index: usize| net::SocketAddr::from(([127, 0, 0, 1], index as u16 + 1));
        let members = 0..self.members.len();
        let holders = members.map(|index| durability::Holder {
            member: member_name(index),
            address: address(index),
        });
        holders.collect()
    }

    fn requirement(
        &self,
        answers: &collections::BTreeMap<name::MemberName, candidate::Status>,
    ) -> durability::Requirement {
        if self.disabled == Disabled::Durability {
            return durability::Requirement::Nothing;
        }
        let answers: Vec<_> = answers
            .iter()
            .map(|(name, status)| candidate::Candidate {
                name,
                status: *status,
            })
            .collect();
        let shown = self.record.answers(&answers);
        shown.requirement(&self.record.durability)
    }

    /// The member with the newest position is promoted, and leads whatever it holds.
    fn step_without_rule<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        tried: &[name::MemberName],
    ) -> succession::Step<'a> {
        let leadership = &self.record.leadership;
        let chosen = leadership.candidate.as_ref();
        if let Some(promoted) = candidate::promoted(candidates, chosen, leadership.term) {
            return succession::Step::Complete(promoted);
        }
        let best = candidate::choose(candidates, leadership.former.as_ref(), tried);
        best.map_or(succession::Step::Retry, succession::Step::Promote)
    }

    fn demote_superseded(&mut self, statuses: &[(name::MemberName, candidate::Status)]) {
        for (name, status) in statuses {
            if self.record.is_superseded(status) {
                self.members[index_of(name)].is_primary = false;
            }
        }
    }

    fn step(&mut self, has_faults: bool) {
        self.now += 1;
        if has_faults && self.has_chance(12) {
            self.disturb();
        }
        self.take_effect();
        if self.has_chance(60) {
            self.commit();
        }
        if self.has_chance(60) {
            self.replicate();
        }
        self.detect(has_faults);
        self.hand_over(has_faults);
    }

    fn has_primary(&self) -> bool {
        let primary = self.record.leadership.primary.as_ref();
        primary.is_some_and(|p| self.members[index_of(p)].is_primary)
    }

    /// The member that leads the newest term.
    fn leader(&self) -> usize {
        let newest = self.newest();
        self.members.iter().position(|m| m.term == newest).unwrap()
    }

    /// Whether an operator has to decide: the platform has given the lead to a member with abandoned
    /// commits, as it received them after its choice or was promoted late, and the others follow
    /// it. With terms of members in the positions nobody can tell.
    pub fn needs_order(&self) -> bool {
        let log = &self.members[self.leader()].log;
        let holds_abandoned = log.iter().any(|(_, id)| self.abandoned.contains(id));
        self.has_member_terms || holds_abandoned
    }

    /// Runs a history; returns whether the group has a primary in the end.
    pub fn run(&mut self) -> bool {
        for _ in 0..STEPS {
            self.step(true);
        }
        for member in &mut self.members {
            (member.is_down, member.is_cut, member.is_deaf) = (false, false, false);
            member.is_leaving = false;
        }
        for _ in 0..STEPS {
            self.step(false);
        }
        self.rolled_back += self.lacks_acked(self.leader());
        self.has_primary()
    }

    /// An operator orders the promotion of the member that leads the newest term.
    pub fn run_with_order(&mut self) -> bool {
        let index = self.leader();
        self.order = Some(succession::Order {
            group: self.record.leadership.group.clone(),
            change: self.record.leadership.change,
            member: member_name(index),
        });
        for _ in 0..STEPS {
            self.step(false);
        }
        self.has_primary()
    }
}
