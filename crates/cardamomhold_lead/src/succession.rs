//! The aggregate of a change of primary: a group's leadership with the history of its terms, as it
//! is stored, and the next step of the change.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;

use crate::candidate;
use crate::durability;
use crate::history;
use crate::record;

/// Time without a member to promote after which the former primary may be promoted again, if most
/// of the members answer. An instance that is cut off together with the former primary would go on
/// promoting it, while others could promote a replica.
pub const FORMER_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time without a member to promote after which a handover ends. The next one reads the members
/// and the operator's orders again.
pub const ELIGIBLE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time without a member to promote after which one that is leaving may be, if it alone has the log.
/// Commits on their way to other replicas arrive before, which saves a second promotion.
pub const LEAVING_DELAY: time::Duration = time::Duration::from_millis(200);

/// How long a promotion call may take until its effect shows.
pub const EFFECT_TIMEOUT: time::Duration = time::Duration::from_millis(4_000);

/// A group's leadership as it is stored. Instances receive the leadership only.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Succession {
    /// The leadership.
    #[serde(flatten)]
    pub leadership: record::Leadership,
    /// History of the terms; absent in records of the former format.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<history::TermHistory>,
    /// Synchronous replication; absent without it.
    #[serde(
        default,
        skip_serializing_if = "durability::Durability::is_asynchronous"
    )]
    pub durability: durability::Durability,
}

/// An operator's order to promote a member although it holds abandoned commits.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The group.
    pub group: name::GroupName,
    /// Change number of the leadership that the order is for.
    pub change: u64,
    /// The member.
    pub member: name::MemberName,
}

/// What a handover has tried so far.
#[derive(Debug, Clone, Copy)]
pub struct Progress<'a> {
    /// Number of the group's members, whether or not they answer.
    pub members: usize,
    /// Members that could not be promoted.
    pub tried: &'a [name::MemberName],
    /// Time since no member could be promoted.
    pub waited: time::Duration,
    /// Time since this instance began the handover.
    pub running: time::Duration,
    /// The candidate that it found in the record then.
    pub inherited: Option<&'a name::MemberName>,
    /// The operator's order for the group.
    pub order: Option<&'a Order>,
    /// Members that are leaving.
    pub leaving: &'a [name::MemberName],
    /// The log that a new primary must have.
    pub requirement: durability::Requirement,
}

