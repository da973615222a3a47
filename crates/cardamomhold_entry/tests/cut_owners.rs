//! A cut separates an instance from the owners of members' connections.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::net;
use std::time;

use cardamomhold_entry::group;
use cardamomhold_entry::groups;
use cardamomhold_entry::link;
use cardamomhold_entry::relay;
use cardamomhold_pool::pool;
use tokio::net::TcpListener;

/// Time for which a request is useful.
const TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Instances of the fleet.
const INSTANCES: usize = 60;

type Link = relay::Link<world::Member>;

/// Starts the group of an instance that relays to owners at `address`.
async fn relaying(address: net::SocketAddr) -> (world::World, group::Handle<Link>) {
    let world = world::World::relayed(address, INSTANCES);
    let connector = relay::Connector::new(world.members.clone(), world.traffic());
    let mut groups = groups::start(world.groups_context(connector));
    let name = world::group_name();
    let groups = groups.wait_for(|g| g.contains_key(name.as_str()));
    let group = groups.await.unwrap().get(name.as_str()).unwrap().clone();
    (world, group)
}

/// When no owner can be reached, the instance opens very few connections itself, however many
/// requests wait; and it tries rarely while the member refuses them. With 295 instances in this
/// state, a member with 131 connections is not exhausted by their attempts.
#[test]
fn few_own_connections() {
    world::run_in_real_time(async {
        // A port on which nobody listens.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let (world, group) = relaying(closed).await;
        world.members.script.borrow_mut().is_full = true;
        let mut replies = Vec::new();
        for _ in 0..100 {
            replies.push(world::ask(&group, TIMEOUT));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let tried = world.members.script.borrow().opened();
        assert!(tried > 0, "never tried itself");
        assert!(tried <= 24, "tried {tried} times in 2 s");
    });
}

/// A member that has too many connections may close new ones without an answer. The attempts are
/// then as rare, although the member accepts the probes in between.
#[test]
fn resets_are_no_invitation() {
    world::run_in_real_time(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let (world, group) = relaying(closed).await;
        world.members.script.borrow_mut().resets = true;
        let mut replies = Vec::new();
        for _ in 0..100 {
            replies.push(world::ask(&group, TIMEOUT));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let tried = world.members.script.borrow().opened();
        assert!(tried > 0, "never tried itself");
        assert!(tried <= 24, "tried {tried} times in 2 s");
    });
}

/// While an owner answers but can't open a connection itself, the other instances don't try.
#[test]
fn full_member_left_to_owner() {
    world::run_in_real_time(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (world, group) = relaying(address).await;
        let owner = world::World::with_instance(&world.first_owner("a"), INSTANCES);
        owner.members.script.borrow_mut().resets = true;
        relay::owner::start(
            listener,
            relay::owner::Context {
                views: owner.views.subscribe(),
                groups: owner.groups.clone(),
                phase: owner.phases.subscribe(),
                limits: Default::default(),
                traffic: owner.traffic().clone(),
                users: Default::default(),
            },
        );
        for _ in 0..100 {
            let reply = world::ask(&group, TIMEOUT);
            tokio::task::spawn_local(async move {
                let Ok(Ok(mut checkout)) = reply.await else {
                    return;
                };
                let connection = checkout.connection.as_mut().unwrap();
                let read = link::Command::Pass {
                    id: "q1",
                    after: None,
                    text: "READ x",
                };
                let refused = link::Link::call(&mut connection.link, read).await;
                assert!(refused.is_err());
                checkout.close(pool::Completion::Unserved);
            });
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        assert_eq!(world.members.script.borrow().opened(), 0);
        let tried = owner.members.script.borrow().opened();
        assert!((1..=24).contains(&tried), "the owner tried {tried} times");
    });
}

/// Once the member has room, the requests are served over at most two connections.
#[test]
fn served_without_owner() {
    world::run_in_real_time(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let (world, group) = relaying(closed).await;
        let mut replies = Vec::new();
        for _ in 0..20 {
            replies.push(world::ask(&group, TIMEOUT));
        }
        for reply in replies {
            drop(reply.await.unwrap().unwrap());
        }
        let opened = world.members.script.borrow().opened();
        assert!(opened <= 2, "{opened} connections");
    });
}

/// When the cut ends, the instance returns to the owner without a request of a caller having to
/// find that out.
#[test]
fn returns_to_owner() {
    world::run_in_real_time(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let (world, group) = relaying(address).await;
        drop(world::ask(&group, TIMEOUT).await.unwrap().unwrap());
        let direct = world.members.script.borrow().opened();
        assert_eq!(direct, 1);
        let owner = world::World::with_instance(&world.first_owner("a"), INSTANCES);
        let listener = TcpListener::bind(address).await.unwrap();
        relay::owner::start(
            listener,
            relay::owner::Context {
                views: owner.views.subscribe(),
                groups: owner.groups.clone(),
                phase: owner.phases.subscribe(),
                limits: Default::default(),
                traffic: owner.traffic().clone(),
                users: Default::default(),
            },
        );
        tokio::time::sleep(time::Duration::from_millis(5_000)).await;
        let checkout = world::ask(&group, TIMEOUT).await.unwrap().unwrap();
        let connection = checkout.connection.as_ref().unwrap();
        assert!(matches!(connection.link, relay::Link::Relayed(_)));
    });
}
