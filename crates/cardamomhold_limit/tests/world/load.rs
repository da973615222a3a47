//! Operations on their way to the members.

use std::time;

use cardamomhold_limit::allowance;
use rand::RngExt;

use crate::world::Disabled;
use crate::world::Event;
use crate::world::PATH_MS;
use crate::world::World;
use crate::world::workspace_name;

impl World {
    /// An operation comes to one of the instances that the workspace's clients use.
    pub(super) fn operate(&mut self, workspace: usize) {
        let rate = self.limits.last().unwrap().rate * self.factors[workspace];
        let pause = match rate > 0.0 {
            true => -(1.0 - self.rng.random::<f64>()).ln() / rate,
            false => 0.1,
        };
        let next = self.now + (pause.min(1.0) * 1e6) as u64 + 1;
        self.at_us(next, Event::Operation(workspace));
        let targets = &self.targets[workspace];
        let index = targets[self.rng.random_range(0..targets.len())];
        let instance = &mut self.instances[index];
        if rate == 0.0 || self.now < instance.frozen_until || instance.limiter.is_none() {
            return;
        }
        instance.next_id += 1;
        let id = instance.next_id;
        instance.waiting.insert(id, workspace);
        let mut taken = None;
        self.with(index, |limiter, now| {
            let until = now.after(time::Duration::from_millis(100));
            taken = match limiter.is_limited(&workspace_name(workspace)) {
                true => Some(limiter.take(now, id, &workspace_name(workspace), until)),
                // The instance has no configuration yet.
                false => None,
            };
        });
        match taken {
            Some(allowance::Taken::Waiting) => {}
            Some(allowance::Taken::Permitted(permit)) => self.queue(index, id, Some(permit)),
            Some(allowance::Taken::Refused(_)) => {
                self.instances[index].waiting.remove(&id);
                self.refused[workspace] += 1;
            }
            None => {
                self.instances[index].waiting.remove(&id);
            }
        }
    }

    /// A permitted operation enters a member's queue.
    pub(super) fn queue(&mut self, index: usize, id: u64, permit: Option<allowance::Permit>) {
        if let Some(workspace) = self.instances[index].waiting.remove(&id) {
            // The queue stalls, and lets all operations go at the end of each period.
            let period = self.plan.max_queue_ms * 1_000;
            let leaves = (self.now / period + 1) * period;
            self.at_us(leaves, Event::Leave(index, workspace, permit));
        }
    }

    pub(super) fn leave(
        &mut self,
        index: usize,
        workspace: usize,
        permit: Option<allowance::Permit>,
    ) {
        let is_returned = self.rng.random_bool(0.02);
        let is_checked = self.disabled != Disabled::QueueCheck;
        let name = workspace_name(workspace);
        let mut permit = permit;
        let mut is_sent = false;
        self.with(index, |limiter, now| {
            if is_checked && permit.is_some_and(|p| now >= p.until) {
                permit = match limiter.take(now, 0, &name, now) {
                    allowance::Taken::Permitted(permit) => Some(permit),
                    _ => None,
                };
            }
            let Some(permit) = permit else {
                return;
            };
            match is_returned {
                true => limiter.put_back(now, &name, permit),
                false => is_sent = true,
            }
        });
        if is_sent {
            self.after(PATH_MS, Event::Arrive(workspace));
        }
    }
}
