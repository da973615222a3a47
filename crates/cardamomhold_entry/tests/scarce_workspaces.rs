//! An owner with fewer connections than workspaces, in virtual time: the queue and the connections
//! decide together as the owner's task does, against a member with slots.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;
use cardamomhold_queue::breaker;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;

/// Slots of the member.
const SLOTS: usize = 6;

/// Connections of the owner: its share of 49.
const CONNECTIONS: usize = 31;

/// Workspaces, of which the first [`LARGE`] send most of the load.
const WORKSPACES: usize = 84;

const LARGE: usize = 3;

/// Time of a slot to open a connection.
const OPEN_MS: u64 = 12;

/// Time of a slot for a statement.
const STATEMENT_MS: u64 = 25;

/// Time after which a statement isn't useful any more.
const DEADLINE_MS: u64 = 1_000;

#[derive(Debug, Clone)]
enum Work {
    Open(connections::Key),
    Statement(job::JobId),
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    sent: usize,
    served: usize,
    wait_ms: u64,
    longest_ms: u64,
}

struct World {
    now: u64,
    queue: queue::Queue,
    connections: connections::Connections<()>,
    /// Workspace and arrival of each job that waits or runs.
    jobs: collections::BTreeMap<job::JobId, (usize, u64)>,
    /// What the member does or is going to do, with the time left; the first ones have slots.
    member: Vec<(Work, u64)>,
    next_id: u64,
    counts: Vec<Count>,
    opened: usize,
}

fn key(index: usize) -> connections::Key {
    Some(name::WorkspaceName::parse(&format!("w-{index}")).unwrap())
}

