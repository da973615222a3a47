//! A test cluster: a platform, a group of three members and one instance in each of three
//! zones.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_daemon::settings;
use cardamomhold_proto::operator;
use cardamomhold_proto::operator::operator_client;
use cardamomhold_standin::endpoint;
use cardamomhold_standin::member;
use cardamomhold_standin::platform;
use tokio_postgres::NoTls;

use crate::instance;

/// Zone names; member `i` and instance `i` are in zone `ZONES[i]`.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Name of the endpoint group, and of the callers' database.
pub const GROUP: &str = "bookings";

/// Longest wait for an expected event before a test fails.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The platform, the members and the instances of a failure test, all on loopback.
pub struct Cluster {
    /// Stand-in for the platform.
    pub platform: platform::Platform,
    /// Stand-ins for the group's members; the first one starts as primary.
    pub members: Vec<endpoint::Endpoint>,
    /// Instances, one in each zone.
    pub instances: Vec<instance::Instance>,
}

/// Changes the options of each member before it starts.
pub type Configure = fn(&mut member::Options);

impl Cluster {
    /// Starts a cluster with default options and waits until every instance serves.
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts a cluster whose members have the options set by `configure`, and waits until
    /// every instance serves.
    pub async fn start_with(configure: Configure) -> Self {
        let platform = platform::Platform::start("127.0.0.1:0")
            .await
            .expect("platform");
        let members = start_members(configure).await;
        platform.store(
            "config/group/bookings",
            group_object(&members, None).as_bytes(),
        );
        let report = r#"{"author":"test","change":"1","spec":{"read_kind":{"staleness_ms":5000}}}"#;
        platform.store("config/read_kind/report", report.as_bytes());
        let mut cluster = Self {
            platform,
            members,
            instances: Vec::new(),
        };
        for zone in ZONES {
            let instance = cluster.start_instance(&format!("entry-{zone}"), zone).await;
            cluster.instances.push(instance);
        }
        cluster.await_serving().await;
        cluster
    }

    /// Settings of an instance that listens on ports chosen by the system.
    pub fn settings(&self, name: &str, zone: &str) -> settings::Settings {
        let any_port = "127.0.0.1:0".parse().expect("address");
        settings::Settings {
            instance: name::InstanceName::parse(name).expect("name"),
            zone: name::ZoneName::parse(zone).expect("name"),
            listen: any_port,
            peer: any_port,
            metrics: any_port,
            platform: self.platform.address(),
            seeds: Vec::new(),
            token_secret: "a secret for tests only".to_owned(),
            memory_mb: 512,
            max_fds: 8_192,
        }
    }

    /// Starts an instance without seeds and adds it to the platform's instance list.
    pub async fn start_instance(&self, name: &str, zone: &str) -> instance::Instance {
        self.start_with_seeds(name, zone, Vec::new()).await
    }

    /// Starts an instance with the given seeds and adds it to the platform's instance list.
    pub async fn start_with_seeds(
        &self,
        name: &str,
        zone: &str,
        seeds: Vec<net::SocketAddr>,
    ) -> instance::Instance {
        let mut settings = self.settings(name, zone);
        settings.seeds = seeds;
        let instance = instance::Instance::start(settings).await;
        self.platform
            .put_instance(name, zone, &instance.addresses.peer.to_string(), false);
        instance
    }

    /// Marks an instance as leaving on the platform's list and removes it from the cluster.
    pub fn remove_leaving(&mut self, index: usize) -> instance::Instance {
        self.mark_leaving(index);
        self.remove(index)
    }

    /// Marks an instance as leaving on the platform's list.
    pub fn mark_leaving(&self, index: usize) {
        let instance = &self.instances[index];
        let peer = instance.addresses.peer.to_string();
        self.platform
            .put_instance(&instance.name, &instance.zone, &peer, true);
    }

    /// Removes an instance from the cluster without ending it; the other instances keep
    /// their indices.
    pub fn remove(&mut self, index: usize) -> instance::Instance {
        let instance = &self.instances[index];
        let addresses = instance.addresses;
        let name = instance.name.clone();
        let zone = instance.zone.clone();
        let ended = instance::Instance::ended(&name, &zone, addresses);
        std::mem::replace(&mut self.instances[index], ended)
    }

