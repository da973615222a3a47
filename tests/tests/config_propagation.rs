//! An accepted configuration change reaches every instance, and no instance returns to an
//! older version.

use std::time;

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::cluster;
use cardamomhold_tests::operator;

type Answer = schema::apply_reply::Result;

/// Number of changes made while an instance is frozen.
const CHANGE_COUNT: u64 = 10;

/// Most watches on the platform in zones of one, one and six instances.
const MAX_WATCHES: usize = 4;

/// Number of instances in those zones.
const INSTANCE_COUNT: usize = 8;

async fn operators(cluster: &cluster::Cluster) -> Vec<operator::Operator> {
    let mut operators = Vec::new();
    for instance in &cluster.instances {
        operators.push(operator::connect(instance.addresses.peer).await);
    }
    operators
}

async fn await_version(operator: &mut operator::Operator, version: u64) {
    let is_current = |s: &schema::StatusReply| s.config_version >= version;
    operator::await_status(operator, "configuration", is_current).await;
}

fn accepted(answer: Answer) -> schema::Entry {
    match answer {
        Answer::Accepted(entry) => entry,
        other => panic!("not accepted: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_racing_update_wins() {
    let cluster = cluster::Cluster::start().await;
    let mut operators = operators(&cluster).await;
    let (version, _) = operator::get_report(&mut operators[0]).await;
    // The platform drops the answer of the first update after it took effect.
    cluster.platform.lose_answers(1);
    let mut racing = Vec::new();
    for (index, operator) in operators.iter().enumerate() {
        let mut operator = operator.clone();
        racing.push(tokio::spawn(async move {
            let staleness = 1_000 + index as u64;
            let author = format!("operator-{index}");
            operator::set_report(&mut operator, &author, version, staleness).await
        }));
    }
    let mut winner = None;
    for race in racing {
        match race.await.expect("race") {
            Answer::Accepted(entry) => assert_eq!(winner.replace(entry), None, "two accepted"),
            Answer::Conflict(entry) => assert!(entry.version > version, "{entry:?}"),
            other => panic!("neither accepted nor conflict: {other:?}"),
        }
    }
    let winner = winner.expect("one is accepted although its answer was lost");
    for operator in &mut operators {
        await_version(operator, winner.version).await;
        assert_eq!(operator::get_report(operator).await.0, winner.version);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn config_survives_outage() {
    let cluster = cluster::Cluster::start().await;
    let mut operators = operators(&cluster).await;
    let (version, _) = operator::get_report(&mut operators[0]).await;
    let entry = accepted(operator::set_report(&mut operators[0], "a", version, 2_000).await);
    cluster.platform.set_down(true);
    let answer = operator::set_report(&mut operators[1], "b", entry.version, 3_000).await;
    assert!(
        matches!(answer, Answer::Undecided(_)),
        "outcome unknown in an outage: {answer:?}"
    );
    // Starts during the outage and gets the configuration from its peers.
    let seeds = cluster.instances.iter().map(|i| i.addresses.peer).collect();
    let late_instance = cluster.start_with_seeds("entry-late", "b", seeds).await;
    let mut operator = operator::connect(late_instance.addresses.peer).await;
    await_version(&mut operator, entry.version).await;
    assert_eq!(
        operator::get_report(&mut operator).await,
        (entry.version, 2_000)
    );
    let caller = cluster.connect_to(late_instance.addresses.listen).await;
    caller.batch_execute("SELECT 1").await.expect("it serves");
    cluster.platform.set_down(false);
    let answer = operator::set_report(&mut operators[2], "c", entry.version, 4_000).await;
    let last = accepted(answer);
    for operator in operators.iter_mut().chain([&mut operator]) {
        await_version(operator, last.version).await;
        assert_eq!(operator::get_report(operator).await, (last.version, 4_000));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_instance_catches_up() {
    let cluster = cluster::Cluster::start().await;
    let mut operators = operators(&cluster).await;
    let (mut version, _) = operator::get_report(&mut operators[0]).await;
    let frozen = cluster.instances[2].freeze().await;
    for change in 1..=CHANGE_COUNT {
        let answer = operator::set_report(&mut operators[0], "a", version, 1_000 * change).await;
        version = accepted(answer).version;
    }
    drop(frozen);
    let mut last = 0;
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while last < version {
        let current = operator::get_report(&mut operators[2]).await.0;
        assert!(
            current >= last,
            "version goes back from {last} to {current}"
        );
        last = current;
        assert!(
            tokio::time::Instant::now() < deadline,
            "version stays at {last}"
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    assert_eq!(
        operator::get_report(&mut operators[2]).await,
        (version, 1_000 * CHANGE_COUNT)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_relay_changes() {
    let cluster = cluster::Cluster::start().await;
    // Makes zone c six instances large, of which two watch the platform.
    let seeds: Vec<_> = cluster.instances.iter().map(|i| i.addresses.peer).collect();
    let mut extra = Vec::new();
    for index in 0..5 {
        let name = format!("entry-c{index}");
        extra.push(cluster.start_with_seeds(&name, "c", seeds.clone()).await);
    }
    let mut all = operators(&cluster).await;
    for instance in &extra {
        all.push(operator::connect(instance.addresses.peer).await);
    }
    let (version, _) = operator::get_report(&mut all[0]).await;
    for operator in &mut all {
        let is_complete = |s: &schema::StatusReply| {
            s.config_version >= version && s.instances.len() == INSTANCE_COUNT
        };
        operator::await_status(operator, "whole fleet", is_complete).await;
    }
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    while cluster.platform.watches() > MAX_WATCHES {
        assert!(tokio::time::Instant::now() < deadline, "too many watches");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let entry = accepted(operator::set_report(&mut all[0], "a", version, 2_000).await);
    for operator in &mut all {
        await_version(operator, entry.version).await;
    }
}
