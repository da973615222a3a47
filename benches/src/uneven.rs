//! Replays uneven load on one group of three members, through the choice of a member at each
//! instance and the queues at the members' owners.
//!
//! The groups of a deployment share nothing but the instances, so one group with its part of the
//! load stands for all.

use std::fmt;
use std::time;

use cardamomhold_core::rank;

mod attempt;
pub mod owner;
pub mod simulation;
pub mod traffic;

/// Part of the statements of each kind, their ranks, and their times at an idle member.
pub const KINDS: [Kind; 4] = [
    Kind {
        name: "booking",
        is_read: false,
        rank: rank::Rank::Urgent,
        percent: 25,
        is_heavy: false,
        target: time::Duration::from_millis(150),
        deadline: time::Duration::from_millis(1_000),
    },
    Kind {
        name: "lookup",
        is_read: true,
        rank: rank::Rank::Urgent,
        percent: 30,
        is_heavy: false,
        target: time::Duration::from_millis(100),
        deadline: time::Duration::from_millis(1_000),
    },
    Kind {
        name: "list",
        is_read: true,
        rank: rank::Rank::Normal,
        percent: 20,
        is_heavy: false,
        target: time::Duration::from_millis(250),
        deadline: time::Duration::from_millis(1_500),
    },
    Kind {
        name: "coverage",
        is_read: true,
        rank: rank::Rank::Normal,
        percent: 25,
        is_heavy: true,
        target: time::Duration::from_millis(400),
        deadline: time::Duration::from_millis(2_000),
    },
];

/// A kind of statement.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name in the table.
    pub name: &'static str,
    /// Whether replicas may serve it.
    pub is_read: bool,
    /// Rank of its route.
    pub rank: rank::Rank,
    /// Part of all statements, in percent.
    pub percent: u32,
    /// Whether it takes 47 ms in the mean, with a tail of 500 ms, in place of 9 ms.
    pub is_heavy: bool,
    /// Time in which an answer brings its full benefit.
    pub target: time::Duration,
    /// Time after which an answer is of no use.
    pub deadline: time::Duration,
}

/// A deployment's part that belongs to one group.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name in the table.
    pub name: &'static str,
    /// Number of instances.
    pub instances: usize,
    /// Number of zones.
    pub zones: usize,
    /// Slots of a member.
    pub slots: usize,
    /// Operations a second on the group.
    pub per_second: f64,
    /// Number of workspaces that send it.
    pub workspaces: usize,
    /// Whether the load is uneven: bursts, moving clients, a slow and a lagging replica.
    pub is_uneven: bool,
}

/// Number of seeds of a replay.
const RUNS: u64 = 5;

/// The replayed deployments.
pub const DEPLOYMENTS: [Deployment; 5] = [
    Deployment {
        name: "134 instances, 4 slots, uneven",
        instances: 134,
        zones: 4,
        slots: 4,
        per_second: 117.5,
        workspaces: 84,
        is_uneven: true,
    },
    // A group whose load is one and a half times the mean of the eight groups.
    Deployment {
        name: "134 instances, 4 slots, uneven, busy group",
        instances: 134,
        zones: 4,
        slots: 4,
        per_second: 176.0,
        workspaces: 84,
        is_uneven: true,
    },
    Deployment {
        name: "134 instances, 6 slots, uneven",
        instances: 134,
        zones: 4,
        slots: 6,
        per_second: 176.0,
        workspaces: 84,
        is_uneven: true,
    },
    Deployment {
        name: "15 instances, 4 slots, even",
        instances: 15,
        zones: 3,
        slots: 4,
        per_second: 117.5,
        workspaces: 1,
        is_uneven: false,
    },
    Deployment {
        name: "15 instances, 4 slots, even, many workspaces",
        instances: 15,
        zones: 3,
        slots: 4,
        per_second: 117.5,
        workspaces: 84,
        is_uneven: false,
    },
];

/// Which of the decisions are in force; all off is the former behaviour.
#[derive(Debug, Clone, Copy, Default)]
pub struct Decisions {
    /// Owners refuse a read at once when another member is expected to finish it earlier.
    pub moves_reads: bool,
    /// Refusals carry the member's load; formerly that of the last answer on the connection.
    pub reports_refusals: bool,
}

/// Results of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Operations that clients sent.
    pub sent: u32,
    /// Answered within the target.
    pub on_time: u32,
    /// Answered beyond the target.
    pub late: u32,
    /// Refused.
    pub refused: u32,
}

/// Results of a replay.
#[derive(Debug, Clone, Default)]
pub struct Results {
    /// Results of each of [`KINDS`].
    pub kinds: [Tally; 4],
    /// The same during bursts only.
    pub in_bursts: [Tally; 4],
    /// Work done by each member during each burst.
    pub burst_work: Vec<[time::Duration; 3]>,
    /// Attempts that ended without an answer of the member, a replica behind included.
    pub extra_attempts: u32,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

fn total(kinds: &[Tally; 4]) -> Tally {
    let mut sum = Tally::default();
    for kind in kinds {
        sum.add(kind);
    }
    sum
}

impl Results {
    /// Sum of the results of all kinds.
    pub fn total(&self) -> Tally {
        total(&self.kinds)
    }

    fn add(&mut self, other: &Self) {
        for (kind, more) in self.kinds.iter_mut().zip(&other.kinds) {
            kind.add(more);
        }
        for (kind, more) in self.in_bursts.iter_mut().zip(&other.in_bursts) {
            kind.add(more);
        }
        self.burst_work.extend(&other.burst_work);
        self.extra_attempts += other.extra_attempts;
    }

    /// Work of the busiest member in a burst as a multiple of the members' mean, on average over
    /// the bursts.
    pub fn imbalance(&self) -> f64 {
        let mut sum = 0.0;
        for work in &self.burst_work {
            let work = work.map(|w| w.as_secs_f64());
            let mean = work.iter().sum::<f64>() / work.len() as f64;
            sum += work.iter().copied().fold(0.0, f64::max) / mean.max(f64::EPSILON);
        }
        sum / self.burst_work.len().max(1) as f64
    }
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [("all", &self.kinds), ("in bursts", &self.in_bursts)];
        for (title, kinds) in rows {
            let total = total(kinds);
            write_row(f, title, &total)?;
            for (kind, tally) in KINDS.iter().zip(kinds) {
                write_row(f, kind.name, tally)?;
            }
        }
        writeln!(
            f,
            "busiest member in bursts {:.2}, further attempts {}, not on time {}",
            self.imbalance(),
            self.extra_attempts,
            self.total().late + self.total().refused
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, title: &str, tally: &Tally) -> fmt::Result {
    let percent = |count: u32| f64::from(count) * 100.0 / f64::from(tally.sent.max(1));
    writeln!(
        f,
        "{title:>10} {:>7} on time {:6.2} % late {:5.2} % refused {:5.2} %",
        tally.sent,
        percent(tally.on_time),
        percent(tally.late),
        percent(tally.refused)
    )
}

/// Replays a deployment with several seeds, from `seed` on, and adds up the results.
pub fn run(deployment: &Deployment, decisions: Decisions, seed: u64) -> Results {
    let mut sum = Results::default();
    for seed in seed..seed + RUNS {
        let operations = traffic::generate(deployment, seed);
        let results = simulation::Simulation::new(deployment, decisions, operations).run();
        sum.add(&results);
    }
    sum
}
