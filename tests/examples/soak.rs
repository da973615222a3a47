//! Soak test: injects random faults, alone and in pairs, while writers use real instances;
//! an oracle counts violations.
//!
//! ```text
//! cargo run --release -p cardamomhold_tests --example soak -- <seconds> <seed>
//! ```
//!
//! The seed determines the schedule of faults, but not the interleaving of the tasks.

use std::collections;
use std::env;
use std::process;
use std::sync::Arc;
use std::time;

use cardamomhold_tests::cluster;
use cardamomhold_tests::soak;
use rand::RngExt;
use rand::SeedableRng;

/// Pause between two rounds of faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// Duration of a round of faults, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Number of writers with request keys.
const KEYED_WRITERS: usize = 8;

/// Number of writers without request keys.
const UNKEYED_WRITERS: usize = 4;

/// A fault, with the index of the member or instance that it affects.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillMember(usize),
    FreezeMember(usize),
    IsolateMember(usize),
    LoseAnswers(usize),
    HangConnections(usize),
    PlatformDown,
    PlatformSlow,
    PlatformLosesAnswers,
    KillInstance(usize),
    FreezeInstance(usize),
}

fn random_fault(rng: &mut rand_pcg::Pcg64) -> Fault {
    let index = rng.random_range(0..cluster::ZONES.len());
    match rng.random_range(0..10) {
        0 => Fault::KillMember(index),
        1 => Fault::FreezeMember(index),
        2 => Fault::IsolateMember(index),
        3 => Fault::LoseAnswers(index),
        4 => Fault::HangConnections(index),
        5 => Fault::PlatformDown,
        6 => Fault::PlatformSlow,
        7 => Fault::PlatformLosesAnswers,
        8 => Fault::KillInstance(index),
        _ => Fault::FreezeInstance(index),
    }
}

/// Guard whose drop ends the fault; `None` if [`end_fault`] ends the fault instead, or if
/// nothing ends it.
type Guard = Option<cardamomhold_tests::instance::FreezeGuard>;

async fn start_fault(cluster: &mut cluster::Cluster, fault: Fault) -> Guard {
    match fault {
        Fault::KillMember(index) => cluster.members[index].kill().await,
        Fault::FreezeMember(index) => cluster.members[index].faults().freeze(true),
        Fault::IsolateMember(index) => cluster.members[index]
            .faults()
            .isolate_from(["member/", "cardamomhold/"]),
        Fault::LoseAnswers(index) => cluster.members[index].faults().lose_answers(3),
        Fault::HangConnections(index) => cluster.members[index].hang_connections(),
        Fault::PlatformDown => cluster.platform.set_down(true),
        Fault::PlatformSlow => cluster.platform.set_delay(time::Duration::from_millis(400)),
        Fault::PlatformLosesAnswers => cluster.platform.lose_answers(2),
        Fault::KillInstance(index) => cluster.instances[index].kill(),
        Fault::FreezeInstance(index) if cluster.instances[index].is_running() => {
            return Some(cluster.instances[index].freeze().await);
        }
        Fault::FreezeInstance(_) => {}
    }
    None
}

async fn end_fault(cluster: &mut cluster::Cluster, fault: Fault) {
    match fault {
        Fault::KillMember(index) => {
            // The restart may fail: both faults of a round may be the same kill.
            let _ = cluster.members[index].restart().await;
        }
        Fault::FreezeMember(index) => cluster.members[index].faults().freeze(false),
        Fault::IsolateMember(index) => cluster.members[index].faults().isolate_from([]),
        Fault::LoseAnswers(index) => cluster.members[index].faults().lose_answers(0),
        Fault::PlatformDown => cluster.platform.set_down(false),
        Fault::PlatformSlow => cluster.platform.set_delay(time::Duration::ZERO),
        Fault::PlatformLosesAnswers => cluster.platform.lose_answers(0),
        Fault::KillInstance(index) => {
            if !cluster.instances[index].is_running() {
                let zone = cluster::ZONES[index];
                cluster.instances[index] =
                    cluster.start_instance(&format!("entry-{zone}"), zone).await;
            }
        }
        Fault::HangConnections(_) | Fault::FreezeInstance(_) => {}
    }
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut numbers = env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let seconds = numbers.next().unwrap_or(30);
    let seed = numbers.next().unwrap_or(1);
    let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
    let mut cluster = cluster::Cluster::start().await;
    cluster
        .connect(0)
        .await
        .batch_execute("CREATE TABLE booking (id TEXT)")
        .await
        .expect("create");
    let addresses = Arc::new(tokio::sync::watch::Sender::new(cluster.listen_addresses()));
    let stop = tokio::sync::watch::Sender::new(false);
    let mut writers = tokio::task::JoinSet::new();
    for i in 0..KEYED_WRITERS + UNKEYED_WRITERS {
        let writer = soak::Writer::new(
            i,
            i < KEYED_WRITERS,
            seed,
            addresses.subscribe(),
            stop.subscribe(),
        );
        writers.spawn(writer.run());
    }
    let deadline = time::Instant::now() + time::Duration::from_secs(seconds);
    let mut rounds = collections::BTreeMap::<String, u32>::new();
    while time::Instant::now() < deadline {
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let mut faults = vec![random_fault(&mut rng)];
        if rng.random_bool(0.5) {
            faults.push(random_fault(&mut rng));
        }
        *rounds.entry(format!("{faults:?}")).or_default() += 1;
        let mut guards = Vec::new();
        for fault in &faults {
            guards.push(start_fault(&mut cluster, *fault).await);
        }
        tokio::time::sleep(time::Duration::from_millis(
            rng.random_range(FAULT_DURATION_MS),
        ))
        .await;
        drop(guards);
        for fault in &faults {
            end_fault(&mut cluster, *fault).await;
        }
        addresses.send_replace(cluster.listen_addresses());
    }
    stop.send_replace(true);
    let mut record = soak::Record::default();
    while let Some(writer_record) = writers.join_next().await {
        record.merge(writer_record.expect("writer"));
    }
    let rows = soak::await_rows(&cluster).await;
    let verdict = record.check(&rows);
    println!(
        "seed {seed}, {seconds} s, {} rounds of faults",
        rounds.values().sum::<u32>()
    );
    println!("{verdict}");
    if verdict.violations.is_empty() {
        return process::ExitCode::SUCCESS;
    }
    process::ExitCode::FAILURE
}
