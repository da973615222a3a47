//! Statements of one instance on connections that another instance owns.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::answer;
use cardamomhold_entry::attempt;
use cardamomhold_entry::call;
use cardamomhold_entry::checkout;
use cardamomhold_entry::clock;
use cardamomhold_entry::coordinator;
use cardamomhold_entry::group;
use cardamomhold_entry::link;
use cardamomhold_entry::link::Connector;
use cardamomhold_entry::link::Link;
use cardamomhold_entry::metrics;
use cardamomhold_entry::owners;
use cardamomhold_entry::registry;
use cardamomhold_entry::relay;
use cardamomhold_entry::statement;
use cardamomhold_entry::stop;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;
use tokio::net::TcpListener;

/// More instances than a member accepts connections.
const INSTANCES: usize = 60;

type RelayLink = relay::Link<world::Member>;

/// Starts an owner of the connections to `a`; returns it with its address.
async fn owner() -> (world::World, net::SocketAddr) {
    let fleet = world::fleet(INSTANCES);
    let owner = owners::of_member(&fleet, "zone-a", &world::member("a"))[0].clone();
    let mut world = world::World::with_instance(&owner, INSTANCES);
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
    (world, address)
}

fn owner_at(address: net::SocketAddr) -> link::Owner {
    link::Owner {
        name: name::InstanceName::parse("owner").unwrap(),
        address,
    }
}

fn target(member: &str, via: net::SocketAddr) -> link::Target {
    link::Target {
        group: world::group_name(),
        member: world::member(member),
        address: ([127, 0, 0, 1], 1).into(),
        via: Some(owner_at(via)),
        workspace: None,
    }
}

async fn connect(world: &world::World, member: &str, via: net::SocketAddr) -> RelayLink {
    let target = target(member, via);
    let connector = relay::Connector::new(world.members.clone(), world.traffic());
    let (mut link, _) = connector.open(&target).await.unwrap();
    let deadline = clock::now().after(time::Duration::from_secs(20));
    link.set_priority(link::Priority {
        max_wait: None,
        rank: 0,
        caller: world::caller(),
        grant: None,
        target: deadline,
        deadline,
    });
    link
}

fn pass(text: &str) -> link::Command<'_> {
    link::Command::Pass {
        id: "q1",
        after: None,
        text,
    }
}

/// Numbers of the connections on which a command was sent.
fn connections(world: &world::World, text: &str) -> Vec<u64> {
    let script = world.members.script.borrow();
    let sent = script
        .sent
        .iter()
        .filter(|(_, _, sent)| sent.contains(text));
    sent.map(|(_, connection, _)| *connection).collect()
}

/// A connection is used by one client after the other, without session state of the former.
#[test]
fn state_is_cleared() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = connect(&world, "a", via).await;
        let set = link::Command::Set {
            name: "region",
            value: "one",
        };
        first.prepare(&[set]).await.unwrap();
        let answer = first.call(pass("READ x")).await.unwrap();
        assert_eq!(answer.code(), None);
        let mut second = connect(&world, "a", via).await;
        second.call(pass("READ y")).await.unwrap();
        assert_eq!(connections(&world, "READ x"), connections(&world, "READ y"));
        assert_eq!(connections(&world, "Reset"), connections(&world, "READ y"));
    });
}

/// A transaction keeps its connection while another client runs statements.
#[test]
fn transaction_keeps_connection() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = connect(&world, "a", via).await;
        let begin = link::Command::Begin {
            read_only: false,
            after: None,
        };
        first.prepare(&[begin]).await.unwrap();
        let answer = first.call(pass("WRITE a 1")).await.unwrap();
        assert_eq!(answer.state, answer::State::Open);
        let mut second = connect(&world, "a", via).await;
        second.call(pass("READ y")).await.unwrap();
        let ended = first.call(pass("COMMIT")).await.unwrap();
        assert_eq!(ended.state, answer::State::Idle);
        let own = connections(&world, "WRITE a 1");
        assert_eq!(own, connections(&world, "COMMIT"));
        assert_ne!(own, connections(&world, "READ y"));
        // After its end, the connection is available to others again.
        second.call(pass("READ z")).await.unwrap();
        assert_eq!(world.members.script.borrow().open.len(), 0);
    });
}

/// When a client disconnects inside a transaction, the owner rolls the transaction back.
#[test]
fn disconnect_rolls_back() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = connect(&world, "a", via).await;
        let begin = link::Command::Begin {
            read_only: false,
            after: None,
        };
        first.prepare(&[begin]).await.unwrap();
        first.call(pass("WRITE a 1")).await.unwrap();
        drop(first);
        while connections(&world, "Rollback").is_empty() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        assert_eq!(
            connections(&world, "Rollback"),
            connections(&world, "WRITE a 1")
        );
    });
}

