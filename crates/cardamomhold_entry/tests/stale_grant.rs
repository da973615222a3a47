//! No connection to a replaced primary is handed out once the lease is back.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::clock;
use cardamomhold_entry::group;
use cardamomhold_pool::wait_queue;
use tokio::sync::oneshot;

fn ask(deadline: Timestamp) -> wait_queue::Request {
    wait_queue::Request {
        id: 0,
        rank: 0,
        requirement: wait_queue::Requirement::Primary,
        avoid: Vec::new(),
        deadline,
    }
}

/// The lease comes back together with the news of another primary.
#[test]
fn lease_with_news() {
    world::run(async {
        for _ in 0..64 {
            let mut world = world::World::new(1);
            let group = world.group().await;
            world.end_lease();
            let (reply, granted) = oneshot::channel();
            let deadline = clock::now().after(time::Duration::from_secs(30));
            let ask = ask(deadline);
            assert!(group.send(group::Message::Ask { ask, reply }).is_ok());
            tokio::task::yield_now().await;
            world.views.send_replace(world::view_of("b", 3, 1));
            world.lease(time::Duration::from_secs(30));
            let lent = granted.await.unwrap().unwrap();
            assert_eq!(lent.member, world::member("b"));
        }
    });
}

/// Another primary is named while a connection to the former one is being opened.
#[test]
fn change_while_opening() {
    world::run(async {
        let mut world = world::World::new(1);
        world.members.script.borrow_mut().accept = time::Duration::from_millis(50);
        let group = world.group().await;
        let (reply, granted) = oneshot::channel();
        let deadline = clock::now().after(time::Duration::from_secs(30));
        let ask = ask(deadline);
        assert!(group.send(group::Message::Ask { ask, reply }).is_ok());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
        world.views.send_replace(world::view_of("b", 3, 1));
        let lent = granted.await.unwrap().unwrap();
        if lent.member == world::member("a") {
            assert_eq!(
                lent.change,
                Some(1),
                "the former primary passes for the new one"
            );
        }
    });
}
