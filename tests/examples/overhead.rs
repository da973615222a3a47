//! Compares the latency of statements through an instance with that of a direct connection,
//! in pairs within one run, and measures the throughput of one instance.
//!
//! ```text
//! cargo run --release -p cardamomhold_tests --example overhead
//! ```

use std::time;

use cardamomhold_tests::cluster;
use tokio_postgres::NoTls;

/// Number of measured pairs of a direct and a proxied statement.
const MEASURED_PAIRS: usize = 4_000;

/// Number of pairs that run before the measurement.
const WARM_UP_PAIRS: usize = 400;

/// Number of connections in the throughput measurement.
const CONNECTIONS: usize = 32;

/// Number of statements on each connection in the throughput measurement.
const STATEMENTS_PER_CONNECTION: usize = 1_000;

#[derive(Debug, Clone, Copy)]
enum Statement {
    Read,
    Write,
}

impl Statement {
    fn text(self) -> &'static str {
        match self {
            Self::Read => "SELECT n FROM overhead WHERE n = 1",
            Self::Write => "UPDATE overhead SET n = 1",
        }
    }
}

async fn connect_direct(cluster: &cluster::Cluster) -> tokio_postgres::Client {
    let address = cluster.members[0].address();
    let target = format!(
        "host={} port={} user=x dbname={}",
        address.ip(),
        address.port(),
        cluster::GROUP
    );
    let (client, connection) = tokio_postgres::connect(&target, NoTls)
        .await
        .expect("member");
    tokio::spawn(connection);
    client
}

async fn measure(client: &tokio_postgres::Client, statement: Statement) -> time::Duration {
    let start = time::Instant::now();
    client
        .simple_query(statement.text())
        .await
        .expect("statement");
    start.elapsed()
}

fn percentile(sorted: &[time::Duration], percent: usize) -> u128 {
    sorted[(sorted.len() - 1) * percent / 100].as_micros()
}

async fn compare(cluster: &cluster::Cluster, name: &str, statement: Statement, options: &str) {
    let direct = connect_direct(cluster).await;
    let proxied_client = cluster.connect_with(0, options).await;
    let mut direct_times = Vec::new();
    let mut proxied_times = Vec::new();
    for i in 0..WARM_UP_PAIRS + MEASURED_PAIRS {
        let (a, b) = (
            measure(&direct, statement).await,
            measure(&proxied_client, statement).await,
        );
        if i >= WARM_UP_PAIRS {
            direct_times.push(a);
            proxied_times.push(b);
        }
    }
    direct_times.sort();
    proxied_times.sort();
    for percent in [50, 99] {
        let (a, b) = (
            percentile(&direct_times, percent),
            percentile(&proxied_times, percent),
        );
        println!(
            "{name:<14} p{percent}: direct {a} us, through {b} us, overhead {} us, ratio {:.2}",
            b.saturating_sub(a),
            b as f64 / a as f64
        );
    }
}

async fn load(cluster: &cluster::Cluster, name: &str, statement: Statement, options: &str) {
    let mut tasks = Vec::new();
    let start = time::Instant::now();
    for _ in 0..CONNECTIONS {
        let client = cluster.connect_with(0, options).await;
        tasks.push(tokio::spawn(async move {
            for _ in 0..STATEMENTS_PER_CONNECTION {
                measure(&client, statement).await;
            }
        }));
    }
    for task in tasks {
        task.await.expect("load");
    }
    let rate = (CONNECTIONS * STATEMENTS_PER_CONNECTION) as f64 / start.elapsed().as_secs_f64();
    println!("{name:<14} {rate:.0} statements/s through one instance on one thread");
}

#[tokio::main]
async fn main() {
    let cluster = cluster::Cluster::start().await;
    let setup = cluster.connect(0).await;
    setup
        .batch_execute("CREATE TABLE overhead (n BIGINT)")
        .await
        .expect("create");
    setup
        .batch_execute("INSERT INTO overhead VALUES (1)")
        .await
        .expect("insert");
    let report = "-c cardamomhold.read_kind=report";
    compare(&cluster, "primary read", Statement::Read, "").await;
    compare(&cluster, "replica read", Statement::Read, report).await;
    compare(&cluster, "write", Statement::Write, "").await;
    load(&cluster, "primary read", Statement::Read, "").await;
    load(&cluster, "write", Statement::Write, "").await;
}
