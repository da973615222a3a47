//! The queue of a member at the owner of its connections, with work of many instances.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_entry::admission;
use cardamomhold_entry::clock;
use cardamomhold_entry::link;
use cardamomhold_entry::metrics;
use cardamomhold_pool::share;
use tokio::sync::oneshot;

/// Slots of the member.
const SLOTS: usize = 3;

/// Duration of a statement.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

type Handle = admission::Handle<world::Member>;
type Reply = oneshot::Receiver<Result<admission::Admitted<world::Member>, admission::Refusal>>;

fn bounds() -> admission::Bounds {
    admission::Bounds {
        slots: SLOTS,
        connections: share::per_owner(47),
        targets: [150, 250, 1_000].map(time::Duration::from_millis),
        target: link::Target {
            group: world::group_name(),
            member: world::member("a"),
            address: ([127, 0, 0, 1], 1).into(),
            via: None,
            workspace: None,
        },
    }
}

fn owner(members: &world::Members) -> Handle {
    admission::start(admission::Context {
        connector: members.clone(),
        bounds: bounds(),
        metrics: metrics::Metrics::new().unwrap(),
    })
}

fn ask(owner: &Handle, rank: rank::Rank, index: u64, timeout_ms: u64) -> Reply {
    ask_within(owner, rank, index, timeout_ms, None)
}

fn ask_within(
    owner: &Handle,
    rank: rank::Rank,
    index: u64,
    timeout_ms: u64,
    max_wait: Option<time::Duration>,
) -> Reply {
    let now = clock::now();
    let caller = format!("caller-{index}");
    let request = admission::Request {
        max_wait,
        rank,
        caller: name::CallerName::parse(&caller).unwrap(),
        workspace: None,
        target: now.after(time::Duration::from_millis(timeout_ms / 4)),
        deadline: now.after(time::Duration::from_millis(timeout_ms)),
    };
    let (reply, admitted) = oneshot::channel();
    owner.send(admission::Message::Admit { request, reply });
    admitted
}

/// Runs admitted work for the usual time.
async fn work(admitted: admission::Admitted<world::Member>) {
    tokio::time::sleep(SERVICE_TIME).await;
    admitted.job.finish(Some(true), Some(admitted.connection));
}

async fn settle() {
    tokio::time::sleep(time::Duration::from_millis(1)).await;
}

/// The member gets about as many statements at once as it has slots, whatever arrives.
#[test]
fn slots_bound_statements() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        let mut replies = Vec::new();
        for index in 0..20 {
            replies.push(ask(&owner, rank::Rank::Normal, index, 60_000));
        }
        settle().await;
        let mut admitted = Vec::new();
        for reply in &mut replies {
            if let Ok(result) = reply.try_recv() {
                admitted.push(result.unwrap());
            }
        }
        assert_eq!(admitted.len(), SLOTS + 1);
    });
}

/// The most urgent work goes first, whichever arrived first.
#[test]
fn serves_by_rank() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        let mut first = Vec::new();
        for index in 0..=SLOTS as u64 {
            first.push(ask(&owner, rank::Rank::Bulk, index, 60_000));
        }
        settle().await;
        let mut bulk = ask(&owner, rank::Rank::Bulk, 10, 60_000);
        let urgent = ask(&owner, rank::Rank::Urgent, 11, 60_000);
        work(first.remove(0).await.unwrap().unwrap()).await;
        let urgent = urgent.await.unwrap().unwrap();
        assert!(bulk.try_recv().is_err(), "bulk before urgent");
        work(urgent).await;
        work(bulk.await.unwrap().unwrap()).await;
    });
}

/// A transaction keeps its connection, but no slot while its caller is idle.
#[test]
fn idle_callers_free_slots() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        let mut idle = Vec::new();
        for index in 0..8 {
            let reply = ask(&owner, rank::Rank::Normal, index, 60_000);
            let mut admitted = reply.await.unwrap().unwrap();
            admitted.job.pause();
            idle.push(admitted);
        }
        settle().await;
        let next = ask(&owner, rank::Rank::Normal, 9, 60_000).await;
        work(next.unwrap().unwrap()).await;
        for mut admitted in idle {
            admitted.job.resume();
            work(admitted).await;
        }
    });
}

