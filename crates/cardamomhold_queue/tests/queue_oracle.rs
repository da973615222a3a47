//! Random histories of one queue against an oracle that knows only what was promised.

use std::collections;
use std::time;

use cardamomhold_core::prelude::*;
use cardamomhold_queue::prelude::*;
use proptest::prelude::*;
use proptest::test_runner;

const CALLERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const WEIGHTS: [u32; 5] = [1, 1, 1, 2, 5];
const WAITING: usize = 6;
const RUNNING: usize = 5;
const SEED: u64 = 0x51ab;

#[derive(Debug, Clone)]
enum Step {
    Offer {
        rank: usize,
        caller: usize,
        deadline_ms: u64,
    },
    Pass {
        ms: u64,
    },
    Finish {
        at: usize,
        ended: usize,
    },
    Withdraw {
        at: usize,
    },
    Resize {
        running: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3usize, 0..CALLERS.len(), 0..400u64).prop_map(|(rank, caller, deadline_ms)| {
            Step::Offer { rank, caller, deadline_ms }
        }),
        3 => (0..40u64).prop_map(|ms| Step::Pass { ms }),
        6 => (any::<usize>(), 0..8usize).prop_map(|(at, ended)| Step::Finish { at, ended }),
        1 => any::<usize>().prop_map(|at| Step::Withdraw { at }),
        1 => (1..=RUNNING).prop_map(|running| Step::Resize { running }),
    ]
}

fn limits(running: usize) -> Limits {
    let rank = |share_percent| RankLimits {
        share_percent,
        waiting: WAITING,
        target: time::Duration::from_secs(3_600),
    };
    Limits {
        running,
        slots: 3,
        ranks: [rank(60), rank(30), rank(10)],
        trip: Trip::InARow { failures: 4 },
    }
}

#[derive(Debug, Clone)]
struct Known {
    rank: Rank,
    caller: usize,
    deadline: Timestamp,
}

struct Oracle {
    queue: Queue,
    now: Timestamp,
    next: u64,
    bound: usize,
    waiting: collections::BTreeMap<JobId, Known>,
    running: collections::BTreeMap<JobId, Known>,
    ended: collections::BTreeSet<JobId>,
    /// Starts of each caller in each rank; a history is shorter than what counts as recent.
    started: [[usize; CALLERS.len()]; 3],
}

impl Oracle {
    fn new() -> Self {
        Self {
            queue: Queue::new(limits(RUNNING)),
            now: Timestamp(0),
            next: 0,
            bound: RUNNING,
            waiting: Default::default(),
            running: Default::default(),
            ended: Default::default(),
            started: Default::default(),
        }
    }

    /// What a caller has of a rank, waiting and started, times a multiple of the weights.
    fn load(&self, rank: Rank, caller: usize) -> usize {
        let waiting = self.count(rank, caller);
        (waiting + self.started[rank.index()][caller]) * 10 / WEIGHTS[caller] as usize
    }

    fn count(&self, rank: Rank, caller: usize) -> usize {
        let jobs = self.waiting.values();
        jobs.filter(|k| k.rank == rank && k.caller == caller)
            .count()
    }

    /// The greatest load of a caller with something waiting.
    fn largest(&self, rank: Rank) -> usize {
        let waiting = (0..CALLERS.len()).filter(|c| self.count(rank, *c) > 0);
        let loads = waiting.map(|c| self.load(rank, c));
        loads.max().unwrap_or_default()
    }

    fn offer(&mut self, rank: Rank, caller: usize, deadline: Timestamp) {
        let id = JobId(self.next);
        self.next += 1;
        let known = Known {
            rank,
            caller,
            deadline,
        };
        let job = Job {
            id,
            rank,
            caller: CallerName::parse(CALLERS[caller]).expect("name"),
            weight: WEIGHTS[caller],
            deadline,
        };
        self.waiting.insert(id, known.clone());
        match self.queue.offer(self.now, job) {
            Ok(()) => {}
            Err(refusal) => {
                if refusal == Refusal::QueueFull {
                    self.check_largest(&known);
                }
                self.end_waiting(id);
            }
        }
    }

    fn check_largest(&self, refused: &Known) {
        let own = self.load(refused.rank, refused.caller);
        let largest = self.largest(refused.rank);
        assert!(
            own >= largest,
            "within its share, yet refused: {own} < {largest}"
        );
    }

