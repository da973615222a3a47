//! The owner's task of a member with statements of workspaces.

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
use tokio::sync::oneshot;

type Handle = admission::Handle<world::Member>;
type Reply = oneshot::Receiver<Result<admission::Admitted<world::Member>, admission::Refusal>>;

/// Duration of a statement.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

fn owner(members: &world::Members, connections: usize) -> Handle {
    admission::start(admission::Context {
        connector: members.clone(),
        bounds: admission::Bounds {
            slots: 3,
            connections,
            targets: [150, 250, 1_000].map(time::Duration::from_millis),
            target: link::Target {
                group: world::group_name(),
                member: world::member("a"),
                address: ([127, 0, 0, 1], 1).into(),
                via: None,
                workspace: None,
            },
        },
        metrics: metrics::Metrics::new().unwrap(),
    })
}

fn ask(owner: &Handle, text: &str, timeout_ms: u64) -> Reply {
    let now = clock::now();
    let request = admission::Request {
        max_wait: None,
        rank: rank::Rank::Normal,
        caller: name::CallerName::parse(text).unwrap(),
        workspace: Some(name::WorkspaceName::parse(text).unwrap()),
        target: now.after(time::Duration::from_millis(timeout_ms)),
        deadline: now.after(time::Duration::from_millis(timeout_ms)),
    };
    let (reply, admitted) = oneshot::channel();
    owner.send(admission::Message::Admit { request, reply });
    admitted
}

async fn work(admitted: admission::Admitted<world::Member>) {
    tokio::time::sleep(SERVICE_TIME).await;
    admitted.job.finish(Some(true), Some(admitted.connection));
}

async fn settle() {
    tokio::time::sleep(time::Duration::from_millis(2)).await;
}

/// Workspaces of the connections, in the order in which they were opened.
fn opened(members: &world::Members) -> Vec<String> {
    let script = members.script.borrow();
    let workspaces = script.workspaces.values().flatten();
    workspaces.map(ToString::to_string).collect()
}

/// A connection that is opened for a workspace goes to its oldest statement, and then to the next
/// one; guards against a connection for each statement.
#[test]
fn oldest_gets_it() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        members.script.borrow_mut().accept_delay = time::Duration::from_millis(12);
        let owner = owner(&members, 1);
        let first = ask(&owner, "kalk", 5_000);
        let mut second = ask(&owner, "kalk", 5_000);
        let first = first.await.unwrap().unwrap();
        settle().await;
        assert!(second.try_recv().is_err(), "the second one first");
        work(first).await;
        work(second.await.unwrap().unwrap()).await;
        assert_eq!(opened(&members), ["kalk"]);
    });
}

/// Statements that wait for connections don't keep the others from theirs, whatever came first;
/// guards against slots that are held by statements that can't run.
#[test]
fn waiting_blocks_nobody() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members, 50);
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        members.script.borrow_mut().accept_delay = time::Duration::from_millis(450);
        let mut waiting = Vec::new();
        for index in 0..20 {
            waiting.push(ask(&owner, &format!("new-{index}"), 5_000));
        }
        settle().await;
        for _ in 0..3 {
            work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        }
        assert!(waiting.iter_mut().all(|reply| reply.try_recv().is_err()));
        assert_eq!(opened(&members).len(), 1);
    });
}

/// With fewer connections than workspaces all are served in turn, each on a connection of its own
/// workspace.
#[test]
fn all_are_served() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members, 3);
        let mut tasks = Vec::new();
        for round in 0..3 {
            for index in 0..8 {
                let text = format!("w-{index}");
                let reply = ask(&owner, &text, 10_000);
                tasks.push(tokio::task::spawn_local(async move {
                    let mut admitted = reply.await.unwrap().unwrap();
                    let statement = format!("READ {text}-{round}");
                    let pass = link::Command::Pass {
                        id: "q1",
                        after: None,
                        text: &statement,
                    };
                    link::Link::call(&mut admitted.connection.link, pass)
                        .await
                        .unwrap();
                    work(admitted).await;
                }));
            }
        }
        for task in tasks {
            task.await.unwrap();
        }
        let script = members.script.borrow();
        let mut reads = 0;
        for (_, number, command) in &script.sent {
            let workspace = script.workspaces[number].clone().unwrap();
            assert!(command.contains(&format!("READ {workspace}-")), "{command}");
            reads += 1;
        }
        assert_eq!(reads, 24);
        assert!(script.opened() <= 24, "opened {}", script.opened());
    });
}

/// Statements for a member that can't be reached are refused when that is found, not at their
/// deadlines; guards against callers that wait although another way may exist.
#[test]
fn unreachable_refuses() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let unreachable = world::member("a");
        members.script.borrow_mut().unreachable.insert(unreachable);
        let owner = owner(&members, 50);
        let started = clock::now();
        for index in 0..10 {
            let refused = ask(&owner, &format!("w-{index}"), 60_000).await.unwrap();
            assert_eq!(refused.unwrap_err(), admission::Refusal::Unreachable);
        }
        assert!(clock::now().since(started) < time::Duration::from_secs(2));
        assert!(owner.status().is_failing);
        members.script.borrow_mut().unreachable.clear();
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        while owner.check().is_failing {
            settle().await;
        }
        assert_eq!(opened(&members).len(), 1);
    });
}

/// A member that accepts no more connections serves further workspaces on those that it has
/// accepted, one after the other.
#[test]
fn full_member_serves() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members, 50);
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        members.script.borrow_mut().is_full = true;
        let sand = ask(&owner, "sand", 5_000);
        while members.script.borrow().opened() < 2 {
            settle().await;
        }
        // The refused attempt is repeated in the place of the idle connection, which leaves room.
        members.script.borrow_mut().is_full = false;
        work(sand.await.unwrap().unwrap()).await;
        assert_eq!(opened(&members), ["kalk", "sand"]);
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        assert_eq!(opened(&members), ["kalk", "sand", "kalk"]);
    });
}

/// A connection that the member closed while it was idle isn't used, and another one is opened for
/// the same workspace.
#[test]
fn closed_connections_skipped() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members, 50);
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        members.script.borrow_mut().closed.insert(1);
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        assert_eq!(opened(&members), ["kalk", "kalk"]);
    });
}

/// A statement that gets no connection within its time is refused, and nothing is left over: the
/// connection serves others afterwards.
#[test]
fn late_is_refused() {
    world::run_in_real_time(async {
        let members = world::Members::default();
        let owner = owner(&members, 1);
        let held = ask(&owner, "kalk", 5_000).await.unwrap().unwrap();
        let refused = ask(&owner, "sand", 100).await.unwrap();
        assert!(matches!(
            refused.unwrap_err(),
            admission::Refusal::Overloaded(_)
        ));
        work(held).await;
        work(ask(&owner, "kalk", 5_000).await.unwrap().unwrap()).await;
        assert_eq!(opened(&members), ["kalk"]);
    });
}