impl World {
    fn new() -> Self {
        let rank = |share_percent| queue::RankLimits {
            share_percent,
            max_waiting: 256,
            target: time::Duration::from_millis(250),
        };
        let limits = queue::Limits {
            max_started: CONNECTIONS,
            slots: SLOTS + 1,
            ranks: [60, 30, 10].map(rank),
            trip: breaker::Trip::Never,
        };
        Self {
            now: 0,
            queue: queue::Queue::new(limits),
            connections: connections::Connections::new(CONNECTIONS),
            jobs: collections::BTreeMap::new(),
            member: Vec::new(),
            next_id: 0,
            counts: vec![Count::default(); WORKSPACES],
            opened: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn send(&mut self, workspace: usize) {
        self.counts[workspace].sent += 1;
        self.next_id += 1;
        let id = job::JobId(self.next_id);
        let job = job::Job {
            id,
            rank: rank::Rank::Urgent,
            caller: name::CallerName::parse(&format!("w-{workspace}")).unwrap(),
            weight: 1,
            target: Timestamp::from_millis(self.now + DEADLINE_MS / 4),
            deadline: Timestamp::from_millis(self.now + DEADLINE_MS),
        };
        self.jobs.insert(id, (workspace, self.now));
        if self.queue.offer(self.now(), job).is_err() {
            self.jobs.remove(&id);
        }
    }

    fn decide(&mut self) {
        let now = self.now();
        let refused = self.queue.refuse_late(now);
        self.drop_refused(refused);
        self.connections.close_expired(now);
        let mut has_started = false;
        loop {
            let reserved = self.connections.opening_for_workspaces();
            let (jobs, connections) = (&self.jobs, &self.connections);
            let may_start = |job: &job::Job| connections.has_idle(&key(jobs[&job.id].0));
            let Some(id) = self.queue.start_next(now, reserved, &may_start) else {
                break;
            };
            has_started = true;
            let (workspace, arrived) = self.jobs[&id];
            self.connections.take_idle(now, &key(workspace)).unwrap();
            let count = &mut self.counts[workspace];
            count.wait_ms += self.now - arrived;
            count.longest_ms = count.longest_ms.max(self.now - arrived);
            self.member.push((Work::Statement(id), STATEMENT_MS));
        }
        let mut wanted: Vec<connections::Wanted> = Vec::new();
        let reserved = self.connections.opening_for_workspaces();
        if has_started || self.queue.has_room(now, reserved) {
            for job in self.queue.heads() {
                let key = key(self.jobs[&job.id].0);
                if !self.connections.has_idle(&key) {
                    wanted.push(connections::Wanted { key, count: 1 });
                }
            }
        }
        while let Some(opening) = self.connections.next_opening(now, &wanted) {
            self.opened += 1;
            self.member.push((Work::Open(opening.key), OPEN_MS));
        }
    }

    fn drop_refused(&mut self, decisions: Vec<queue::Decision>) {
        for decision in decisions {
            if let queue::Decision::Refuse(id, _) = decision {
                self.jobs.remove(&id);
            }
        }
    }

    /// A millisecond of the member's work.
    fn step(&mut self) {
        self.now += 1;
        let now = self.now();
        for (_, left) in self.member.iter_mut().take(SLOTS) {
            *left -= 1;
        }
        let done = |(_, left): &(Work, u64)| *left == 0;
        let finished: Vec<_> = self.member.iter().filter(|w| done(w)).cloned().collect();
        self.member.retain(|w| !done(w));
        for (work, _) in finished {
            match work {
                Work::Open(key) => self.connections.record_opened(now, &key, ()),
                Work::Statement(id) => {
                    let (workspace, _) = self.jobs.remove(&id).unwrap();
                    self.counts[workspace].served += 1;
                    let took = time::Duration::from_millis(STATEMENT_MS);
                    let completion = job::Completion::Answered(took);
                    self.queue.finish(now, id, completion);
                    self.connections.put_back(now, &key(workspace), ());
                }
            }
        }
        self.decide();
    }

    /// Runs for a time; each workspace sends a statement at this interval, at its own times.
    fn run(&mut self, seconds: u64, large_ms: u64, small_ms: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            for workspace in 0..WORKSPACES {
                let interval = if workspace < LARGE {
                    large_ms
                } else {
                    small_ms
                };
                let offset = workspace as u64 * 7_919;
                // The times of small workspaces vary, so that they don't come in one order.
                let turn = self.now / interval;
                let offset = (offset * (turn + 1)) % interval;
                if self.now % interval == offset {
                    self.send(workspace);
                }
            }
            self.step();
        }
    }

    /// The counts of the large and of the small workspaces since the last call.
    fn take_counts(&mut self) -> (Count, Count) {
        let counts = std::mem::replace(&mut self.counts, vec![Count::default(); WORKSPACES]);
        let sum = |part: &[Count]| {
            let mut sum = Count::default();
            for count in part {
                sum.sent += count.sent;
                sum.served += count.served;
                sum.wait_ms += count.wait_ms;
                sum.longest_ms = sum.longest_ms.max(count.longest_ms);
            }
            sum
        };
        (sum(&counts[..LARGE]), sum(&counts[LARGE..]))
    }
}

/// At the usual load all statements are served, and those of large workspaces don't wait for the
/// connections that small ones need.
#[test]
fn usual_load_is_served() {
    let mut world = World::new();
    world.run(5, 50, 5_000);
    world.take_counts();
    world.opened = 0;
    world.run(60, 50, 5_000);
    let (large, small) = world.take_counts();
    println!("large {large:?} small {small:?} opened {}", world.opened);
    assert!(large.served * 1_000 >= large.sent * 999, "{large:?}");
    assert!(small.served * 100 >= small.sent * 99, "{small:?}");
    assert!(large.wait_ms <= large.served as u64 * 5, "{large:?}");
    assert!(small.wait_ms <= small.served as u64 * 100, "{small:?}");
    assert!(world.opened <= small.sent, "opened {}", world.opened);
}

/// When large workspaces send more than the member can do, small ones are still served, and the
/// member's time isn't spent on opening connections.
#[test]
fn flood_leaves_room() {
    let mut world = World::new();
    world.run(5, 50, 5_000);
    world.take_counts();
    world.opened = 0;
    world.run(30, 6, 5_000);
    let (large, small) = world.take_counts();
    println!("large {large:?} small {small:?} opened {}", world.opened);
    assert!(small.served * 100 >= small.sent * 90, "{small:?}");
    // The slots hold 30 s; small statements take what they send.
    let capacity = 30_000 * SLOTS / STATEMENT_MS as usize;
    let served = large.served + small.served;
    assert!(served * 100 >= capacity * 80, "{served} of {capacity}");
    assert!(world.opened <= 30 * 40, "opened {}", world.opened);
}

/// A workspace that can't get a connection, as others hold all of them in open transactions, keeps
/// nobody else waiting.
#[test]
fn blocked_ones_wait_alone() {
    let mut world = World::new();
    let now = world.now();
    for index in 0..CONNECTIONS {
        let key = key(index % 10);
        let wanted = connections::Wanted {
            key: key.clone(),
            count: 1,
        };
        world.connections.next_opening(now, &[wanted]).unwrap();
        world.connections.record_opened(now, &key, ());
        world.connections.take_idle(now, &key).unwrap();
    }
    // One of workspace 0 is returned; the others stay in use.
    world.connections.put_back(now, &key(0), ());
    for workspace in (20..60).chain([0]) {
        world.send(workspace);
    }
    for _ in 0..=STATEMENT_MS {
        world.step();
    }
    assert_eq!(world.counts[0].served, 1);
    // Then the connection goes from one of the others to the next.
    for _ in 0..DEADLINE_MS {
        world.step();
    }
    let served: usize = world.counts[20..60].iter().map(|c| c.served).sum();
    // The queue refuses those that would miss their target.
    let possible = DEADLINE_MS / 4 / (OPEN_MS + STATEMENT_MS);
    assert!(served as u64 >= possible, "{served} of {possible}");
}
