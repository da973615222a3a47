//! A caller that inserts consecutive numbers and records the outcome of each insert.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_group::leadership;
use tokio::sync::watch;
use tokio_postgres::NoTls;

use crate::cluster;

/// Size of each writer's range of numbers.
const NUMBERS_PER_WRITER: i64 = 1_000_000;

/// Pause before a failed connection or an unmet condition is tried again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Outcomes of a writer's inserts.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    /// Numbers whose insert was acknowledged.
    pub acknowledged: Vec<i64>,
    /// Numbers whose insert was refused and did not run.
    pub refused: Vec<i64>,
    /// Numbers whose insert may have run.
    pub unknown: Vec<i64>,
    /// Longest time without an acknowledgement; printed, never a bound.
    pub longest_gap: time::Duration,
}

/// A running writer.
pub struct Writer {
    outcomes: watch::Receiver<Outcomes>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Writer {
    /// Starts a writer at an instance; the table `ledger` must exist.
    pub fn start(cluster: &cluster::Cluster, index: usize) -> Self {
        let (publisher, outcomes) = watch::channel(Outcomes::default());
        let (stop, stopped) = watch::channel(false);
        let address = cluster.instances[index].addresses.listen;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("kalkbok")
            .dbname(cluster::GROUP);
        let task = tokio::spawn(write(
            config,
            index as i64 * NUMBERS_PER_WRITER,
            publisher,
            stopped,
        ));
        Self {
            outcomes,
            stop,
            task,
        }
    }

    /// Waits until `count` more writes are acknowledged.
    pub async fn await_progress(&mut self, count: usize) {
        let goal = self.outcomes.borrow().acknowledged.len() + count;
        let reached = self.outcomes.wait_for(|o| o.acknowledged.len() >= goal);
        let waited = tokio::time::timeout(cluster::WAIT_TIMEOUT, reached).await;
        let is_reached = waited.is_ok_and(|r| r.is_ok());
        assert!(
            is_reached,
            "writes don't progress; refused: {:?}",
            self.outcomes.borrow().refused
        );
    }

    /// Stops the writer after its current write.
    pub async fn stop(self) -> Outcomes {
        self.stop.send_replace(true);
        self.task.await.expect("writer");
        self.outcomes.borrow().clone()
    }
}

async fn write(
    config: tokio_postgres::Config,
    base: i64,
    outcomes: watch::Sender<Outcomes>,
    stopped: watch::Receiver<bool>,
) {
    let mut number = base;
    let mut last_acknowledged = time::Instant::now();
    while !*stopped.borrow() {
        let Ok((client, connection)) = config.connect(NoTls).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let connection = tokio::spawn(connection);
        while !*stopped.borrow() && !client.is_closed() {
            number += 1;
            let result = client
                .simple_query(&format!("INSERT INTO ledger VALUES ({number})"))
                .await;
            outcomes.send_modify(|o| match &result {
                Ok(_) => {
                    o.acknowledged.push(number);
                    o.longest_gap = o.longest_gap.max(last_acknowledged.elapsed());
                    last_acknowledged = time::Instant::now();
                }
                Err(error) if is_refusal(error) => o.refused.push(number),
                Err(_) => o.unknown.push(number),
            });
        }
        connection.abort();
    }
}

/// Whether an error states that the insert did not run: it has an SQLSTATE other than
/// 08007 (outcome unknown).
fn is_refusal(error: &tokio_postgres::Error) -> bool {
    error.code().is_some_and(|c| c.code() != "08007")
}

/// Starts a cluster, creates the table `ledger` and starts a writer at each instance.
pub async fn start_cluster() -> (cluster::Cluster, Vec<Writer>) {
    let cluster = cluster::Cluster::start().await;
    let client = cluster.connect(0).await;
    client
        .batch_execute("CREATE TABLE ledger (n BIGINT)")
        .await
        .expect("create");
    let mut writers = Vec::new();
    for index in 0..cluster.instances.len() {
        writers.push(Writer::start(&cluster, index));
    }
    await_progress(&mut writers, 10).await;
    (cluster, writers)
}

/// Waits until each writer has `count` more acknowledged writes.
pub async fn await_progress(writers: &mut [Writer], count: usize) {
    for writer in writers {
        writer.await_progress(count).await;
    }
}

/// Stops the writers and checks their outcomes against the group's rows: an acknowledged
/// number is stored exactly once, a refused one never, an unknown one at most once.
pub async fn check(cluster: &cluster::Cluster, writers: Vec<Writer>) -> Outcomes {
    let mut all = Outcomes::default();
    for writer in writers {
        let outcomes = writer.stop().await;
        all.acknowledged.extend(outcomes.acknowledged);
        all.refused.extend(outcomes.refused);
        all.unknown.extend(outcomes.unknown);
        all.longest_gap = all.longest_gap.max(outcomes.longest_gap);
    }
    println!(
        "acknowledged={} refused={} unknown={} longest_gap_ms={}",
        all.acknowledged.len(),
        all.refused.len(),
        all.unknown.len(),
        all.longest_gap.as_millis()
    );
    let mut rows = collections::BTreeMap::new();
    let client = cluster.connect(1).await;
    let stored = client
        .query("SELECT n FROM ledger", &[])
        .await
        .expect("rows");
    for row in stored {
        *rows.entry(row.get::<_, i64>(0)).or_insert(0) += 1;
    }
    for number in &all.acknowledged {
        assert_eq!(rows.get(number), Some(&1), "acknowledged {number}");
    }
    for number in &all.refused {
        assert_eq!(rows.get(number), None, "refused {number}");
    }
    for number in &all.unknown {
        assert!(rows.get(number).is_none_or(|n| *n == 1), "unknown {number}");
    }
    all
}

/// Reads the group's leadership from the platform; returns term 1 without a primary if none
/// is stored.
pub fn read_leadership(cluster: &cluster::Cluster) -> leadership::Leadership {
    let first = leadership::Leadership {
        term: position::Term(1),
        primary: None,
        wanted: None,
    };
    let Some(bytes) = cluster.platform.read("config/leadership/bookings") else {
        return first;
    };
    let object: serde_json::Value = serde_json::from_slice(&bytes).expect("object");
    serde_json::from_value(object["spec"]["leadership"].clone()).expect("leadership")
}

/// Waits until every member has reached the leadership's term.
pub async fn await_term(cluster: &cluster::Cluster) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    for member in &cluster.members {
        let published = &member.member().expect("member runs").published;
        while published.borrow().status.term != read_leadership(cluster).term {
            let is_expired = tokio::time::Instant::now() >= deadline;
            assert!(!is_expired, "member does not reach the term");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits until every member has the leadership's term and all have received the same
/// position.
pub async fn await_caught_up(cluster: &cluster::Cluster) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let term = read_leadership(cluster).term;
        let mut positions = collections::BTreeSet::new();
        for member in &cluster.members {
            let published = member.member().expect("member runs").published.borrow();
            positions.insert((published.status.term, published.status.received));
        }
        let is_caught_up =
            positions.len() == 1 && positions.first().is_some_and(|(t, _)| *t == term);
        if is_caught_up {
            return;
        }
        let is_expired = tokio::time::Instant::now() >= deadline;
        assert!(!is_expired, "members differ in {term}: {positions:?}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
