//! Work of one instance on connections that another one owns.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

mod world;

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::answer;
use cardamomhold_entry::attempt;
use cardamomhold_entry::call;
use cardamomhold_entry::clock;
use cardamomhold_entry::group;
use cardamomhold_entry::keeper;
use cardamomhold_entry::lent;
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

/// More instances than a member takes connections.
const INSTANCES: usize = 60;

type Borrowed = relay::Relayed<world::Member>;

/// An owner of the connections to a, and where it serves.
async fn owner() -> (world::World, net::SocketAddr) {
    let fleet = world::fleet(INSTANCES);
    let owner = owners::of_member(&fleet, "zone-a", &world::member("a"))[0].clone();
    let mut world = world::World::of(&owner, INSTANCES);
    world.group().await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = relay::owner::Context {
        groups: world.groups.clone(),
        phase: world.phases.subscribe(),
    };
    relay::owner::start(listener, context);
    (world, address)
}

async fn borrow(world: &world::World, member: &str, via: net::SocketAddr) -> Borrowed {
    let target = link::Target {
        group: world::group_name(),
        member: world::member(member),
        address: ([127, 0, 0, 1], 1).into(),
        via: Some(via),
    };
    let connector = relay::Relaying(world.members.clone());
    let (mut link, _) = connector.open(&target).await.unwrap();
    link.assign(0, clock::now().after(time::Duration::from_secs(20)));
    link
}

fn pass(text: &str) -> link::Command<'_> {
    link::Command::Pass {
        id: "q1",
        after: None,
        text,
    }
}

/// Connections on which a command was sent.
fn connections(world: &world::World, text: &str) -> Vec<u64> {
    let script = world.members.script.borrow();
    let sent = script
        .sent
        .iter()
        .filter(|(_, _, sent)| sent.contains(text));
    sent.map(|(_, connection, _)| *connection).collect()
}

/// One connection serves one borrower after the other, and nothing of a session stays.
#[test]
fn state_is_cleared() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = borrow(&world, "a", via).await;
        let set = link::Command::Set {
            name: "tenant",
            value: "one",
        };
        first.prepare(&[set]).await.unwrap();
        let answer = first.call(pass("READ x")).await.unwrap();
        assert_eq!(answer.code(), None);
        let mut second = borrow(&world, "a", via).await;
        second.call(pass("READ y")).await.unwrap();
        assert_eq!(connections(&world, "READ x"), connections(&world, "READ y"));
        assert_eq!(connections(&world, "Reset"), connections(&world, "READ y"));
    });
}

/// A transaction keeps its connection while others work beside it.
#[test]
fn transaction_is_alone() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = borrow(&world, "a", via).await;
        let begin = link::Command::Begin {
            read_only: false,
            after: None,
        };
        first.prepare(&[begin]).await.unwrap();
        let answer = first.call(pass("WRITE a 1")).await.unwrap();
        assert_eq!(answer.state, answer::State::Open);
        let mut second = borrow(&world, "a", via).await;
        second.call(pass("READ y")).await.unwrap();
        let ended = first.call(pass("COMMIT")).await.unwrap();
        assert_eq!(ended.state, answer::State::Idle);
        let own = connections(&world, "WRITE a 1");
        assert_eq!(own, connections(&world, "COMMIT"));
        assert_ne!(own, connections(&world, "READ y"));
        // After its end the connection serves others again.
        second.call(pass("READ z")).await.unwrap();
        assert_eq!(world.members.script.borrow().open.len(), 0);
    });
}

/// A borrower that leaves inside a transaction leaves nothing open.
#[test]
fn borrower_leaves() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = borrow(&world, "a", via).await;
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

