//! Instances get tokens from one another over their datagram sockets.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::clock;
use cardamomhold_entry::coordinator;
use cardamomhold_entry::limits;
use cardamomhold_entry::message;
use cardamomhold_entry::metrics;
use cardamomhold_entry::peers;
use cardamomhold_entry::registry;
use cardamomhold_entry::stop;
use cardamomhold_entry::traffic;
use cardamomhold_entry::view;
use cardamomhold_lead::voters;
use cardamomhold_limit::allocator;
use cardamomhold_limit::bounds;
use cardamomhold_workspace::directory;
use tokio::sync::watch;

const RATE: f64 = 40.0;
const BURST: f64 = 20.0;

/// Largest datagram about limits, in bytes.
const MAX_DATAGRAM_LEN: usize = 1_200;

struct Instance {
    limits: limits::Handle,
    is_cut: rc::Rc<cell::Cell<bool>>,
    /// Keep the task's channels open.
    _views: watch::Sender<view::View>,
    _phases: watch::Sender<stop::Phase>,
}

fn workspace() -> name::WorkspaceName {
    name::WorkspaceName::parse("small").unwrap()
}

/// Returns different free addresses. The sockets stay open until all are found: a port of a closed
/// one may be found again.
fn free_addresses(count: usize) -> Vec<net::SocketAddr> {
    let bind = |_| net::UdpSocket::bind(("127.0.0.1", 0)).unwrap();
    let sockets: Vec<_> = (0..count).map(bind).collect();
    sockets.iter().map(|s| s.local_addr().unwrap()).collect()
}

/// The view of instances that know one workspace with a limit.
fn view_of(fleet: &registry::Instances) -> view::View {
    let mut workspaces = directory::Directory::default();
    let limit = Some(directory::Limit {
        rate: RATE,
        burst: BURST,
    });
    let name = workspace();
    workspaces.add(directory::Workspace { name, limit }, ["key"]);
    let catalog = view::Catalog {
        version: 1,
        workspaces: Some(sync::Arc::new(workspaces)),
        ..view::Catalog::default()
    };
    view::View {
        catalog: catalog.into(),
        fleet: sync::Arc::new(fleet.clone()),
        ..view::View::default()
    }
}

/// Starts instances that are all voters; what a cut one sends or should receive is lost.
async fn start(count: usize) -> Vec<Instance> {
    let mut fleet = registry::Instances::new();
    for (number, address) in free_addresses(count).into_iter().enumerate() {
        let name = name::InstanceName::parse(&format!("entry-{number}")).unwrap();
        let entry = registry::Entry {
            address,
            zone: format!("zone-{number}"),
        };
        fleet.insert(name, entry);
    }
    let voters = voters::Voters::first(fleet.keys().cloned().collect());
    let cuts: collections::BTreeMap<_, rc::Rc<cell::Cell<bool>>> = fleet
        .keys()
        .map(|name| (name.clone(), rc::Rc::default()))
        .collect();
    let mut instances = Vec::new();
    for (name, entry) in &fleet {
        let (views, view) = watch::channel(view_of(&fleet));
        let (phases, phase) = watch::channel(stop::Phase::Serving);
        let peers = peers::Peers::open(name, entry.address, traffic::Traffic::new().unwrap())
            .await
            .unwrap();
        let (coordinator, mut events) = coordinator::mailbox();
        peers.listen(coordinator);
        let (limits, _) = limits::start(limits::task::Context {
            instance: name.clone(),
            bounds: bounds::Bounds {
                window: time::Duration::from_secs(5),
                overshoot: 0.1,
                slack: 20.0,
            },
            views: view,
            phase,
            peers,
            metrics: metrics::Metrics::new().unwrap(),
        });
        limits.send(limits::Command::Voters(voters.clone()));
        limits.send(limits::Command::Votes);
        let is_cut = cuts[name].clone();
        let instance = Instance {
            limits: limits.clone(),
            is_cut: is_cut.clone(),
            _views: views,
            _phases: phases,
        };
        instances.push(instance);
        let cuts = cuts.clone();
        tokio::task::spawn_local(async move {
            while let Some(event) = events.recv().await {
                let coordinator::Event::Datagram(_, envelope) = event else {
                    continue;
                };
                let is_lost = is_cut.get() || cuts[&envelope.from].get();
                if let message::Message::Limits(message) = envelope.message
                    && !is_lost
                {
                    limits.send(limits::Command::Received(envelope.from, message));
                }
            }
        });
    }
    instances
}

/// Sends operations for a while, one after the other; returns how many may run.
async fn permitted(instance: &Instance, span: time::Duration) -> usize {
    let end = clock::now().after(span);
    let workspace = workspace();
    let mut count = 0;
    while clock::now() < end {
        let target = clock::now().after(time::Duration::from_millis(250));
        let acquired = instance.limits.acquire(Some(&workspace), target, target);
        match acquired.await {
            Ok(mut permit) => {
                permit.mark_sent();
                count += 1;
            }
            Err(_) => tokio::time::sleep(time::Duration::from_millis(5)).await,
        }
    }
    count
}

/// Guards against an instance that gets no tokens from another one, and against more tokens than
/// the bucket holds.
#[test]
fn shared_bucket() {
    world::run_in_real_time(async {
        let instances = start(3).await;
        tokio::time::sleep(time::Duration::from_millis(3_000)).await;
        let begun = clock::now();
        let span = time::Duration::from_millis(1_500);
        let (a, b, c) = tokio::join!(
            permitted(&instances[0], span),
            permitted(&instances[1], span),
            permitted(&instances[2], span)
        );
        let seconds = clock::now().since(begun).as_secs_f64();
        assert!(a > 0 && b > 0 && c > 0, "{a} {b} {c}");
        let bound = BURST + RATE * (seconds + 0.5);
        assert!((a + b + c) as f64 <= bound, "{a} {b} {c}, bound {bound}");
    });
}

/// Guards against a fleet without tokens after the loss of the instance that granted them, and
/// against a holder that goes on without the voters.
#[test]
fn holder_cut() {
    world::run_in_real_time(async {
        let instances = start(3).await;
        tokio::time::sleep(time::Duration::from_millis(2_500)).await;
        // The first in the order holds the tenure.
        instances[0].is_cut.set(true);
        tokio::time::sleep(time::Duration::from_millis(4_500)).await;
        let span = time::Duration::from_millis(1_000);
        let (cut, other) = tokio::join!(
            permitted(&instances[0], span),
            permitted(&instances[1], span)
        );
        assert!(other > 0);
        // Its part of the reserve: ten operations in a window, among three instances.
        assert!(cut <= 4, "{cut}");
    });
}

/// Guards against datagrams that grow with the number of workspaces.
#[test]
fn short_datagrams() {
    let name = name::InstanceName::parse(&"i".repeat(name::MAX_NAME_LEN)).unwrap();
    let mut wanted = Vec::new();
    for number in 0..16 {
        let text = format!("{number:0width$}", width = name::MAX_NAME_LEN);
        wanted.push(allocator::Wanted {
            workspace: name::WorkspaceName::parse(&text).unwrap(),
            waiting: 100,
            likely: 100,
            possible: 100,
        });
    }
    let request = allocator::Request {
        incarnation: u64::MAX,
        number: u64::MAX,
        wanted,
    };
    let envelope = message::Envelope {
        from: name,
        message: message::Message::Limits(cardamomhold_limit::message::Message::Tokens(request)),
    };
    let bytes = postcard::to_stdvec(&envelope).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_LEN, "{}", bytes.len());
}
