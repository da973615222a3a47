//! The trials, and what they share.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crate::Folder;
use crate::json::{self, Json};
use crate::member::Service;
use crate::record::Record;
use crate::store::Store;

pub mod config;
pub mod fence;
pub mod recover;
pub mod replaced;

/// A platform with its services, and the folder for settings and logs.
pub struct World {
    pub store: Arc<Store>,
    pub site: crate::node::Site,
    pub services: Vec<Service>,
    pub folder: Folder,
}

impl World {
    /// Starts the stand-ins; each service has one member a zone.
    pub fn start(record: &Record, services: &[(&str, [&str; 3])]) -> std::io::Result<Self> {
        let mut started = Vec::new();
        for (name, ids) in services {
            started.push(Service::start(name, ids, record)?);
        }
        let known: Arc<OnceLock<Vec<Service>>> = Arc::new(OnceLock::new());
        let _ = known.set(started.clone());
        let promote = move |service: &str, id: &str| {
            let services = known.get().map(Vec::as_slice).unwrap_or_default();
            services
                .iter()
                .find(|s| s.name == service)
                .is_some_and(|s| s.promote(id))
        };
        let (store, store_address, cloud) = Store::start(record.clone(), Box::new(promote))?;
        let folder =
            std::env::temp_dir().join(format!("cardamomhold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let world = Self {
            store,
            site: crate::node::Site {
                folder: folder.clone(),
                store: store_address,
                cloud,
                record: record.clone(),
            },
            services: started,
            folder: Folder(folder),
        };
        world.keep_registered();
        Ok(world)
    }

    /// Writes the members' entries, and keeps them up to date: the entry of a member that doesn't
    /// run is removed after three ping intervals.
    fn keep_registered(&self) {
        let store = self.store.clone();
        let services = self.services.clone();
        let zones = ["z-a", "z-b", "z-c"];
        register(&store, &services, &zones);
        std::thread::spawn(move || {
            let mut gone: std::collections::BTreeMap<String, std::time::Instant> =
                Default::default();
            loop {
                std::thread::sleep(Duration::from_millis(100));
                register(&store, &services, &zones);
                for service in &services {
                    for id in service.stopped() {
                        let since = *gone
                            .entry(id.clone())
                            .or_insert_with(std::time::Instant::now);
                        if since.elapsed() > Duration::from_millis(3 * 1200)
                            && store.get("servers", &id).is_some()
                        {
                            store.remove("servers", &id);
                        }
                    }
                }
            }
        });
    }
}

fn register(store: &Store, services: &[Service], zones: &[&str]) {
    for service in services {
        for (index, (id, address, is_primary)) in service.entries() {
            let role = if is_primary { "primary" } else { "replica" };
            let entry = json::object(&[
                ("service", json::text(&service.name)),
                ("address", json::text(&address.to_string())),
                ("zone", json::text(zones[index % zones.len()])),
                ("version", json::text("v1")),
                ("slots", json::number(3)),
                ("state", json::text("ready")),
                ("coldLeftMs", json::number(0)),
                ("dbRole", json::text(role)),
                ("seqNo", json::number(1)),
                ("born", json::number(1_700_000_000_000)),
            ]);
            store.put("servers", &id, entry);
        }
    }
}

/// A configuration in full: each route is a database's name, its kind and its service.
pub fn config(version: u64, routes: &[(&str, &str, &str)], services: &[&str]) -> Json {
    let mut list = Vec::new();
    for (host, kind, service) in routes {
        list.push(json::object(&[
            ("name", json::text(&format!("r-{host}"))),
            ("host", json::text(host)),
            ("routeKind", json::text(kind)),
            ("timeoutMs", json::number(800)),
            ("targetLatencyMs", json::number(150)),
            ("priority", json::number(0)),
            ("service", json::text(service)),
            ("maxStalenessMs", json::number(1500)),
        ]));
    }
    let mut groups = Vec::new();
    for service in services {
        groups.push(json::object(&[
            ("name", json::text(service)),
            ("maxConns", json::number(47)),
            ("syncReplicas", json::number(0)),
        ]));
    }
    json::object(&[
        ("version", json::number(version)),
        ("routes", Json::List(list)),
        ("services", Json::List(groups)),
        ("limits", json::object(&[("txIdleMs", json::number(3000))])),
    ])
}