/// What can't be served before its deadline is refused at once, with a time to return that differs
/// between the refusals.
#[test]
fn overload_refuses_early() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        for index in 0..40 {
            let reply = ask(&owner, rank::Rank::Normal, index, 60_000);
            work(reply.await.unwrap().unwrap()).await;
        }
        let started = clock::now();
        let mut tasks = Vec::new();
        for index in 0..200 {
            let reply = ask(&owner, rank::Rank::Normal, index, 400);
            tasks.push(tokio::task::spawn_local(async move {
                match reply.await.unwrap() {
                    Ok(admitted) => {
                        work(admitted).await;
                        None
                    }
                    Err(refusal) => Some((clock::now().since(started), refusal)),
                }
            }));
        }
        let mut refusals = 0;
        let mut early = 0;
        let mut returns = std::collections::BTreeSet::new();
        for task in tasks {
            let Some((at, refusal)) = task.await.unwrap() else {
                continue;
            };
            let admission::Refusal::Overloaded(after) = refusal else {
                panic!("{refusal:?}");
            };
            refusals += 1;
            // A quarter of the target.
            early += usize::from(at < time::Duration::from_millis(25));
            returns.insert(after);
        }
        // 400 ms are enough for 80 statements at most.
        assert!(refusals >= 120, "{refusals} refused");
        assert!(refusals < 200, "none served");
        assert!(early * 10 >= refusals * 9, "{early} of {refusals}");
        assert!(returns.len() * 10 >= refusals * 9, "{returns:?}");
    });
}

/// A read that may wait no longer than at another member is refused at once while the queue is
/// longer, and served when it is empty; guards against reads that queue beside an idle member.
#[test]
fn long_wait_is_refused() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        let max_wait = Some(time::Duration::ZERO);
        let first = ask_within(&owner, rank::Rank::Normal, 0, 60_000, max_wait);
        work(first.await.unwrap().unwrap()).await;
        let mut waiting = Vec::new();
        for index in 1..20 {
            waiting.push(ask(&owner, rank::Rank::Normal, index, 60_000));
        }
        settle().await;
        let refused = ask_within(&owner, rank::Rank::Normal, 20, 60_000, max_wait);
        let refused = refused.await.unwrap().unwrap_err();
        assert_eq!(refused, admission::Refusal::LongWait);
        let wait_ms = owner.status().load.waits_ms[rank::Rank::Normal.index()];
        assert!(wait_ms > 0, "an idle member is reported");
    });
}

/// Connections are opened two at a time, however many statements wait.
#[test]
fn openings_are_paced() {
    world::run(async {
        let members = world::Members::default();
        members.script.borrow_mut().accept_delay = time::Duration::from_millis(12);
        let owner = owner(&members);
        let mut replies = Vec::new();
        for index in 0..20 {
            replies.push(ask(&owner, rank::Rank::Normal, index, 60_000));
        }
        tokio::time::sleep(time::Duration::from_millis(13)).await;
        assert_eq!(members.script.borrow().opened(), 2);
        tokio::time::sleep(time::Duration::from_millis(12)).await;
        assert_eq!(members.script.borrow().opened(), 4);
        drop(replies);
    });
}

/// While a member refuses connections, the owner tries again with growing pauses and not for each
/// statement that waits.
#[test]
fn refused_openings_pause() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        members.script.borrow_mut().is_full = true;
        let owner = owner(&members);
        let mut replies = Vec::new();
        for index in 0..100 {
            replies.push(ask(&owner, rank::Rank::Normal, index, 4_000));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let tried = members.script.borrow().opened();
        assert!(tried <= 16, "tried {tried} times in 2 s");
        drop(replies);
        members.script.borrow_mut().is_full = false;
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        let reply = ask(&owner, rank::Rank::Urgent, 200, 4_000);
        work(reply.await.unwrap().unwrap()).await;
    });
}

/// Work for a member that can't be reached is refused when that is found, not at its deadline.
#[test]
fn unreachable_refuses() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        members
            .script
            .borrow_mut()
            .unreachable
            .insert(world::member("a"));
        let owner = owner(&members);
        let started = clock::now();
        for index in 0..10 {
            let refused = ask(&owner, rank::Rank::Urgent, index, 60_000)
                .await
                .unwrap();
            assert_eq!(refused.unwrap_err(), admission::Refusal::Unreachable);
        }
        assert!(clock::now().since(started) < time::Duration::from_secs(2));
    });
}

/// A connection that the member closed while it was idle isn't used.
#[test]
fn closed_connections_skipped() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members);
        let reply = ask(&owner, rank::Rank::Normal, 1, 60_000);
        work(reply.await.unwrap().unwrap()).await;
        members.script.borrow_mut().closed.insert(1);
        let reply = ask(&owner, rank::Rank::Normal, 2, 60_000);
        work(reply.await.unwrap().unwrap()).await;
        assert_eq!(members.script.borrow().opened(), 2);
    });
}

/// The member counts as silent only when no statement at all is answered.
#[test]
fn silence_needs_all() {
    world::run_in_real_time(async {
        let owner = owner(&world::Members::default());
        let hung = ask(&owner, rank::Rank::Normal, 1, 60_000).await.unwrap();
        for index in 0..30 {
            let reply = ask(&owner, rank::Rank::Normal, index, 60_000);
            work(reply.await.unwrap().unwrap()).await;
        }
        assert!(owner.status().is_answering(clock::now()));
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        assert!(!owner.status().is_answering(clock::now()));
        work(hung.unwrap()).await;
        settle().await;
        assert!(owner.status().is_answering(clock::now()));
    });
}
