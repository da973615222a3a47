//! Connections that an owner holds for another instance's transaction.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::attempt;
use cardamomhold_entry::call;
use cardamomhold_entry::checkout;
use cardamomhold_entry::clock;
use cardamomhold_entry::link;
use cardamomhold_entry::link::Connector;
use cardamomhold_entry::link::Link;
use cardamomhold_entry::metrics;
use cardamomhold_entry::owners;
use cardamomhold_entry::relay;
use cardamomhold_entry::statement;
use cardamomhold_pool::pool;
use tokio::net::TcpListener;

const INSTANCES: usize = 10;

/// Limit of idle transactions in the configuration.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time in which the owner has given an idle connection up.
const RETURN_TIME: time::Duration = time::Duration::from_secs(5);

type RelayLink = relay::Link<world::Member>;

/// Starts an owner of the connections to `a` and opens a transaction there whose first statement
/// has `timeout`.
async fn transaction(timeout: time::Duration) -> (world::World, RelayLink) {
    let fleet = world::fleet(INSTANCES);
    let owner = owners::of_member(&fleet, "zone-a", &world::member("a"))[0].clone();
    let mut world = world::World::with_instance(&owner, INSTANCES);
    world.views.send_modify(|v| {
        let mut catalog = (*v.catalog).clone();
        catalog.idle_timeout = Some(IDLE_TIMEOUT);
        v.catalog = catalog.into();
    });
    world.group().await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = relay::owner::Context {
        views: world.views.subscribe(),
        groups: world.groups.clone(),
        phase: world.phases.subscribe(),
        limits: Default::default(),
        traffic: world.traffic().clone(),
        users: Default::default(),
    };
    relay::owner::start(listener, context);
    let target = link::Target {
        group: world::group_name(),
        member: world::member("a"),
        address: ([127, 0, 0, 1], 1).into(),
        via: Some(link::Owner {
            name: name::InstanceName::parse("owner").unwrap(),
            address,
        }),
        workspace: None,
    };
    let connector = relay::Connector::new(world.members.clone(), world.traffic());
    let (mut link, _) = connector.open(&target).await.unwrap();
    let deadline = clock::now().after(timeout);
    link.set_priority(link::Priority {
        max_wait: None,
        rank: 0,
        caller: world::caller(),
        grant: None,
        target: deadline,
        deadline,
    });
    let begin = link::Command::Begin {
        read_only: false,
        after: None,
    };
    link.prepare(&[begin]).await.unwrap();
    (world, link)
}

fn has_sent(world: &world::World, text: &str) -> bool {
    let script = world.members.script.borrow();
    script.sent.iter().any(|(_, _, sent)| sent.contains(text))
}

/// Guards against a leak: an instance that lost power, or went silent, inside a transaction kept the
/// member's connection and its place in the queue until the owner was restarted.
#[test]
fn silent_instance_loses_connection() {
    world::run_in_real_time(async {
        let (world, link) = transaction(time::Duration::from_secs(5)).await;
        let until = time::Instant::now() + RETURN_TIME;
        while !has_sent(&world, "Rollback") {
            assert!(time::Instant::now() < until, "the connection is held");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        assert_eq!(world.members.script.borrow().open.len(), 0);
        drop(link);
    });
}

/// Guards against statements of a transaction that fail 50 ms after they were sent: they were sent
/// with the deadline of its first statement.
#[test]
fn later_statement_has_own_deadline() {
    world::run_in_real_time(async {
        let first = time::Duration::from_millis(100);
        let (world, link) = transaction(first).await;
        tokio::time::sleep(first + first / 2).await;
        world.members.script.borrow_mut().answer_delay = time::Duration::from_millis(200);
        let grant = pool::Grant {
            max_wait: None,
            id: 1,
            member: world::member("a"),
            is_primary: false,
            after: None,
            link: None,
        };
        let (handle, _receiver) = tokio::sync::mpsc::unbounded_channel();
        let group = checkout::Group {
            handle,
            silent: tokio::sync::watch::channel(Default::default()).1,
        };
        let connection = checkout::Connection::new(link, None);
        let mut checkout = checkout::Checkout::new(connection, None, grant, None, group);
        let deadline = clock::now().after(time::Duration::from_secs(5));
        let call = call::Call {
            id: "q2",
            caller: &world::caller(),
            grant: None,
            form: call::Form::Text("WRITE a 1"),
            access: statement::Access::Write,
            may_commit: false,
            target: deadline,
            deadline,
        };
        let context = attempt::Context {
            views: world.views.subscribe(),
            lease: world.leases.subscribe(),
            groups: tokio::sync::watch::channel(Default::default()).1,
            phase: world.phases.subscribe(),
            limits: Default::default(),
            metrics: metrics::Metrics::new().unwrap(),
        };
        let ran = attempt::run(&context, &world::group_name(), &mut checkout, &call, None).await;
        assert!(ran.is_ok(), "{ran:?}");
    });
}
