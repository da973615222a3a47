//! Jobs that will miss their targets are set aside, and refused when they get no service.

use std::collections;

use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;

use crate::job;
use crate::queue::Decision;
use crate::queue::Queue;
use crate::queue::Waiting;

impl Queue {
    /// Checks that another late job of the rank may wait.
    pub(super) fn check_late_room(
        &self,
        now: Timestamp,
        rank: rank::Rank,
    ) -> Result<(), outcome::Refusal> {
        let index = rank.index();
        let queue = &self.ranks[index];
        if queue.late.jobs.len() >= self.limits.ranks[index].max_waiting {
            return Err(outcome::Refusal::QueueFull);
        }
        match queue.accepts_late(now) {
            true => Ok(()),
            false => Err(outcome::Refusal::DeadlineUnmet),
        }
    }

    /// Moves the jobs that will miss their targets to the late ones; refuses those that would
    /// miss their deadlines there.
    pub(super) fn set_late_aside(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        for rank in rank::Rank::ALL {
            self.refuse_starved(now, rank, decisions);
            while let Some(id) = self.next_late(now, rank) {
                let Some(job) = self.remove(id) else {
                    break;
                };
                let room = match self.can_meet_late(now, &job) {
                    true => self.check_late_room(now, job.rank),
                    false => Err(outcome::Refusal::DeadlineUnmet),
                };
                match room {
                    Ok(()) => self.push(now, job, true),
                    Err(reason) => {
                        let refused = self.refused(now, job.rank, reason);
                        decisions.push(Decision::Refuse(id, refused));
                    }
                }
            }
        }
    }

    /// Refuses the late jobs of a rank when other jobs take all of the endpoint's time.
    fn refuse_starved(&mut self, now: Timestamp, rank: rank::Rank, decisions: &mut Vec<Decision>) {
        if !self.ranks[rank.index()].close_if_starved(now) {
            return;
        }
        let is_late = |w: &&Waiting| w.rank == rank && w.place.is_late;
        let late = self.waiting.iter().filter(|(_, w)| is_late(w));
        let late: collections::BTreeSet<_> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.refuse(now, id, outcome::Refusal::DeadlineUnmet, decisions);
        }
    }

    /// A job that will miss its target: the oldest one if it would even when it started now, or
    /// else the newest one if the jobs before it take too long.
    fn next_late(&self, now: Timestamp, rank: rank::Rank) -> Option<job::JobId> {
        let queue = &self.ranks[rank.index()];
        let (target, id) = queue.oldest()?;
        if now.after(queue.service_time()) > target {
            return Some(id);
        }
        let ahead = queue.on_time.jobs.len() - 1;
        let (target, id) = queue.newest().filter(|_| ahead > 0)?;
        let wait = self.wait_behind(now, rank, ahead);
        (now.after(wait + queue.service_time()) > target).then_some(id)
    }
}
