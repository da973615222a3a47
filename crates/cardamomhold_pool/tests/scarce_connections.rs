//! A member that takes fewer connections than there are instances is shared in time.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::line;
use cardamomhold_pool::member;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;

/// Connections that the member takes.
const CONNECTIONS: usize = 73;

/// Instances before it.
const INSTANCES: usize = 146;

/// Time that a piece of work takes.
const WORK: time::Duration = time::Duration::from_millis(20);

/// Time between two pieces of work of one instance.
const EVERY: time::Duration = time::Duration::from_millis(1_900);

fn ask(id: u64, deadline: Timestamp) -> line::Ask {
    line::Ask {
        id,
        rank: 0,
        want: line::Want::Primary,
        avoid: Vec::new(),
        deadline,
    }
}

/// A link that says when it is closed.
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
    crowded: usize,
}

impl World {
    fn new() -> Self {
        let member = name::MemberName::parse("db-1").unwrap();
        let mut pools = Vec::new();
        for at in 0..INSTANCES {
            let mut pool = pool::Pool::new();
            let info = member::MemberInfo {
                name: &member,
                is_near: at % 3 == 0,
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
            crowded: 0,
        }
    }

    /// Carries out what one pool decides; returns the connections that are lent.
    fn poll(&mut self, at: usize, now: Timestamp) -> Vec<Link> {
        let mut lent = Vec::new();
        for decision in self.pools[at].poll(now, true) {
            match decision {
                pool::Decision::Grant(grant) => match grant.link {
                    Some(link) => lent.push(link),
                    None if self.open.get() < CONNECTIONS => {
                        self.open.set(self.open.get() + 1);
                        self.pools[at].opened(&self.member);
                        lent.push(Link(self.open.clone()));
                    }
                    None => {
                        self.crowded += 1;
                        let ended = pool::Ended::Crowded;
                        self.pools[at].give_back(now, &self.member, None, ended);
                        let deadline = now.after(time::Duration::from_millis(400));
                        self.pools[at].ask(ask(grant.id, deadline));
                    }
                },
                pool::Decision::Refuse { .. } => self.refused += 1,
            }
        }
        self.served += lent.len();
        lent
    }

    /// A minute of work, in steps of a millisecond.
    fn play(&mut self) {
        let mut running = std::collections::VecDeque::new();
        for ms in 0..60_000 {
            let now = Timestamp::from_millis(ms);
            while running.front().is_some_and(|(until, _, _)| *until <= now) {
                let (_, at, link) = running.pop_front().unwrap();
                let ended = pool::Ended::Answered(WORK);
                let pool: &mut pool::Pool<Link> = &mut self.pools[at];
                pool.give_back(now, &self.member, Some(link), ended);
            }
            for at in 0..INSTANCES {
                let shift = at as u64 * 13 % EVERY.as_millis() as u64;
                if (ms + shift).is_multiple_of(EVERY.as_millis() as u64) {
                    let deadline = now.after(time::Duration::from_millis(400));
                    self.pools[at].ask(ask(ms, deadline));
                }
                let is_due = self.pools[at].wake(now).is_some_and(|w| w <= now);
                if !is_due && self.pools[at].waiting() == 0 {
                    continue;
                }
                for link in self.poll(at, now) {
                    running.push_back((now.after(WORK), at, link));
                }
            }
        }
    }
}

/// All work is served, and few attempts to connect are turned away.
#[test]
fn all_get_through() {
    let mut world = World::new();
    world.play();
    println!(
        "served={} refused={} crowded={}",
        world.served, world.refused, world.crowded
    );
    assert!(world.served > 4_000, "served {}", world.served);
    assert_eq!(world.refused, 0);
    assert!(world.crowded * 20 < world.served, "{}", world.crowded);
}

/// Where there are enough connections, each instance keeps its own.
#[test]
fn own_connections_stay() {
    let member = name::MemberName::parse("db-1").unwrap();
    let mut pool = pool::Pool::new();
    let info = member::MemberInfo {
        name: &member,
        is_near: false,
        is_ready: true,
        share: share::Share::Owned(3),
    };
    pool.set_members(&[info]);
    pool.set_primary(Some(&member));
    pool.ask(ask(1, Timestamp::from_millis(100)));
    assert_eq!(pool.poll(Timestamp(1), true).len(), 1);
    pool.give_back(Timestamp(2), &member, Some(()), pool::Ended::Answered(WORK));
    assert_eq!(pool.wake(Timestamp(3)), None);
    let late = Timestamp::from_millis(3_600_000);
    pool.ask(ask(2, late.after(WORK)));
    let decisions = pool.poll(late, true);
    assert!(matches!(&decisions[0], pool::Decision::Grant(g) if g.link.is_some()));
}
