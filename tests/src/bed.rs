//! A platform, a group of three members and an instance in each of three zones.

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

/// The zones; member and instance `i` are in zone `i`.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The group's name.
pub const GROUP: &str = "bookings";

/// Longest wait for something that must come.
pub const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Everything that a failure test needs.
pub struct Bed {
    /// The platform.
    pub platform: platform::Platform,
    /// The members; the first one is the first primary.
    pub members: Vec<endpoint::Endpoint>,
    /// The instances.
    pub instances: Vec<instance::Instance>,
}

/// Changes the members' behaviour before they start.
pub type Shape = fn(&mut member::Options);

impl Bed {
    /// Starts everything and waits until every instance serves.
    pub async fn start() -> Self {
        Self::shaped(|_| {}).await
    }

    /// Starts everything with members of a certain behaviour.
    pub async fn shaped(shape: Shape) -> Self {
        let platform = platform::Platform::start("127.0.0.1:0")
            .await
            .expect("platform");
        let members = start_members(shape).await;
        platform.store(
            "config/group/bookings",
            group_object(&members, None).as_bytes(),
        );
        let report = r#"{"author":"test","change":"1","spec":{"read_kind":{"staleness_ms":5000}}}"#;
        platform.store("config/read_kind/report", report.as_bytes());
        let mut bed = Self {
            platform,
            members,
            instances: Vec::new(),
        };
        for zone in ZONES {
            let instance = bed.start_instance(&format!("entry-{zone}"), zone).await;
            bed.instances.push(instance);
        }
        bed.await_owners().await;
        bed
    }

    /// Settings of an instance that listens on any port.
    pub fn settings(&self, name: &str, zone: &str) -> settings::Settings {
        let any = "127.0.0.1:0".parse().expect("address");
        settings::Settings {
            instance: name::InstanceName::parse(name).expect("name"),
            zone: name::ZoneName::parse(zone).expect("name"),
            listen: any,
            peer: any,
            metrics: any,
            platform: self.platform.address(),
            seeds: Vec::new(),
            token_secret: "a secret for tests only".to_owned(),
        }
    }

    /// Starts one instance and puts it on the platform's list.
    pub async fn start_instance(&self, name: &str, zone: &str) -> instance::Instance {
        self.start_seeded(name, zone, Vec::new()).await
    }

