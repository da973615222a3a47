//! A connection to a replaced primary isn't granted as one to the current primary.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::clock;
use cardamomhold_entry::group;
use cardamomhold_pool::wait_queue;
use tokio::sync::oneshot;

fn request(deadline: Timestamp) -> wait_queue::Request {
    wait_queue::Request {
        id: 0,
        rank: 0,
        requirement: wait_queue::Requirement::Primary,
        caller: world::caller(),
        grant: None,
        avoid: Vec::new(),
        asked: Vec::new(),
        target: deadline,
        deadline,
    }
}

/// The lease becomes valid at the same time as a new primary is published; the group's task
/// must not grant a connection to the former one.
#[test]
fn new_primary_granted() {
    world::run(async {
        for _ in 0..64 {
            let mut world = world::World::new(1);
            let group = world.group().await;
            world.end_lease();
            let (reply, granted) = oneshot::channel();
            let deadline = clock::now().after(time::Duration::from_secs(30));
            let request = request(deadline);
            assert!(
                group
                    .send(group::Message::Request { request, reply })
                    .is_ok()
            );
            tokio::task::yield_now().await;
            world.views.send_replace(world::view_of("b", 3, 1));
            world.set_lease(time::Duration::from_secs(30));
            let checkout = granted.await.unwrap().unwrap();
            assert_eq!(checkout.member, world::member("b"));
        }
    });
}

/// A new primary is published while a connection to the former one is being opened; the
/// connection must keep the change number of the former leadership.
#[test]
fn keeps_former_change() {
    world::run(async {
        let mut world = world::World::new(1);
        world.members.script.borrow_mut().accept_delay = time::Duration::from_millis(50);
        let group = world.group().await;
        let (reply, granted) = oneshot::channel();
        let deadline = clock::now().after(time::Duration::from_secs(30));
        let request = request(deadline);
        assert!(
            group
                .send(group::Message::Request { request, reply })
                .is_ok()
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
        world.views.send_replace(world::view_of("b", 3, 1));
        let checkout = granted.await.unwrap().unwrap();
        if checkout.member == world::member("a") {
            assert_eq!(
                checkout.change,
                Some(1),
                "a connection to the former primary has the new change number"
            );
        }
    });
}
