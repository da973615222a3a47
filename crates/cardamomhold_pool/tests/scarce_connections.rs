//! A member that accepts fewer connections than there are instances serves all of them in
//! turn.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

mod requests;

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;
use cardamomhold_pool::wait_queue;

/// Connections that the member accepts.
const MAX_CONNECTIONS: usize = 73;

/// Instances that send requests to the member.
const INSTANCES: usize = 146;

/// Duration of a request.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

/// Time between two requests of one instance.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(1_900);

fn write(id: u64, deadline: Timestamp) -> wait_queue::Request {
    requests::request(id, wait_queue::Requirement::Primary, deadline)
}

/// A connection that decrements the number of open connections when dropped.
#[derive(Debug)]
struct Link(std::rc::Rc<std::cell::Cell<usize>>);

impl Drop for Link {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct World {
    member: name::MemberName,
    open: std::rc::Rc<std::cell::Cell<usize>>,
    pools: Vec<pool::Pool<Link>>,
    served: usize,
    refused: usize,
    /// Attempts to connect that the member refused.
    refused_connections: usize,
}

impl World {
    fn new() -> Self {
        let member = name::MemberName::parse("db-1").unwrap();
        let mut pools = Vec::new();
        for index in 0..INSTANCES {
            let mut pool = pool::Pool::new();
            let info = member::MemberInfo {
                name: &member,
                is_near: index % 3 == 0,
                is_ready: true,
                share: share::Share::Contended,
            };
            pool.set_members(&[info]);
            pool.set_primary(Some(&member));
            pools.push(pool);
        }
        Self {
            member,
            open: std::rc::Rc::default(),
            pools,
            served: 0,
            refused: 0,
            refused_connections: 0,
        }
    }

    /// Carries out the decisions of one pool; returns the connections that were granted.
    fn poll(&mut self, index: usize, now: Timestamp) -> Vec<Link> {
        let mut granted = Vec::new();
        for decision in self.pools[index].poll(now, true) {
            match decision {
                pool::Decision::Grant(grant) => match grant.link {
                    Some(link) => granted.push(link),
                    None if self.open.get() < MAX_CONNECTIONS => {
                        self.open.set(self.open.get() + 1);
                        self.pools[index].record_opened(&self.member);
                        granted.push(Link(self.open.clone()));
                    }
                    None => {
                        self.refused_connections += 1;
                        let completion = pool::Completion::NoConnection;
                        self.pools[index].release(now, &self.member, None, completion);
                        let deadline = now.after(time::Duration::from_millis(400));
                        self.pools[index].request(write(grant.id, deadline));
                    }
                },
                pool::Decision::Refuse { .. } => self.refused += 1,
            }
        }
        self.served += granted.len();
        granted
    }

    /// Simulates a minute of requests, in steps of a millisecond.
    fn run(&mut self) {
        let mut running = std::collections::VecDeque::new();
        for ms in 0..60_000 {
            let now = Timestamp::from_millis(ms);
            while running.front().is_some_and(|(end, _, _)| *end <= now) {
                let (_, index, link) = running.pop_front().unwrap();
                let completion = pool::Completion::Answered(SERVICE_TIME);
                let pool: &mut pool::Pool<Link> = &mut self.pools[index];
                pool.release(now, &self.member, Some(link), completion);
            }
            for index in 0..INSTANCES {
                let offset = index as u64 * 13 % REQUEST_INTERVAL.as_millis() as u64;
                if (ms + offset).is_multiple_of(REQUEST_INTERVAL.as_millis() as u64) {
                    let deadline = now.after(time::Duration::from_millis(400));
                    self.pools[index].request(write(ms, deadline));
                }
                let is_due = self.pools[index].next_wakeup(now).is_some_and(|w| w <= now);
                if !is_due && self.pools[index].waiting() == 0 {
                    continue;
                }
                for link in self.poll(index, now) {
                    running.push_back((now.after(SERVICE_TIME), index, link));
                }
            }
        }
    }
}

/// All requests are served, and the member refuses few attempts to connect.
#[test]
fn all_are_served() {
    let mut world = World::new();
    world.run();
    println!(
        "served={} refused={} refused_connections={}",
        world.served, world.refused, world.refused_connections
    );
    assert!(world.served > 4_000, "served {}", world.served);
    assert_eq!(world.refused, 0);
    assert!(
        world.refused_connections * 20 < world.served,
        "{}",
        world.refused_connections
    );
}