/// An instance that does not own a member's connections passes nothing on.
#[test]
fn others_refuse() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let fleet: registry::Instances = world::fleet(INSTANCES);
        let own = world.instance.clone();
        let is_foreign = |m: &&str| {
            let member = name::MemberName::parse(m).unwrap();
            !owners::of_member(&fleet, "zone-a", &member).contains(&&own)
        };
        let foreign = ["b", "c"].into_iter().find(is_foreign).unwrap();
        let mut link = borrow(&world, foreign, via).await;
        let refused = link.call(pass("READ x")).await;
        assert!(
            matches!(refused, Err(link::LinkError::Unreachable(_))),
            "{refused:?}"
        );
        assert_eq!(connections(&world, "READ x"), [0_u64; 0]);
    });
}

/// An owner that lives says so while it has no connection to lend; one that hangs does not.
#[test]
fn owner_lives() {
    world::run_in_real_time(async {
        let (_world, via) = owner().await;
        let mut target = link::Target {
            group: world::group_name(),
            member: world::member("a"),
            address: ([127, 0, 0, 1], 1).into(),
            via: Some(via),
        };
        assert!(relay::is_alive(&target).await);
        let hung = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        target.via = Some(hung.local_addr().unwrap());
        assert!(!relay::is_alive(&target).await);
    });
}

/// A member that can't be reached is reported, though its owner lives.
#[test]
fn dead_behind_owner() {
    world::run_in_real_time(async {
        let (_owner, via) = owner().await;
        let mut world = world::World::relayed(via, INSTANCES);
        let group = world.group().await;
        world
            .members
            .script
            .borrow_mut()
            .dead
            .insert(world::member("a"));
        let doubted = group::Message::Doubt(world::member("a"));
        assert!(group.send(doubted).is_ok());
        loop {
            let heard = world.heard.recv().await.unwrap();
            if let keeper::Event::Sight { member, sight, .. } = heard {
                assert_eq!(member, world::member("a"));
                assert_eq!(sight, suspicion::Observation::Failed);
                let later =
                    tokio::time::timeout(time::Duration::from_millis(300), world.heard.recv());
                if let Ok(Some(keeper::Event::Sight { sight, .. })) = later.await {
                    assert_eq!(sight, suspicion::Observation::Failed);
                }
                return;
            }
        }
    });
}

/// An owner that leaves begins nothing new, and finishes what it has begun.
#[test]
fn owner_leaves() {
    world::run_in_real_time(async {
        let (world, via) = owner().await;
        let mut first = borrow(&world, "a", via).await;
        let begin = link::Command::Begin {
            read_only: false,
            after: None,
        };
        first.prepare(&[begin]).await.unwrap();
        world.phases.send_replace(stop::Phase::Leaving);
        let mut second = borrow(&world, "a", via).await;
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

/// A write that an owner refused has not run: the caller is told so, or it runs elsewhere.
#[test]
fn refused_is_not_run() {
    world::run_in_real_time(async {
        let (owner, via) = owner().await;
        owner.phases.send_replace(stop::Phase::Leaving);
        let mut world = world::World::relayed(via, INSTANCES);
        world.group().await;
        let link = borrow(&world, "a", via).await;
        let grant = pool::Grant {
            id: 1,
            member: world::member("a"),
            is_primary: false,
            after: None,
            link: None,
        };
        let (group, _kept) = tokio::sync::mpsc::unbounded_channel();
        let mut lent = lent::Lent::new(lent::Wired::new(link), grant, None, group);
        let call = call::Call {
            id: "q1",
            form: call::Form::Text("WRITE a 1"),
            access: statement::Access::Write,
            may_keep: true,
            deadline: clock::now().after(time::Duration::from_secs(5)),
        };
        let context = attempt::Context {
            views: world.views.subscribe(),
            standing: world.standing.subscribe(),
            groups: tokio::sync::watch::channel(Default::default()).1,
            phase: world.phases.subscribe(),
            metrics: metrics::Metrics::new().unwrap(),
        };
        let ran = attempt::run(&context, &world::group_name(), &mut lent, &call, None).await;
        assert_eq!(ran.unwrap_err().code, answer::Code::Aborted);
    });
}
