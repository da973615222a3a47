//! Writers for the soak test, and the oracle that checks their outcomes against the stored
//! rows.

use std::collections;
use std::fmt;
use std::net::SocketAddr;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio_postgres::NoTls;

use crate::cluster;

/// Deadline that writers set on their connections, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Longest wait for a connection or an answer before the writer gives up.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Attempts at a write before the writer continues with the next one.
const ATTEMPTS: usize = 60;

/// Outcome of one write, as the writer received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The write ran.
    Acknowledged,
    /// The write did not run.
    NotRun,
    /// The write may have run.
    Unknown,
}

/// Outcomes of writes, and reads that missed the session's own write.
#[derive(Debug, Default)]
pub struct Record {
    writes: collections::BTreeMap<String, Outcome>,
    stale_reads: Vec<String>,
    reads: usize,
}

/// Result of the oracle's check.
#[derive(Debug)]
pub struct Verdict {
    /// Number of acknowledged writes.
    pub acknowledged: usize,
    /// Number of writes reported as not run.
    pub not_run: usize,
    /// Number of writes with an unknown outcome.
    pub unknown: usize,
    /// Number of reads of a session's own writes.
    pub reads: usize,
    /// Descriptions of stale reads, and of writes stored more or fewer times than their
    /// outcome allows.
    pub violations: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "acknowledged {}, not run {}, unknown {}, own reads {}, violations {}",
            self.acknowledged,
            self.not_run,
            self.unknown,
            self.reads,
            self.violations.len()
        )?;
        for violation in self.violations.iter().take(20) {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

impl Record {
    /// Adds another writer's record.
    pub fn merge(&mut self, other: Self) {
        self.writes.extend(other.writes);
        self.stale_reads.extend(other.stale_reads);
        self.reads += other.reads;
    }

    fn count(&self, outcome: Outcome) -> usize {
        self.writes.values().filter(|o| **o == outcome).count()
    }

    /// Checks the recorded outcomes against the final rows.
    pub fn check(&self, rows: &[String]) -> Verdict {
        let mut stored = collections::BTreeMap::<&str, usize>::new();
        for row in rows {
            *stored.entry(row).or_default() += 1;
        }
        let mut violations = self.stale_reads.clone();
        for (id, outcome) in &self.writes {
            let times = stored.get(id.as_str()).copied().unwrap_or(0);
            match (outcome, times) {
                (Outcome::Acknowledged, 1) | (Outcome::NotRun, 0) | (Outcome::Unknown, 0 | 1) => {}
                _ => violations.push(format!("{id}: reported {outcome:?}, stored {times} times")),
            }
        }
        Verdict {
            acknowledged: self.count(Outcome::Acknowledged),
            not_run: self.count(Outcome::NotRun),
            unknown: self.count(Outcome::Unknown),
            reads: self.reads,
            violations,
        }
    }
}

/// A caller that inserts bookings and reads them back, each time through a random instance.
pub struct Writer {
    name: usize,
    is_keyed: bool,
    rng: rand_pcg::Pcg64,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    stop: watch::Receiver<bool>,
    token: String,
    record: Record,
}

/// Result of one attempt at a write.
enum Attempt {
    /// The write was acknowledged; contains the session token if it could be read.
    Done(Option<String>),
    /// The attempt was not acknowledged.
    Failed(Outcome),
}

impl Writer {
    /// Creates a writer whose random choices derive from `seed` and `name`.
    pub fn new(
        name: usize,
        is_keyed: bool,
        seed: u64,
        addresses: watch::Receiver<Vec<SocketAddr>>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let rng =
            rand_pcg::Pcg64::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(name as u64));
        let token = String::new();
        Self {
            name,
            is_keyed,
            rng,
            addresses,
            stop,
            token,
            record: Record::default(),
        }
    }

    /// Inserts bookings until `stop` is true.
    pub async fn run(mut self) -> Record {
        let mut number = 0;
        while !*self.stop.borrow() {
            number += 1;
            let id = format!("w{}-{number}", self.name);
            let outcome = self.insert(&id).await;
            self.record.writes.insert(id.clone(), outcome);
            if outcome == Outcome::Acknowledged && !self.token.is_empty() {
                self.read_back(&id).await;
            }
        }
        self.record
    }

    async fn insert(&mut self, id: &str) -> Outcome {
        let key = if self.is_keyed {
            cluster::request_key()
        } else {
            String::new()
        };
        let mut outcome = Outcome::NotRun;
        for _ in 0..ATTEMPTS {
            match self.attempt(id, &key).await {
                Attempt::Done(token) => {
                    self.token = token.unwrap_or_default();
                    return Outcome::Acknowledged;
                }
                Attempt::Failed(Outcome::NotRun) => {}
                Attempt::Failed(_) if self.is_keyed => outcome = Outcome::Unknown,
                Attempt::Failed(_) => return Outcome::Unknown,
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        outcome
    }

    fn pick_address(&mut self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[self.rng.random_range(0..addresses.len())]
    }

    async fn connect(&mut self, options: &str) -> Option<tokio_postgres::Client> {
        let address = self.pick_address();
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("kalkbok");
        config.dbname(cluster::GROUP).options(options);
        let connecting = tokio::time::timeout(ANSWER_TIMEOUT, config.connect(NoTls)).await;
        let (client, connection) = connecting.ok()?.ok()?;
        tokio::spawn(connection);
        Some(client)
    }

    async fn attempt(&mut self, id: &str, key: &str) -> Attempt {
        let options = format!(
            "-c cardamomhold.deadline_ms={DEADLINE_MS} -c cardamomhold.session_token={} \
             -c cardamomhold.request_key={key}",
            self.token
        );
        let Some(client) = self.connect(&options).await else {
            return Attempt::Failed(Outcome::NotRun);
        };
        let insert = format!("INSERT INTO booking VALUES ('{id}')");
        match tokio::time::timeout(ANSWER_TIMEOUT, client.batch_execute(&insert)).await {
            Ok(Ok(())) => {
                let token =
                    tokio::time::timeout(ANSWER_TIMEOUT, cluster::try_session_token(&client)).await;
                Attempt::Done(token.ok().flatten())
            }
            Ok(Err(error)) if is_not_run(&error) => Attempt::Failed(Outcome::NotRun),
            Ok(Err(_)) | Err(_) => Attempt::Failed(Outcome::Unknown),
        }
    }

    /// Reads a booking back through a random instance with the read kind `report`, which
    /// allows a replica.
    async fn read_back(&mut self, id: &str) {
        let options = format!(
            "-c cardamomhold.deadline_ms={DEADLINE_MS} -c cardamomhold.read_kind=report \
             -c cardamomhold.session_token={}",
            self.token
        );
        let Some(client) = self.connect(&options).await else {
            return;
        };
        let select = format!("SELECT id FROM booking WHERE id = '{id}'");
        let Ok(Ok(rows)) = tokio::time::timeout(ANSWER_TIMEOUT, client.simple_query(&select)).await
        else {
            return;
        };
        self.record.reads += 1;
        let is_visible = rows
            .iter()
            .any(|m| matches!(m, tokio_postgres::SimpleQueryMessage::Row(_)));
        if !is_visible {
            self.record.stale_reads.push(format!(
                "{id}: own write not visible with token {}",
                self.token
            ));
        }
    }
}

fn is_not_run(error: &tokio_postgres::Error) -> bool {
    error
        .as_db_error()
        .is_some_and(|e| e.message().starts_with("not run"))
}

/// Reads the rows at the primary, retrying until the read succeeds.
pub async fn await_rows(cluster: &cluster::Cluster) -> Vec<String> {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let client = cluster.connect(0).await;
        match client.query("SELECT id FROM booking", &[]).await {
            Ok(rows) => return rows.iter().map(|row| row.get(0)).collect(),
            Err(error) => {
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "read keeps failing: {error}"
                );
                tokio::time::sleep(time::Duration::from_millis(100)).await;
            }
        }
    }
}
