//! Writers for the soak, and the oracle that judges what they were told.

use std::collections;
use std::fmt;
use std::net::SocketAddr;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio_postgres::NoTls;

use crate::cluster;

/// Deadline that writers declare, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Time after which a writer gives a connection up.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Attempts of a keyed write before the writer goes on to the next one.
const ATTEMPTS: usize = 60;

/// What a writer was told of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran.
    Acknowledged,
    /// It did not run.
    NotRun,
    /// Nothing certain.
    Unknown,
}

/// Everything that writers were told.
#[derive(Debug, Default)]
pub struct Record {
    writes: collections::BTreeMap<String, Outcome>,
    stale_reads: Vec<String>,
    reads: usize,
}

/// The oracle's judgement.
#[derive(Debug)]
pub struct Verdict {
    /// Counts by what was told.
    pub acknowledged: usize,
    /// Writes said not to have run.
    pub not_run: usize,
    /// Writes without a certain answer.
    pub unknown: usize,
    /// Reads of a session's own writes.
    pub reads: usize,
    /// What must never be.
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
        self.writes.values().filter(|t| **t == outcome).count()
    }

    /// Judges the rows that are there in the end.
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
                _ => violations.push(format!("{id}: told {outcome:?}, there {times} times")),
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

/// One caller that books, reads its own bookings, and roams.
pub struct Writer {
    name: usize,
    is_keyed: bool,
    rng: rand_pcg::Pcg64,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    stop: watch::Receiver<bool>,
    token: String,
    record: Record,
}

/// How one attempt ended.
enum Attempt {
    /// Acknowledged, with the session's token where it could be had.
    Done(Option<String>),
    Failed(Outcome),
}

impl Writer {
    /// A writer; its choices follow the seed.
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

    /// Books until it is told to stop.
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

    /// Reads a booking back through any instance, at a replica where that is possible.
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
            self.record
                .stale_reads
                .push(format!("{id}: own write not seen with {}", self.token));
        }
    }
}

fn is_not_run(error: &tokio_postgres::Error) -> bool {
    error
        .as_db_error()
        .is_some_and(|e| e.message().starts_with("not run"))
}

/// The rows at the primary once the group has settled.
pub async fn await_rows(cluster: &cluster::Cluster) -> Vec<String> {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let client = cluster.connect(0).await;
        match client.query("SELECT id FROM booking", &[]).await {
            Ok(rows) => return rows.iter().map(|row| row.get(0)).collect(),
            Err(error) => {
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "does not settle: {error}"
                );
                tokio::time::sleep(time::Duration::from_millis(100)).await;
            }
        }
    }
}