/// An instance that doesn't own a member's connections refuses commands for it.
#[test]
fn non_owner_refuses() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let fleet: registry::Instances = world::fleet(INSTANCES);
        let own = world.instance.clone();
        let is_foreign = |m: &&str| {
            let member = name::MemberName::parse(m).unwrap();
            !owners::of_member(&fleet, "zone-a", &member).contains(&&own)
        };
        let foreign = ["b", "c"].into_iter().find(is_foreign).unwrap();
        let mut link = connect(&world, foreign, via).await;
        let refused = link.call(pass("READ x")).await;
        assert!(
            matches!(refused, Err(link::LinkError::Unreachable(_))),
            "{refused:?}"
        );
        assert_eq!(connections(&world, "READ x"), [0_u64; 0]);
    });
}

/// An owner answers a ping without checking out a connection; one that hangs counts as dead.
#[test]
fn owner_answers_ping() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let target = link::Target {
            group: world::group_name(),
            member: world::member("a"),
            address: ([127, 0, 0, 1], 1).into(),
            via: Some(owner_at(via)),
            workspace: None,
        };
        let traffic = world.traffic();
        assert_eq!(relay::ping_owner(via, &target, traffic).await, Some(true));
        let hung = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let hung = hung.local_addr().unwrap();
        assert_eq!(relay::ping_owner(hung, &target, traffic).await, None);
    });
}

/// A member that can't be reached is reported although its owner is alive.
#[test]
fn unreachable_member_reported() {
    world::run_in_real_time(async {
        let (_owner, via) = owner().await;
        let mut world = world::World::relayed(via, INSTANCES);
        let group = world.group().await;
        world
            .members
            .script
            .borrow_mut()
            .unreachable
            .insert(world::member("a"));
        let unresponsive = group::Message::Unresponsive(world::member("a"));
        assert!(group.send(unresponsive).is_ok());
        loop {
            let event = world.events.recv().await.unwrap();
            if let coordinator::Event::PrimaryObserved {
                member,
                observation,
                ..
            } = event
            {
                assert_eq!(member, world::member("a"));
                assert_eq!(observation, suspicion::Observation::Failed);
                let later =
                    tokio::time::timeout(time::Duration::from_millis(300), world.events.recv());
                if let Ok(Some(coordinator::Event::PrimaryObserved { observation, .. })) =
                    later.await
                {
                    assert_eq!(observation, suspicion::Observation::Failed);
                }
                return;
            }
        }
    });
}

/// An owner that leaves serves those that haven't learnt it yet, but answers no ping, so that nobody
/// returns to it. Then it accepts no new statements, and finishes an open transaction.
#[test]
fn stopping_owner_drains() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = connect(&world, "a", via).await;
        let begin = link::Command::Begin {
            read_only: false,
            after: None,
        };
        first.prepare(&[begin]).await.unwrap();
        let target = target("a", via);
        let pinged = relay::ping_owner(via, &target, world.traffic()).await;
        assert_eq!(pinged, Some(true));
        world.phases.send_replace(stop::Phase::Leaving);
        let pinged = relay::ping_owner(via, &target, world.traffic()).await;
        assert_eq!(pinged, None);
        let mut unaware = connect(&world, "a", via).await;
        let served = unaware.call(pass("WRITE c 1")).await.unwrap();
        assert_eq!(served.code(), None);
        world.phases.send_replace(stop::Phase::Ending);
        let mut second = connect(&world, "a", via).await;
        let refused = second.call(pass("WRITE b 1")).await;
        assert!(
            matches!(refused, Err(link::LinkError::Unreachable(_))),
            "{refused:?}"
        );
        first.call(pass("WRITE a 1")).await.unwrap();
        let ended = first.call(pass("COMMIT")).await.unwrap();
        assert_eq!(ended.code(), None);
        assert_eq!(connections(&world, "WRITE b 1"), [0_u64; 0]);
    });
}

/// A write that an owner refused has not run: it fails with a code that allows a retry.
#[test]
fn refused_is_not_run() {
    world::run_in_real_time(async {
        let (owner, via) = owner().await;
        owner.phases.send_replace(stop::Phase::Ending);
        let mut world = world::World::relayed(via, INSTANCES);
        world.group().await;
        let link = connect(&world, "a", via).await;
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
            id: "q1",
            caller: &world::caller(),
            grant: None,
            form: call::Form::Text("WRITE a 1"),
            access: statement::Access::Write,
            may_commit: true,
            target: deadline,
            deadline,
        };
        let context = attempt::Context {
            views: world.views.subscribe(),
            lease: world.leases.subscribe(),
            groups: tokio::sync::watch::channel(Default::default()).1,
            phase: world.phases.subscribe(),
            metrics: metrics::Metrics::new().unwrap(),
            limits: Default::default(),
        };
        let ran = attempt::run(&context, &world::group_name(), &mut checkout, &call, None).await;
        assert_eq!(ran.unwrap_err().code, answer::Code::Aborted);
    });
}