    /// Starts one instance that knows peers, and puts it on the platform's list.
    pub async fn start_seeded(
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

    /// Takes an instance out of the bed that the platform's list shows as leaving.
    pub fn leave(&mut self, at: usize) -> instance::Instance {
        self.list_leaving(at);
        self.take(at)
    }

    /// Marks an instance as leaving on the platform's list.
    pub fn list_leaving(&self, at: usize) {
        let instance = &self.instances[at];
        let peer = instance.addresses.peer.to_string();
        self.platform
            .put_instance(&instance.name, &instance.zone, &peer, true);
    }

    /// Takes an instance out of the bed; the other instances keep their places.
    pub fn take(&mut self, at: usize) -> instance::Instance {
        let instance = &self.instances[at];
        let addresses = instance.addresses;
        let name = instance.name.clone();
        let zone = instance.zone.clone();
        let ended = instance::Instance::ended(&name, &zone, addresses);
        std::mem::replace(&mut self.instances[at], ended)
    }

    /// Waits until a member has served more than `before` statements.
    pub async fn await_served(&self, at: usize, before: usize) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while self.members[at].slot_requests() <= before {
            assert!(
                tokio::time::Instant::now() < deadline,
                "member {at} serves nothing"
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// Declares a member as draining.
    pub fn drain(&self, at: usize) {
        let object = group_object(&self.members, Some(at));
        self.platform
            .store("config/group/bookings", object.as_bytes());
    }

    /// Waits until an instance takes no callers any more.
    pub async fn await_refusing(&self, at: usize) {
        let address = self.instances[at].addresses.listen;
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            assert!(
                tokio::time::Instant::now() < deadline,
                "instance {at} still takes callers"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Where callers connect to the instances.
    pub fn listen(&self) -> Vec<std::net::SocketAddr> {
        self.instances.iter().map(|i| i.addresses.listen).collect()
    }

    async fn await_owners(&self) {
        self.await_fleet().await;
        for at in 0..self.instances.len() {
            let deadline = tokio::time::Instant::now() + PATIENCE;
            loop {
                let client = self.try_connect(at, "").await;
                if let Some(client) = client
                    && client.batch_execute("SELECT 1").await.is_ok()
                {
                    break;
                }
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "instance {at} does not serve"
                );
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until every running instance takes the same ones to be alive, so that all
    /// agree on each endpoint's owner.
    pub async fn await_fleet(&self) {
        let running = || self.instances.iter().filter(|i| i.is_running());
        let mut expected: Vec<&str> = running().map(|i| i.name.as_str()).collect();
        expected.sort_unstable();
        let deadline = tokio::time::Instant::now() + PATIENCE;
        for instance in running() {
            while alive_at(instance).await != expected {
                assert!(
                    tokio::time::Instant::now() < deadline,
                    "{} does not see {expected:?}",
                    instance.name
                );
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }

    async fn try_connect(&self, at: usize, options: &str) -> Option<tokio_postgres::Client> {
        try_connect(self.instances[at].addresses.listen, options).await
    }

    /// A caller's connection to an address.
    pub async fn connect_to(&self, address: net::SocketAddr) -> tokio_postgres::Client {
        try_connect(address, "")
            .await
            .expect("address accepts callers")
    }

    /// A caller's connection to an instance.
    pub async fn connect(&self, at: usize) -> tokio_postgres::Client {
        self.connect_with(at, "").await
    }

    /// A caller's connection with startup options, such as `-c cardamomhold.rank=bulk`.
    pub async fn connect_with(&self, at: usize, options: &str) -> tokio_postgres::Client {
        self.try_connect(at, options)
            .await
            .expect("instance accepts callers")
    }
}

/// The instances that one of them takes to be alive.
async fn alive_at(instance: &instance::Instance) -> Vec<String> {
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

async fn start_members(shape: Shape) -> Vec<endpoint::Endpoint> {
    let mut members: Vec<endpoint::Endpoint> = Vec::new();
    for zone in ZONES {
        let mut options = member::Options::new(&format!("bookings-{zone}"), GROUP);
        shape(&mut options);
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
    for (at, (member, zone)) in members.iter().zip(ZONES).enumerate() {
        specs.push(serde_json::json!({
            "name": format!("bookings-{zone}"),
            "zone": zone,
            "address": member.address().to_string(),
            "draining": draining == Some(at),
        }));
    }
    let group = serde_json::json!({
        "members": specs, "slots": 3, "connections": 50, "key_retention_s": 86400,
    });
    serde_json::json!({"author": "test", "change": "1", "spec": {"group": group}}).to_string()
}

/// The session token that a connection shows.
pub async fn token_of(client: &tokio_postgres::Client) -> String {
    try_token(client).await.expect("token")
}

/// The session token, unless the connection has failed.
pub async fn try_token(client: &tokio_postgres::Client) -> Option<String> {
    let row = client
        .query_one("SHOW cardamomhold.session_token", &[])
        .await
        .ok()?;
    Some(row.get(0))
}

/// The SQLSTATE of a failed statement; empty when there was none.
pub fn code_of(error: &tokio_postgres::Error) -> &str {
    error.code().map(|c| c.code()).unwrap_or_default()
}

/// A fresh request key.
pub fn request_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Counts the rows of a table at an instance, at the primary.
pub async fn count(client: &tokio_postgres::Client, table: &str) -> i64 {
    let row = client
        .query_one(&format!("SELECT count(*) FROM {table}"), &[])
        .await
        .expect("count");
    row.get(0)
}
