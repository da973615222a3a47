//! Chooses the member for a read by its expected finish, and bounds its wait there.
//!
//! Load pattern: in a fleet of 134 instances each one sends a member less than one statement a
//! second, so what it knows of the member's load has expired before its next read. In a burst the
//! reads of a zone then queue at its replica while another one is idle. So a read names the wait
//! beyond which another member is expected to finish it earlier. The member's owner, which knows
//! its whole load, refuses the read at once when it would wait longer, and its report tells the
//! instance what the other members compete with. Each member turns a read away once at most.

use std::time;

/// Added cost of a further attempt at another member, in microseconds: a round trip between zones
/// and the inaccuracy of the expected waits.
const MOVE_COST_US: f64 = 10_000.0;

/// A member that can serve a read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index of the member in its group.
    pub index: usize,
    /// Expected time until it has served the read, in microseconds.
    pub cost_us: f64,
    /// Its last known wait, which is part of the cost, in microseconds.
    pub wait_us: f64,
    /// Whether its owner has turned the read away already.
    pub was_asked: bool,
}

/// The chosen member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its index in the group.
    pub index: usize,
    /// Wait beyond which another member is expected to finish the read earlier; none if the read
    /// should wait there in any case.
    pub max_wait: Option<time::Duration>,
}

/// The candidate that is expected to finish the read first; none if there is no candidate.
pub fn choose(candidates: &[Candidate]) -> Option<Choice> {
    let by_cost = |a: &&Candidate, b: &&Candidate| a.cost_us.total_cmp(&b.cost_us);
    let best = candidates.iter().min_by(by_cost)?;
    let others = candidates.iter().filter(|c| c.index != best.index);
    let next = others.min_by(by_cost).filter(|_| !best.was_asked);
    let max_wait_us = next.map(|n| n.cost_us + MOVE_COST_US - (best.cost_us - best.wait_us));
    Some(Choice {
        index: best.index,
        max_wait: max_wait_us.map(|us| time::Duration::from_micros(us as u64)),
    })
}