/// Next step of a change of primary.
#[derive(Debug, Clone, Copy)]
pub enum Step<'a> {
    /// The present candidate leads the next term.
    Complete(candidate::Candidate<'a>),
    /// Promote this member.
    Promote(candidate::Candidate<'a>),
    /// Try the members again that could not be promoted.
    Retry,
    /// Wait for a member that may be promoted.
    Wait,
    /// End the handover.
    GiveUp,
}

impl Succession {
    /// Returns the first leadership of a group.
    pub fn first(leadership: record::Leadership) -> Self {
        let history = Some(history::TermHistory::new(leadership.term));
        Self {
            leadership,
            history,
            durability: durability::Durability::default(),
        }
    }

    /// History of the terms; none when it can't be told: the former format raises the term for
    /// each replaced candidate, so that it may not have begun. Otherwise a record of that format
    /// names a term whose log is the group's.
    fn known_history(&self) -> Option<history::TermHistory> {
        let leadership = &self.leadership;
        let is_settled = leadership.primary.is_some() || leadership.candidate.is_none();
        let settled = is_settled.then(|| history::TermHistory::new(leadership.term));
        self.history.clone().or(settled)
    }

    /// Whether a member may be promoted: its log is a prefix of the newest term's log. Without a
    /// history only members with positions of the newest term may.
    fn eligible<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
    ) -> Vec<candidate::Candidate<'a>> {
        let history = self.known_history();
        let newest = candidates.iter().map(|c| c.status.received.term).max();
        let mut eligible = Vec::new();
        for candidate in candidates {
            let is_eligible = match &history {
                Some(history) => history.is_prefix(&candidate.status),
                None => Some(candidate.status.received.term) == newest,
            };
            if is_eligible {
                eligible.push(*candidate);
            }
        }
        eligible
    }

    /// Whether a member that reports the primary role is to be demoted, so that it follows the
    /// newest primary, which rolls it back.
    pub fn is_superseded(&self, status: &candidate::Status) -> bool {
        let history = self.known_history();
        status.role == candidate::Role::Primary
            && status.term < self.leadership.term
            && history.is_some_and(|h| !h.is_prefix(status))
    }

    /// Whether the former primary's status is needed: it may be promoted again, or is being so.
    pub fn needs_former(&self, waited: time::Duration) -> bool {
        let is_candidate = self.leadership.candidate == self.leadership.former;
        waited >= FORMER_DELAY || is_candidate
    }

    /// Returns the next step, with the members that have answered.
    pub fn step<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        progress: Progress<'_>,
    ) -> Step<'a> {
        let leadership = &self.leadership;
        let chosen = leadership.candidate.as_ref();
        let promoted = candidate::promoted(candidates, chosen, leadership.term)
            .filter(|p| self.may_lead(&p.status));
        if let Some(promoted) = promoted {
            return Step::Complete(promoted);
        }
        if let Some(ordered) = self.ordered(candidates, progress) {
            return Step::Promote(ordered);
        }
        let best = self.successor(candidates, progress);
        let best = best.or_else(|| self.interim(candidates, progress));
        if let Some(best) = best {
            // Another instance may have sent a call for this candidate a moment ago. If that took
            // effect after the next one's, the member that is promoted now would be replaced.
            let is_replaced = chosen.is_some_and(|c| c != best.name);
            let is_open = is_replaced && chosen == progress.inherited;
            return match is_open && progress.running < EFFECT_TIMEOUT {
                true => Step::Wait,
                false => Step::Promote(best),
            };
        }
        let is_asynchronous = self.durability.is_asynchronous();
        match progress.waited < ELIGIBLE_TIMEOUT {
            // A list of members that is read again may have the one with the log.
            is_early if !progress.tried.is_empty() && (is_early || is_asynchronous) => Step::Retry,
            true => Step::Wait,
            false => Step::GiveUp,
        }
    }

    /// The member to promote that stays in the group. The former primary may be promoted again after
    /// some time.
    pub fn successor<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        progress: Progress<'_>,
    ) -> Option<candidate::Candidate<'a>> {
        let mut staying = self.sufficient(candidates, progress);
        staying.retain(|c| !progress.leaving.contains(c.name));
        self.choose(&staying, candidates.len(), progress)
    }

    /// The leaving member to promote for as long as another one needs to receive its log, if no
    /// member that stays has it and no primary is there from which one could receive it.
    fn interim<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        progress: Progress<'_>,
    ) -> Option<candidate::Candidate<'a>> {
        let has_source = candidates.iter().any(|c| self.is_source(c));
        if self.durability.is_asynchronous() || has_source || progress.waited < LEAVING_DELAY {
            return None;
        }
        let sufficient = self.sufficient(candidates, progress);
        self.choose(&sufficient, candidates.len(), progress)
    }

    /// Whether a member is the former primary and still leads, so that the replicas follow it.
    fn is_source(&self, candidate: &candidate::Candidate<'_>) -> bool {
        let is_former = self.leadership.former.as_ref() == Some(candidate.name);
        let status = candidate.status;
        is_former && status.role == candidate::Role::Primary && status.term >= self.leadership.term
    }

    /// The eligible members that have each acknowledged commit.
    fn sufficient<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        progress: Progress<'_>,
    ) -> Vec<candidate::Candidate<'a>> {
        let mut sufficient = self.eligible(candidates);
        sufficient.retain(|c| progress.requirement.is_met(c.status.received.log));
        sufficient
    }

    /// The one with the newest log; `answered` is the number of members that have answered.
    fn choose<'a>(
        &self,
        eligible: &[candidate::Candidate<'a>],
        answered: usize,
        progress: Progress<'_>,
    ) -> Option<candidate::Candidate<'a>> {
        let former = self.leadership.former.as_ref();
        let has_majority = answered * 2 > progress.members;
        let may_return = has_majority && progress.waited >= FORMER_DELAY;
        candidate::choose(eligible, former, progress.tried).or_else(|| {
            let returned = may_return.then_some(eligible)?;
            candidate::choose(returned, None, progress.tried)
        })
    }

    /// What the members' answers show about the log that a new primary must have. The answers must
    /// have been asked for after the last commit of the former primary was acknowledged.
    pub fn answers<'a>(&'a self, answers: &[candidate::Candidate<'_>]) -> durability::Answers<'a> {
        let former = self.leadership.former.as_ref();
        let mut shown = durability::Answers::default();
        for holder in &self.durability.holders {
            let answer = answers.iter().find(|c| *c.name == holder.member);
            if former == Some(&holder.member) {
                shown.former = answer.map(|c| c.status.received.log);
                continue;
            }
            match answer.and_then(|c| self.prefix_len(&c.status)) {
                Some(log) => shown.replicas.push(log),
                None => shown.silent.push(&holder.member),
            }
        }
        shown
    }

    /// Length of a member's log that is a prefix of the newest term's log; none if that can't be
    /// told.
    fn prefix_len(&self, status: &candidate::Status) -> Option<position::LogPosition> {
        match self.known_history() {
            Some(history) => history.prefix_len(status),
            None => (status.received.term >= self.leadership.term).then_some(status.received.log),
        }
    }

    /// The member whose promotion an operator has ordered, if it answers.
    fn ordered<'a>(
        &self,
        candidates: &[candidate::Candidate<'a>],
        progress: Progress<'_>,
    ) -> Option<candidate::Candidate<'a>> {
        let order = progress
            .order
            .filter(|o| o.change == self.leadership.change);
        let chosen = self.leadership.candidate.as_ref();
        let is_ordered = self.history.as_ref().is_some_and(|h| h.is_ordered());
        let member = order.map(|o| &o.member).or(chosen.filter(|_| is_ordered))?;
        let untried = !progress.tried.contains(member);
        let mut candidates = candidates.iter().filter(|_| untried);
        candidates.find(|c| c.name == member).copied()
    }

    /// Whether the promoted candidate may lead, by its status after the promotion.
    pub fn may_lead(&self, promoted: &candidate::Status) -> bool {
        let history = self.history.as_ref();
        history.is_none_or(|h| h.may_lead(promoted))
    }

    /// Returns the record that ends the current leadership.
    pub fn ended(&self) -> Self {
        Self {
            leadership: self.leadership.ended(),
            history: self.known_history().map(|h| h.without_call()),
            durability: self.durability.clone(),
        }
    }

    /// Returns the record of a change in progress with the group's synchronous replication and the
    /// members that an instance knows.
    pub fn with_holders(&self, sync_replicas: usize, known: &[durability::Holder]) -> Self {
        Self {
            durability: self.durability.changing(sync_replicas, known),
            ..self.clone()
        }
    }

    /// Whether the record names a member as the one to promote, with the order for it if there is
    /// one.
    pub fn has_candidate(&self, member: &name::MemberName, order: Option<&Order>) -> bool {
        let is_ordered = self.history.as_ref().is_some_and(|h| h.is_ordered());
        let has_order = is_ordered || order.is_none_or(|o| !self.is_for(o, member));
        self.leadership.candidate.as_ref() == Some(member) && has_order
    }

    /// Whether an order is for this change of primary and this member.
    fn is_for(&self, order: &Order, member: &name::MemberName) -> bool {
        order.change == self.leadership.change && order.member == *member
    }

    /// Returns the record with the member to promote; `reported` is the newest term that any
    /// member has reported, `requirement` the log by which it was chosen.
    pub fn with_candidate(
        &self,
        chosen: candidate::Candidate<'_>,
        reported: position::Term,
        order: Option<&Order>,
        requirement: durability::Requirement,
    ) -> Self {
        let is_ordered = order.is_some_and(|o| self.is_for(o, chosen.name));
        let history = self.known_history();
        Self {
            leadership: self.leadership.with_candidate(chosen.name, reported),
            history: history.map(|h| h.with_call(&chosen.status, is_ordered)),
            durability: durability::Durability {
                required: requirement.log().or(self.durability.required),
                ..self.durability.clone()
            },
        }
    }

    /// Returns the record with the new primary.
    pub fn with_primary(&self, promoted: candidate::Candidate<'_>) -> Self {
        let term = promoted.status.term;
        let history = match &self.history {
            Some(history) => history.with_beginning(&promoted.status),
            None => history::TermHistory::new(term),
        };
        Self {
            leadership: self.leadership.with_primary(promoted.name, term),
            history: Some(history),
            durability: self.durability.settled(),
        }
    }

    /// Returns the record with a leaving member that was promoted for the time until another one has
    /// its log. No instance uses it: the change of primary goes on. If another instance had chosen it
    /// before, as `inherited` tells, it remains the candidate, as a call of that one may still arrive
    /// and promote it again.
    pub fn with_interim(
        &self,
        promoted: candidate::Candidate<'_>,
        inherited: Option<&name::MemberName>,
    ) -> Self {
        let mut next = self.with_primary(promoted).ended();
        next.leadership.candidate = inherited.filter(|i| *i == promoted.name).cloned();
        // Nothing is acknowledged in its term.
        let log = promoted.status.received.log;
        let required = self.durability.required.map_or(log, |r| r.min(log));
        next.durability = durability::Durability {
            required: Some(required),
            ..self.durability.clone()
        };
        next
    }
}
