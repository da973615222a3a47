//! Measures the share of declared reads served by replicas while replication is healthy.

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

/// Writes per second of all callers to a group.
const WRITES_PER_S: f64 = 100.0;

/// Number of simulated writes.
const WRITE_COUNT: usize = 20_000;

/// Mean time in which a replica applies one write; the times are exponentially distributed.
const MEAN_APPLY_TIME: time::Duration = time::Duration::from_millis(2);

/// Maximum age of the data that the reads accept.
const MAX_STALENESS: time::Duration = time::Duration::from_secs(5);

/// Time to the deadline of each read.
const READ_DEADLINE: time::Duration = time::Duration::from_secs(10);

/// Number of reads of which one immediately follows a write of its own session.
const READS_PER_OWN_WRITE: usize = 4;

/// Times of one write at the primary and at a replica.
#[derive(Debug, Clone, Copy)]
struct Write {
    committed: Timestamp,
    received: Timestamp,
    applied: Timestamp,
}

/// A read that arrives at the replica's owner.
#[derive(Debug, Clone, Copy)]
struct Read {
    /// Time at which the read arrives.
    arrives_at: Timestamp,
    /// Index of the latest write that the session has seen.
    write_index: usize,
    /// Whether the read immediately follows a write of its own session.
    is_own: bool,
}

/// Number of reads, and how many of them a replica served.
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

/// Measures the share served by replicas of all declared reads and of those immediately after an
/// own write, for one user; the baseline sends every read to the primary.
pub fn measure(size: &size::Size, seed: u64) -> Vec<report::Figure> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let writes = writes(size, &mut rng);
    let reads = reads(size, &writes, &mut rng);
    let (mut all, mut own) = (Tally::default(), Tally::default());
    let mut apply_delay = wait::ApplyDelay::default();
    let mut reported = 0;
    for read in &reads {
        reported = report_until(&mut apply_delay, &writes, reported, read.arrives_at);
        let at_replica = is_routed(read) && is_served(&apply_delay, &writes, read);
        all.count(at_replica);
        if read.is_own {
            own.count(at_replica);
        }
    }
    let figure = |measure: &str, tally: Tally, min_percent: f64| report::Figure {
        user: size.name,
        measure: measure.to_owned(),
        ours: tally.percent(),
        baseline: 0.0,
        bound: report::Bound::Least(min_percent),
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
    let mut writes = Vec::with_capacity(WRITE_COUNT);
    let mut elapsed = time::Duration::ZERO;
    let mut replica_free_at = Timestamp(0);
    for _ in 0..WRITE_COUNT {
        elapsed += time::Duration::from_secs_f64(load::exponential(rng) / WRITES_PER_S);
        let committed = Timestamp(0).after(elapsed);
        let received = committed.after(size.zone_latency);
        let applied = received
            .max(replica_free_at)
            .after(MEAN_APPLY_TIME.mul_f64(load::exponential(rng)));
        replica_free_at = applied;
        writes.push(Write {
            committed,
            received,
            applied,
        });
    }
    writes
}

/// Generates one read for each write, either immediately after the session's own write or 50 to
/// 500 ms after another one.
fn reads(size: &size::Size, writes: &[Write], rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Read> {
    let mut reads = Vec::with_capacity(writes.len());
    for (write_index, write) in writes.iter().enumerate() {
        let is_own = write_index % READS_PER_OWN_WRITE == 0;
        // The replica's confirmation takes two zone latencies; the answer to the client and the
        // client's read take two client latencies.
        let latency = size.zone_latency * 2 + size.client_latency * 2;
        let pause = if is_own {
            time::Duration::ZERO
        } else {
            time::Duration::from_millis(rng.random_range(50..500))
        };
        let arrives_at = write.committed.after(latency + pause);
        reads.push(Read {
            arrives_at,
            write_index,
            is_own,
        });
    }
    reads.sort_by_key(|r| r.arrives_at);
    reads
}

/// Adds the replica's reports up to `now`, two for each write: received and applied. Returns the
/// index of the next write.
fn report_until(
    apply_delay: &mut wait::ApplyDelay,
    writes: &[Write],
    from: usize,
    now: Timestamp,
) -> usize {
    let mut next = from;
    while let Some(write) = writes.get(next).filter(|w| w.applied <= now) {
        let log = position::LogPosition(next as u64 + 1);
        apply_delay.observe(write.received, log, position::LogPosition(next as u64));
        apply_delay.observe(write.applied, log, log);
        next += 1;
    }
    next
}

/// Returns whether the entry routes the read to a replica first.
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
    let log = position::LogPosition(read.write_index as u64 + 1);
    let position = position::Position::new(position::Term(1), log);
    matches!(
        route::choose(view, true, Some(position), read.write_index),
        Ok(route::Route::Replica(_))
    )
}

/// Returns whether the replica serves the read, immediately or within the wait that
/// [`wait::decide`] allows.
fn is_served(apply_delay: &wait::ApplyDelay, writes: &[Write], read: &Read) -> bool {
    let applied = writes.partition_point(|w| w.applied <= read.arrives_at);
    let data_time = writes
        .get(applied)
        .map_or(read.arrives_at, |w| w.committed.min(read.arrives_at));
    let replica_state = wait::ReplicaState {
        is_behind: applied <= read.write_index,
        delay: apply_delay.delay(read.arrives_at),
        silence: time::Duration::ZERO,
        lag: read.arrives_at.since(data_time),
        staleness: MAX_STALENESS,
    };
    match wait::decide(replica_state, READ_DEADLINE) {
        wait::Wait::Ready => true,
        wait::Wait::AtMost(bound) => {
            writes[read.write_index].applied <= read.arrives_at.after(bound)
        }
        wait::Wait::Primary => false,
    }
}