    /// Waits until more than `before` statements have requested a slot of a member.
    pub async fn await_slot_request(&self, index: usize, before: usize) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while self.members[index].slot_requests() <= before {
            assert!(
                tokio::time::Instant::now() < deadline,
                "member {index} gets no more statements"
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// Marks one member as draining in the group's configuration, and every other member as
    /// not draining.
    pub fn drain(&self, index: usize) {
        let object = group_object(&self.members, Some(index));
        self.platform
            .store("config/group/bookings", object.as_bytes());
    }

    /// Waits until an instance no longer accepts callers' connections.
    pub async fn await_refusal(&self, index: usize) {
        let address = self.instances[index].addresses.listen;
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            assert!(
                tokio::time::Instant::now() < deadline,
                "instance {index} still accepts callers"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Addresses at which the instances accept callers.
    pub fn listen_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.instances.iter().map(|i| i.addresses.listen).collect()
    }

    async fn await_serving(&self) {
        self.await_membership().await;
        for index in 0..self.instances.len() {
            let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
            loop {
                let client = self.try_connect(index, "").await;
                if let Some(client) = client
                    && client.batch_execute("SELECT 1").await.is_ok()
                {
                    break;
                }
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "instance {index} does not serve"
                );
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until every running instance reports exactly the running instances as alive,
    /// so that all agree on each endpoint's owner.
    pub async fn await_membership(&self) {
        let running = || self.instances.iter().filter(|i| i.is_running());
        let mut expected: Vec<&str> = running().map(|i| i.name.as_str()).collect();
        expected.sort_unstable();
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        for instance in running() {
            while alive_instances(instance).await != expected {
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "{} does not report {expected:?} as alive",
                    instance.name
                );
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }

    async fn try_connect(&self, index: usize, options: &str) -> Option<tokio_postgres::Client> {
        try_connect(self.instances[index].addresses.listen, options).await
    }

    /// Connects a caller to an address.
    pub async fn connect_to(&self, address: net::SocketAddr) -> tokio_postgres::Client {
        try_connect(address, "")
            .await
            .expect("address accepts callers")
    }

    /// Connects a caller to an instance.
    pub async fn connect(&self, index: usize) -> tokio_postgres::Client {
        self.connect_with(index, "").await
    }

    /// Connects a caller to an instance with startup options, such as `-c cardamomhold.rank=bulk`.
    pub async fn connect_with(&self, index: usize, options: &str) -> tokio_postgres::Client {
        self.try_connect(index, options)
            .await
            .expect("instance accepts callers")
    }
}

/// Names of the instances that `instance` reports as alive, sorted; empty if it doesn't
/// answer.
async fn alive_instances(instance: &instance::Instance) -> Vec<String> {
    let address = format!("http://{}", instance.addresses.peer);
    let Ok(mut client) = operator_client::OperatorClient::connect(address).await else {
        return Vec::new();
    };
    let Ok(status) = client.status(operator::StatusRequest {}).await else {
        return Vec::new();
    };
    let instances = status.into_inner().instances;
    let alive = instances.into_iter().filter(|i| i.state == "alive");
    let mut names: Vec<String> = alive.map(|i| i.name).collect();
    names.sort_unstable();
    names
}

async fn try_connect(address: net::SocketAddr, options: &str) -> Option<tokio_postgres::Client> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("kalkbok")
        .dbname(GROUP);
    if !options.is_empty() {
        config.options(options);
    }
    let (client, connection) = config.connect(NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

async fn start_members(configure: Configure) -> Vec<endpoint::Endpoint> {
    let mut members: Vec<endpoint::Endpoint> = Vec::new();
    for zone in ZONES {
        let mut options = member::Options::new(&format!("bookings-{zone}"), GROUP);
        configure(&mut options);
        let initial_role = match members.first() {
            None => endpoint::InitialRole::Primary,
            Some(primary) => endpoint::InitialRole::Replica(primary.address().to_string()),
        };
        members.push(
            endpoint::Endpoint::start(options, "127.0.0.1:0", initial_role)
                .await
                .expect("member"),
        );
    }
    members
}

fn group_object(members: &[endpoint::Endpoint], draining: Option<usize>) -> String {
    let mut specs = Vec::new();
    for (index, (member, zone)) in members.iter().zip(ZONES).enumerate() {
        specs.push(serde_json::json!({
            "name": format!("bookings-{zone}"),
            "zone": zone,
            "address": member.address().to_string(),
            "draining": draining == Some(index),
        }));
    }
    let group = serde_json::json!({
        "members": specs, "slots": 3, "connections": 50, "key_retention_s": 86400,
    });
    serde_json::json!({"author": "test", "change": "1", "spec": {"group": group}}).to_string()
}

/// Reads the session token of a connection.
pub async fn session_token(client: &tokio_postgres::Client) -> String {
    try_session_token(client).await.expect("token")
}

/// Reads the session token of a connection; `None` if the statement fails.
pub async fn try_session_token(client: &tokio_postgres::Client) -> Option<String> {
    let row = client
        .query_one("SHOW cardamomhold.session_token", &[])
        .await
        .ok()?;
    Some(row.get(0))
}

/// SQLSTATE of a failed statement; empty if the error has none.
pub fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map(|c| c.code()).unwrap_or_default()
}

/// Returns a new request key.
pub fn request_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Counts the rows of a table through a connection.
pub async fn count_rows(client: &tokio_postgres::Client, table: &str) -> i64 {
    let row = client
        .query_one(&format!("SELECT count(*) FROM {table}"), &[])
        .await
        .expect("count");
    row.get(0)
}