    fn end_waiting(&mut self, id: JobId) -> Known {
        assert!(self.ended.insert(id), "ended twice: {id:?}");
        self.waiting.remove(&id).expect("refused without waiting")
    }

    fn poll(&mut self) {
        for decision in self.queue.poll(self.now) {
            match decision {
                Decision::Start(id) => {
                    let known = self.waiting.remove(&id).expect("started without waiting");
                    assert!(known.deadline > self.now, "started after its deadline");
                    self.started[known.rank.index()][known.caller] += 1;
                    self.running.insert(id, known);
                }
                Decision::Refuse(id, refusal) => {
                    let known = self
                        .waiting
                        .get(&id)
                        .expect("refused without waiting")
                        .clone();
                    match refusal {
                        Refusal::QueueFull => self.check_largest(&known),
                        Refusal::DeadlineUnmet => {
                            assert!(known.deadline <= self.now, "refused late")
                        }
                        _ => {}
                    }
                    self.end_waiting(id);
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        assert_eq!(self.queue.running(), self.running.len());
        assert_eq!(self.queue.waiting(), self.waiting.len());
        for rank in Rank::ALL {
            let waiting = self.waiting.values().filter(|k| k.rank == rank);
            assert!(waiting.count() <= WAITING, "line of {rank} too long");
        }
        let overdue = self.waiting.values().find(|k| k.deadline <= self.now);
        assert!(overdue.is_none(), "waits after its deadline: {overdue:?}");
        let wake = self.waiting.values().map(|k| k.deadline).min();
        assert_eq!(self.queue.wake(), wake, "no wake for a deadline");
        let is_idle = self.running.len() < self.queue.limit();
        assert!(
            !is_idle || self.waiting.is_empty(),
            "waits before a free place"
        );
    }

    fn check_bound(&self, before: usize) {
        let most = self.bound.max(before);
        assert!(
            self.running.len() <= most,
            "{} run of {most}",
            self.running.len()
        );
    }

    fn apply(&mut self, step: Step) {
        let before = self.running.len();
        match step {
            Step::Offer {
                rank,
                caller,
                deadline_ms,
            } => {
                let deadline = self.now.after(time::Duration::from_millis(deadline_ms));
                self.offer(Rank::ALL[rank], caller, deadline);
            }
            Step::Pass { ms } => self.now = self.now.after(time::Duration::from_millis(ms)),
            Step::Finish { at, ended } => {
                let Some(id) = pick(&self.running, at) else {
                    return;
                };
                self.finish(id, ended);
            }
            Step::Withdraw { at } => {
                let Some(id) = pick(&self.waiting, at) else {
                    return;
                };
                assert!(self.queue.withdraw(id), "was waiting");
                self.end_waiting(id);
            }
            Step::Resize { running } => {
                self.bound = running;
                self.queue.resize(limits(running));
            }
        }
        self.poll();
        self.check_bound(before);
    }

    fn finish(&mut self, id: JobId, ended: usize) {
        let ended = match ended {
            0 | 1 => Ended::Failed,
            2 => Ended::Unused,
            ms => Ended::Answered(time::Duration::from_millis(ms as u64)),
        };
        self.queue.finish(self.now, id, ended);
        self.queue.finish(self.now, id, ended);
        self.running.remove(&id);
        assert!(self.ended.insert(id), "ended twice: {id:?}");
    }

    /// Every job ends once those that run have ended and the deadlines have passed.
    fn drain(&mut self) {
        self.now = self.now.after(time::Duration::from_secs(10));
        self.poll();
        while let Some(id) = pick(&self.running, 0) {
            self.finish(id, 7);
            self.poll();
        }
        assert_eq!(self.ended.len() as u64, self.next, "a job never ended");
        assert_eq!(self.queue.waiting() + self.queue.running(), 0);
    }
}

fn pick(jobs: &collections::BTreeMap<JobId, Known>, at: usize) -> Option<JobId> {
    let at = at.checked_rem(jobs.len())?;
    jobs.keys().nth(at).copied()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn keeps_promises(steps in prop::collection::vec(step(), 1..200)) {
        let mut oracle = Oracle::new();
        for step in steps {
            oracle.apply(step);
        }
        oracle.drain();
    }
}
