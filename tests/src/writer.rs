//! A caller that writes numbers one after the other and keeps what it was told of each.

use std::collections;
use std::time;

use cardamomhold_core::position;
use cardamomhold_group::leadership;
use tokio::sync::watch;
use tokio_postgres::NoTls;

use crate::bed;

/// Numbers of different writers lie this far apart.
const STRIDE: i64 = 1_000_000;

/// Pause of a writer whose connection failed.
const PAUSE: time::Duration = time::Duration::from_millis(5);

/// What a writer was told.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    /// Numbers that were acknowledged.
    pub acknowledged: Vec<i64>,
    /// Numbers that were refused as "not run".
    pub refused: Vec<i64>,
    /// Numbers of which nobody knows.
    pub unknown: Vec<i64>,
    /// Longest time without an acknowledgement; printed, never a bound.
    pub longest: time::Duration,
}

/// A running writer.
pub struct Writer {
    journal: watch::Receiver<Journal>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Writer {
    /// Starts a writer at an instance; the table must be there.
    pub fn start(bed: &bed::Bed, at: usize) -> Self {
        let (publisher, journal) = watch::channel(Journal::default());
        let (stop, stopped) = watch::channel(false);
        let address = bed.instances[at].addresses.listen;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("kalkbok")
            .dbname(bed::GROUP);
        let task = tokio::spawn(write(config, at as i64 * STRIDE, publisher, stopped));
        Self {
            journal,
            stop,
            task,
        }
    }

    /// Waits until so many more writes are acknowledged.
    pub async fn progress(&mut self, count: usize) {
        let goal = self.journal.borrow().acknowledged.len() + count;
        let reached = self.journal.wait_for(|j| j.acknowledged.len() >= goal);
        let waited = tokio::time::timeout(bed::PATIENCE, reached).await;
        let is_reached = waited.is_ok_and(|r| r.is_ok());
        assert!(
            is_reached,
            "writes go on: {:?}",
            self.journal.borrow().refused
        );
    }

    /// Ends the writer after its present write.
    pub async fn stop(self) -> Journal {
        self.stop.send_replace(true);
        self.task.await.expect("writer");
        self.journal.borrow().clone()
    }
}

async fn write(
    config: tokio_postgres::Config,
    first: i64,
    journal: watch::Sender<Journal>,
    stopped: watch::Receiver<bool>,
) {
    let mut number = first;
    let mut last = time::Instant::now();
    while !*stopped.borrow() {
        let Ok((client, connection)) = config.connect(NoTls).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let connection = tokio::spawn(connection);
        while !*stopped.borrow() && !client.is_closed() {
            number += 1;
            let told = client
                .simple_query(&format!("INSERT INTO ledger VALUES ({number})"))
                .await;
            journal.send_modify(|j| match &told {
                Ok(_) => {
                    j.acknowledged.push(number);
                    j.longest = j.longest.max(last.elapsed());
                    last = time::Instant::now();
                }
                Err(error) if is_refusal(error) => j.refused.push(number),
                Err(_) => j.unknown.push(number),
            });
        }
        connection.abort();
    }
}

/// Whether an error says that nothing ran.
fn is_refusal(error: &tokio_postgres::Error) -> bool {
    error.code().is_some_and(|c| c.code() != "08007")
}

/// Starts a bed with the writers' table and a writer at each instance.
pub async fn start_all() -> (bed::Bed, Vec<Writer>) {
    let bed = bed::Bed::start().await;
    let client = bed.connect(0).await;
    client
        .batch_execute("CREATE TABLE ledger (n BIGINT)")
        .await
        .expect("create");
    let mut writers = Vec::new();
    for at in 0..bed.instances.len() {
        writers.push(Writer::start(&bed, at));
    }
    progress(&mut writers, 10).await;
    (bed, writers)
}

/// Waits until each writer has so many more writes acknowledged.
pub async fn progress(writers: &mut [Writer], count: usize) {
    for writer in writers {
        writer.progress(count).await;
    }
}

/// Ends the writers and checks what they were told against the group's rows: what was
/// acknowledged is there exactly once, what was refused is not there.
pub async fn check(bed: &bed::Bed, writers: Vec<Writer>) -> Journal {
    let mut all = Journal::default();
    for writer in writers {
        let journal = writer.stop().await;
        all.acknowledged.extend(journal.acknowledged);
        all.refused.extend(journal.refused);
        all.unknown.extend(journal.unknown);
        all.longest = all.longest.max(journal.longest);
    }
    println!(
        "acknowledged={} refused={} unknown={} longest_gap_ms={}",
        all.acknowledged.len(),
        all.refused.len(),
        all.unknown.len(),
        all.longest.as_millis()
    );
    let mut rows = collections::BTreeMap::new();
    let client = bed.connect(1).await;
    let found = client
        .query("SELECT n FROM ledger", &[])
        .await
        .expect("rows");
    for row in found {
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

/// The group's leadership as the platform holds it.
pub fn leadership_of(bed: &bed::Bed) -> leadership::Leadership {
    let first = leadership::Leadership {
        term: position::Term(1),
        primary: None,
        wanted: None,
    };
    let Some(bytes) = bed.platform.read("config/leadership/bookings") else {
        return first;
    };
    let object: serde_json::Value = serde_json::from_slice(&bytes).expect("object");
    serde_json::from_value(object["spec"]["leadership"].clone()).expect("leadership")
}

/// Waits until every member is in the leadership's term.
pub async fn await_term(bed: &bed::Bed) {
    let deadline = tokio::time::Instant::now() + bed::PATIENCE;
    for member in &bed.members {
        let published = &member.member().expect("member runs").published;
        while published.borrow().status.term != leadership_of(bed).term {
            let is_late = tokio::time::Instant::now() >= deadline;
            assert!(!is_late, "member stays behind");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Waits until every member that runs is in the leadership's term, as far as its primary is.
pub async fn await_level(bed: &bed::Bed) {
    let deadline = tokio::time::Instant::now() + bed::PATIENCE;
    loop {
        let term = leadership_of(bed).term;
        let mut ends = collections::BTreeSet::new();
        for member in &bed.members {
            let published = member.member().expect("member runs").published.borrow();
            ends.insert((published.status.term, published.status.received));
        }
        let is_level = ends.len() == 1 && ends.first().is_some_and(|(t, _)| *t == term);
        if is_level {
            return;
        }
        let is_late = tokio::time::Instant::now() >= deadline;
        assert!(!is_late, "members differ in {term}: {ends:?}");
        tokio::time::sleep(PAUSE).await;
    }
}
