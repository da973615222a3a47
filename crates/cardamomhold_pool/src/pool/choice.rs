//! Which members can serve a request, with their costs.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::placement;
use crate::pool::Pool;
use crate::wait_queue;

/// Usual replication delay; a read that depends on a younger commit of its session goes to
/// the primary unless a replica has reported the commit's position.
const REPLICATION_DELAY: time::Duration = time::Duration::from_millis(150);

/// Added cost of a read at the primary, in microseconds: only the primary can run writes.
const PRIMARY_READ_COST_US: f64 = 40_000.0;

/// The position that a read requires.
#[derive(Debug, Clone, Copy)]
struct Needed {
    position: position::Position,
    /// Whether it is a commit so recent that only a replica that has reported it is chosen.
    is_recent: bool,
}

impl<L> Pool<L> {
    /// The member for a request, and the position that the member must have reached.
    pub(super) fn choose_member(
        &self,
        now: Timestamp,
        request: &wait_queue::Request,
        is_leased: bool,
    ) -> Option<(placement::Choice, Option<position::Position>)> {
        let primary = self.available_primary(now, is_leased);
        let at_primary = primary.map(|index| placement::Choice {
            index,
            max_wait: None,
        });
        let wait_queue::Requirement::Read {
            staleness,
            own_commit,
        } = &request.requirement
        else {
            return Some((at_primary?, None));
        };
        let needed = self.needed_position(now, *staleness, *own_commit);
        let mut candidates = needed.map_or(Vec::new(), |n| self.replicas(now, request, n));
        if candidates.is_empty() {
            return Some((at_primary?, None));
        }
        let relief = primary.map(|index| self.candidate(now, request, index));
        candidates.extend(relief.filter(|c| !self.is_avoided(request, c.index)));
        let mut choice = placement::choose(&candidates)?;
        if request.grant.is_none() {
            // Without workspaces, owners are sent what former releases can read.
            choice.max_wait = None;
        }
        let after = needed.filter(|_| !self.is_primary(choice.index));
        Some((choice, after.map(|n| n.position)))
    }

    fn is_avoided(&self, request: &wait_queue::Request, index: usize) -> bool {
        request.avoid.contains(&self.members[index].name)
    }

    fn candidate(
        &self,
        now: Timestamp,
        request: &wait_queue::Request,
        index: usize,
    ) -> placement::Candidate {
        let member = &self.members[index];
        let primary_cost_us = match self.is_primary(index) {
            true => PRIMARY_READ_COST_US,
            false => 0.0,
        };
        placement::Candidate {
            index,
            cost_us: member.cost_us(now, request.rank) + primary_cost_us,
            wait_us: member.load.wait_us(now, request.rank),
            was_asked: request.asked.contains(&member.name),
        }
    }

    fn available_primary(&self, now: Timestamp, is_leased: bool) -> Option<usize> {
        if !is_leased {
            return None;
        }
        let index = (0..self.members.len()).find(|index| self.is_primary(*index))?;
        let member = &self.members[index];
        // `is_ready` isn't checked: there is no other primary.
        member.has_capacity(now).then_some(index)
    }

    /// The position that a replica must have reached for a read; none without a recent sample.
    fn needed_position(
        &self,
        now: Timestamp,
        staleness: time::Duration,
        own_commit: Option<(position::Position, Timestamp)>,
    ) -> Option<Needed> {
        let position = self.samples.required_position(now, staleness)?;
        let Some((own, committed)) = own_commit.filter(|(own, _)| *own >= position) else {
            return Some(Needed {
                position,
                is_recent: false,
            });
        };
        Some(Needed {
            position: own,
            is_recent: now.since(committed) < REPLICATION_DELAY,
        })
    }

    /// The replicas that can serve a read.
    fn replicas(
        &self,
        now: Timestamp,
        request: &wait_queue::Request,
        needed: Needed,
    ) -> Vec<placement::Candidate> {
        let mut candidates = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if !member.is_ready || self.is_primary(index) {
                continue;
            }
            if !member.has_capacity(now) || self.is_avoided(request, index) {
                continue;
            }
            if !member.may_have_reached(now, needed.position) {
                continue;
            }
            if needed.is_recent && !member.has_reached(needed.position) {
                continue;
            }
            candidates.push(self.candidate(now, request, index));
        }
        candidates
    }
}
