//! The aggregate of a change of primary: a group's leadership with the history of its terms, as it
//! is stored, and the next step of the change.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;

use crate::candidate;
use crate::history;
use crate::record;

/// Time without a member to promote after which the former primary may be promoted again, if most
/// of the members answer. An instance that is cut off together with the former primary would go on
/// promoting it, while others could promote a replica.
pub const FORMER_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time without a member to promote after which a handover ends. The next one reads the members
/// and the operator's orders again.
pub const ELIGIBLE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

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
        let eligible = self.eligible(candidates);
        let former = leadership.former.as_ref();
        let has_majority = candidates.len() * 2 > progress.members;
        let may_return = has_majority && progress.waited >= FORMER_DELAY;
        let best = candidate::choose(&eligible, former, progress.tried).or_else(|| {
            let returned = may_return.then_some(&eligible)?;
            candidate::choose(returned, None, progress.tried)
        });
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
        if !progress.tried.is_empty() {
            return Step::Retry;
        }
        match progress.waited < ELIGIBLE_TIMEOUT {
            true => Step::Wait,
            false => Step::GiveUp,
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
    /// member has reported.
    pub fn with_candidate(
        &self,
        chosen: candidate::Candidate<'_>,
        reported: position::Term,
        order: Option<&Order>,
    ) -> Self {
        let is_ordered = order.is_some_and(|o| self.is_for(o, chosen.name));
        let history = self.known_history();
        Self {
            leadership: self.leadership.with_candidate(chosen.name, reported),
            history: history.map(|h| h.with_call(&chosen.status, is_ordered)),
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
        }
    }
}
