//! The baseline: each instance has a small pool of its own, first come first served.

use std::collections;

use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;

/// The pools of all instances before one endpoint.
#[derive(Debug)]
pub struct Pools {
    each: usize,
    pools: Vec<Pool>,
    runs_at: collections::HashMap<job::JobId, usize>,
}

#[derive(Debug, Default)]
struct Pool {
    running: usize,
    line: collections::VecDeque<(job::JobId, Timestamp)>,
}

impl Pools {
    /// Pools that share the endpoint's connections evenly.
    pub fn new(instances: usize, connections: usize) -> Self {
        Self {
            each: (connections / instances).max(1),
            pools: (0..instances).map(|_| Pool::default()).collect(),
            runs_at: collections::HashMap::new(),
        }
    }

    /// Puts a job at the end of its instance's line.
    pub fn offer(&mut self, instance: usize, id: job::JobId, deadline: Timestamp) {
        self.pools[instance].line.push_back((id, deadline));
        self.runs_at.insert(id, instance);
    }

    /// Starts what finds a connection; a caller whose deadline has passed is gone.
    pub fn poll(&mut self, now: Timestamp) -> Vec<queue::Decision> {
        let mut decisions = Vec::new();
        for pool in &mut self.pools {
            while pool.running < self.each {
                let Some((id, deadline)) = pool.line.pop_front() else {
                    break;
                };
                if deadline <= now {
                    let refusal = cardamomhold_core::outcome::Refusal::DeadlineUnmet;
                    decisions.push(queue::Decision::Refuse(id, refusal));
                    continue;
                }
                pool.running += 1;
                decisions.push(queue::Decision::Start(id));
            }
        }
        decisions
    }

    /// Gives a connection back.
    pub fn finish(&mut self, id: job::JobId) {
        if let Some(at) = self.runs_at.remove(&id) {
            self.pools[at].running -= 1;
        }
    }
}
