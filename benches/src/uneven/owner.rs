//! A member and the queue at the owner of its connections.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::load;
use cardamomhold_queue::breaker;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;

use crate::uneven::Deployment;
use crate::uneven::KINDS;

/// Statements beyond the member's slots that the owner sends, as `cardamomhold_entry` does.
const EXTRA_STATEMENTS: usize = 1;

/// Waiting statements of a rank, as in `cardamomhold_entry`.
const MAX_WAITING: usize = 256;

/// Guaranteed shares of the ranks, as in `cardamomhold_entry`.
const SHARE_PERCENT: [u32; 3] = [60, 30, 10];

/// Connections that the owner may open.
const CONNECTIONS: usize = 73;

/// Target of a rank without routes, as in `cardamomhold_entry`.
const DEFAULT_TARGET: time::Duration = time::Duration::from_millis(250);

/// A statement at the owner.
#[derive(Debug, Clone, Copy)]
pub struct Arrived {
    /// Index of the operation.
    pub operation: usize,
    /// When it came to the owner.
    pub at: Timestamp,
    /// When it started.
    pub started: Timestamp,
    /// How long it occupies a slot.
    pub service: time::Duration,
}

/// The owner and its member.
#[derive(Debug)]
pub struct Owner {
    /// The queue.
    pub queue: queue::Queue,
    /// Statements that wait or run.
    pub statements: collections::HashMap<job::JobId, Arrived>,
    /// Started statements that wait for a slot in the member.
    pub in_member: collections::VecDeque<job::JobId>,
    /// Slots in use.
    pub busy: usize,
    slots: usize,
    next_id: u64,
}

impl Owner {
    /// The owner of an idle member.
    pub fn new(deployment: &Deployment) -> Self {
        let mut ranks = [queue::RankLimits {
            share_percent: 0,
            max_waiting: MAX_WAITING,
            target: DEFAULT_TARGET,
        }; 3];
        for (index, limits) in ranks.iter_mut().enumerate() {
            limits.share_percent = SHARE_PERCENT[index];
            let kinds = KINDS.iter().filter(|k| k.rank.index() == index);
            limits.target = kinds.map(|k| k.target).min().unwrap_or(DEFAULT_TARGET);
        }
        let limits = queue::Limits {
            max_started: CONNECTIONS,
            slots: deployment.slots + EXTRA_STATEMENTS,
            ranks,
            trip: breaker::Trip::Ratio {
                window: time::Duration::from_secs(2),
                percent: 90,
                min_calls: 5,
            },
        };
        Self {
            queue: queue::Queue::new(limits),
            statements: collections::HashMap::new(),
            in_member: collections::VecDeque::new(),
            busy: 0,
            slots: deployment.slots,
            next_id: 0,
        }
    }

    /// Adds a statement to the queue; false when it is refused.
    pub fn offer(
        &mut self,
        now: Timestamp,
        caller: &name::CallerName,
        kind: usize,
        sent: Timestamp,
        arrived: Arrived,
    ) -> bool {
        self.next_id += 1;
        let id = job::JobId(self.next_id);
        let job = job::Job {
            id,
            rank: KINDS[kind].rank,
            caller: caller.clone(),
            weight: 1,
            target: sent.after(KINDS[kind].target),
            deadline: sent.after(KINDS[kind].deadline),
        };
        if self.queue.offer(now, job).is_err() {
            return false;
        }
        self.statements.insert(id, arrived);
        true
    }

    /// What the owner reports.
    pub fn load(&self, now: Timestamp) -> load::Load {
        let waits = rank::Rank::ALL.map(|r| self.queue.expected_wait(now, r));
        load::Load {
            waits_ms: waits.map(|w| w.as_millis() as u32),
        }
    }

    /// Puts started statements into free slots; returns them.
    pub fn fill_slots(&mut self) -> Vec<job::JobId> {
        let mut running = Vec::new();
        while self.busy < self.slots
            && let Some(id) = self.in_member.pop_front()
        {
            self.busy += 1;
            running.push(id);
        }
        running
    }
}
