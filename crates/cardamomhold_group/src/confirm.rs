//! Confirmation of commits by a majority of the members.
//!
//! A commit is acknowledged only once a majority of the members, the primary
//! among them, hold its log position in the current term. A promotion first
//! fences a majority; both sets share a member, so a replaced primary gets no
//! further confirmation. This doesn't depend on clocks.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;

use crate::status;

/// The members' latest reports, from which confirmed positions are determined.
#[derive(Debug, Clone)]
pub struct Confirmations {
    majority: usize,
    reports: collections::BTreeMap<name::MemberName, status::MemberStatus>,
}

impl Confirmations {
    /// Creates an empty set of reports for a group with this majority.
    pub fn new(majority: usize) -> Self {
        Self {
            majority,
            reports: collections::BTreeMap::new(),
        }
    }

    /// Stores a member's report unless a later one is already known.
    ///
    /// Reports are ordered by fence, term and log end, because a member keeps the log that it held
    /// in a term until it is fenced at a later term.
    pub fn observe(&mut self, member: &name::MemberName, report: &status::MemberStatus) {
        let order_key = |r: &status::MemberStatus| (r.fenced, r.term, r.received);
        let known = self.reports.get(member);
        if known.is_some_and(|known| order_key(report) < order_key(known)) {
            return;
        }
        self.reports.insert(member.clone(), report.clone());
    }

    /// Raises the log end in the primary's report to a position that the primary itself holds, if
    /// the position is of the report's term.
    pub fn record_position(&mut self, member: &name::MemberName, position: position::Position) {
        let Some(report) = self.reports.get_mut(member) else {
            return;
        };
        if report.term == position.term {
            report.received = report.received.max(position.log);
        }
    }

    /// The member's latest report.
    pub fn report(&self, member: &str) -> Option<&status::MemberStatus> {
        self.reports.get(member)
    }

    /// Sets the majority and drops the reports of members that left the group.
    pub fn set_members(&mut self, majority: usize, members: &[name::MemberName]) {
        self.majority = majority;
        self.reports.retain(|name, _| members.contains(name));
    }

    /// Whether a majority holds `position` in its term.
    pub fn is_confirmed(&self, position: position::Position) -> bool {
        let holders = self
            .reports
            .values()
            .filter(|r| r.confirms(position))
            .count();
        holders >= self.majority
    }

    /// The newest term in any report; commits of older terms can't be confirmed.
    pub fn newest_term(&self) -> position::Term {
        let terms = self.reports.values().map(|r| r.term.max(r.fenced));
        terms.max().unwrap_or_default()
    }
}
