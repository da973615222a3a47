//! Callers that write continuously and record the outcome of each write.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio_postgres::NoTls;

use crate::cluster;

/// Creates the table that [`Load`] writes to.
pub async fn create_table(client: &tokio_postgres::Client) {
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
}

/// Outcomes of the callers' writes.
#[derive(Debug, Default)]
pub struct Tally {
    /// Values of the acknowledged writes.
    pub acknowledged: Vec<String>,
    /// Values and errors of the failed writes.
    pub errors: Vec<String>,
    /// Number of connections that the instance closed between two requests.
    pub closed_connections: usize,
}

impl Tally {
    /// Checks that the table contains each acknowledged write once, and no other row.
    pub async fn check(mut self, client: &tokio_postgres::Client) {
        let rows = client.query("SELECT farm FROM booking", &[]).await;
        let mut stored: Vec<String> = rows.expect("rows").iter().map(|r| r.get(0)).collect();
        stored.sort();
        self.acknowledged.sort();
        assert_eq!(stored, self.acknowledged);
    }
}

/// A running load of concurrent callers.
pub struct Load {
    callers: Vec<tokio::task::JoinHandle<Tally>>,
    acknowledged: sync::Arc<atomic::AtomicUsize>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Load {
    /// Starts `callers` callers, spread over the instances at `indices`; a caller whose
    /// connection is closed reconnects to the next of these instances.
    pub fn start(cluster: &cluster::Cluster, indices: &[usize], callers: usize) -> Self {
        let targets: Vec<_> = indices
            .iter()
            .map(|i| cluster.instances[*i].addresses.listen)
            .collect();
        let acknowledged = sync::Arc::new(atomic::AtomicUsize::new(0));
        let stop = tokio::sync::watch::Sender::new(false);
        let mut tasks = Vec::new();
        for number in 0..callers {
            let caller = Caller {
                number,
                targets: targets.clone(),
                acknowledged: acknowledged.clone(),
                stop: stop.subscribe(),
            };
            tasks.push(tokio::spawn(caller.run()));
        }
        Self {
            callers: tasks,
            acknowledged,
            stop,
        }
    }

    /// Waits until `count` more writes have been acknowledged.
    pub async fn await_writes(&self, count: usize) {
        let goal = self.acknowledged.load(atomic::Ordering::SeqCst) + count;
        let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
        while self.acknowledged.load(atomic::Ordering::SeqCst) < goal {
            assert!(
                tokio::time::Instant::now() < deadline,
                "the load makes no progress"
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// Stops each caller after its current request and merges their outcomes.
    pub async fn end(self) -> Tally {
        self.stop.send_replace(true);
        let mut all = Tally::default();
        for caller in self.callers {
            let tally = caller.await.expect("caller ends");
            all.acknowledged.extend(tally.acknowledged);
            all.errors.extend(tally.errors);
            all.closed_connections += tally.closed_connections;
        }
        all
    }
}

struct Caller {
    number: usize,
    targets: Vec<std::net::SocketAddr>,
    acknowledged: sync::Arc<atomic::AtomicUsize>,
    stop: tokio::sync::watch::Receiver<bool>,
}

impl Caller {
    async fn run(self) -> Tally {
        let mut tally = Tally::default();
        let mut target = self.number;
        let mut count = 0;
        while !*self.stop.borrow() {
            let address = self.targets[target % self.targets.len()];
            let mut config = tokio_postgres::Config::new();
            config.host(address.ip().to_string()).port(address.port());
            config.user("kalkbok").dbname(cluster::GROUP);
            let Ok((client, connection)) = config.connect(NoTls).await else {
                target += 1;
                continue;
            };
            tokio::spawn(connection);
            self.write(&client, &mut count, &mut tally).await;
            target += 1;
        }
        tally
    }

    /// Writes until the connection is closed or the load stops.
    async fn write(&self, client: &tokio_postgres::Client, count: &mut usize, tally: &mut Tally) {
        while !*self.stop.borrow() {
            *count += 1;
            let farm = format!("{}/{count}", self.number);
            let insert = format!("INSERT INTO booking VALUES ('{farm}')");
            match client.batch_execute(&insert).await {
                Ok(()) => {
                    self.acknowledged.fetch_add(1, atomic::Ordering::SeqCst);
                    tally.acknowledged.push(farm);
                }
                Err(error) if error.is_closed() || cluster::sqlstate(&error) == "57P01" => {
                    tally.closed_connections += 1;
                    return;
                }
                Err(error) => tally.errors.push(format!("{farm}: {error:?}")),
            }
        }
    }
}
