//! The share of declared reads that replicas serve, with healthy replication.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_session::route;
use cardamomhold_session::wait;
use rand::RngExt;
use rand::SeedableRng;

use crate::load;
use crate::report;
use crate::size;

/// Writes of all callers to a group, per second.
const WRITES_PER_S: f64 = 100.0;

/// Writes that are modelled.
const WRITES: usize = 20_000;

/// Mean time in which a replica applies one write, exponentially distributed.
const APPLY: time::Duration = time::Duration::from_millis(2);

/// Age of the data that the reads accept.
const STALENESS: time::Duration = time::Duration::from_secs(5);

/// Time left to each read.
const DEADLINE: time::Duration = time::Duration::from_secs(10);

/// One in so many reads follows its session's own write at once.
const OWN_WRITE_EVERY: usize = 4;

/// One write as a replica gets it.
#[derive(Debug, Clone, Copy)]
struct Write {
    committed: Timestamp,
    received: Timestamp,
    applied: Timestamp,
}

/// One read as it reaches the replica's owner.
#[derive(Debug, Clone, Copy)]
struct Read {
    at: Timestamp,
    seen: usize,
    is_own: bool,
}

/// Where the reads went.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    reads: u32,
    at_replica: u32,
}

impl Tally {
    fn count(&mut self, at_replica: bool) {
        self.reads += 1;
        self.at_replica += u32::from(at_replica);
    }

    fn percent(self) -> f64 {
        f64::from(self.at_replica) * 100.0 / f64::from(self.reads.max(1))
    }
}

/// The two shares of one user; the baseline sends every read to the primary.
pub fn measure(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let writes = writes(size, &mut rng);
    let reads = reads(size, &writes, &mut rng);
    let (mut all, mut own) = (Tally::default(), Tally::default());
    let mut pace = wait::ApplyDelay::default();
    let mut reported = 0;
    for read in &reads {
        reported = report_until(&mut pace, &writes, reported, read.at);
        let at_replica = is_routed(read) && is_served(&pace, &writes, read);
        all.count(at_replica);
        if read.is_own {
            own.count(at_replica);
        }
    }
    let figure = |measure: &str, tally: Tally, least: f64| report::Figure {
        user: size.name,
        measure: measure.to_owned(),
        ours: tally.percent(),
        baseline: 0.0,
        bound: report::Bound::Least(least),
    };
    vec![
        figure("declared reads served by replicas, %", all, 95.0),
        figure(
            "reads straight after the own write, at replicas, %",
            own,
            80.0,
        ),
    ]
}

fn writes(size: &size::Size, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Write> {
    let mut writes = Vec::with_capacity(WRITES);
    let mut clock = time::Duration::ZERO;
    let mut idle = Timestamp(0);
    for _ in 0..WRITES {
        clock += time::Duration::from_secs_f64(load::exponential(rng) / WRITES_PER_S);
        let committed = Timestamp(0).after(clock);
        let received = committed.after(size.zone);
        let applied = received
            .max(idle)
            .after(APPLY.mul_f64(load::exponential(rng)));
        idle = applied;
        writes.push(Write {
            committed,
            received,
            applied,
        });
    }
    writes
}

/// A read a write: at once after the session's own, or some time after an older one.
fn reads(size: &size::Size, writes: &[Write], rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Read> {
    let mut reads = Vec::with_capacity(writes.len());
    for (seen, write) in writes.iter().enumerate() {
        let is_own = seen % OWN_WRITE_EVERY == 0;
        // Confirmed by a replica, answered to the client, and asked by it.
        let path = size.zone * 2 + size.client * 2;
        let pause = if is_own {
            time::Duration::ZERO
        } else {
            time::Duration::from_millis(rng.random_range(50..500))
        };
        let at = write.committed.after(path + pause);
        reads.push(Read { at, seen, is_own });
    }
    reads.sort_by_key(|r| r.at);
    reads
}

/// The replica's reports up to a time, one for each write received and applied.
fn report_until(
    pace: &mut wait::ApplyDelay,
    writes: &[Write],
    from: usize,
    now: Timestamp,
) -> usize {
    let mut next = from;
    while let Some(write) = writes.get(next).filter(|w| w.applied <= now) {
        let log = position::LogPosition(next as u64 + 1);
        pace.observe(write.received, log, position::LogPosition(next as u64));
        pace.observe(write.applied, log, log);
        next += 1;
    }
    next
}

/// Whether the entry sends the read to a replica first.
fn is_routed(read: &Read) -> bool {
    let parse = |text: &str| name::MemberName::parse(text).ok();
    let (Some(primary), Some(replica)) = (parse("a"), parse("b")) else {
        return false;
    };
    let replicas = [route::Candidate {
        member: &replica,
        is_near: true,
    }];
    let view = route::View {
        term: position::Term(1),
        primary: Some(&primary),
        replicas: &replicas,
    };
    let log = position::LogPosition(read.seen as u64 + 1);
    let seen = position::Position::new(position::Term(1), log);
    matches!(
        route::choose(view, true, Some(seen), read.seen),
        Ok(route::Route::Replica(_))
    )
}

/// Whether the replica serves the read, now or after the wait that is worth it.
fn is_served(pace: &wait::ApplyDelay, writes: &[Write], read: &Read) -> bool {
    let applied = writes.partition_point(|w| w.applied <= read.at);
    let fresh = writes
        .get(applied)
        .map_or(read.at, |w| w.committed.min(read.at));
    let distance = wait::ReplicaState {
        is_behind: applied <= read.seen,
        delay: pace.delay(read.at),
        silence: time::Duration::ZERO,
        lag: read.at.since(fresh),
        staleness: STALENESS,
    };
    match wait::decide(distance, DEADLINE) {
        wait::Wait::Ready => true,
        wait::Wait::AtMost(bound) => writes[read.seen].applied <= read.at.after(bound),
        wait::Wait::Primary => false,
    }
}
