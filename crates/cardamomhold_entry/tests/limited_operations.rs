//! Operations beyond a workspace's limit are refused before they reach a member, at the owner of
//! its connections and at the instance that received them.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::net;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::answer;
use cardamomhold_entry::attempt;
use cardamomhold_entry::call;
use cardamomhold_entry::clock;
use cardamomhold_entry::group;
use cardamomhold_entry::groups;
use cardamomhold_entry::limits;
use cardamomhold_entry::link;
use cardamomhold_entry::link::Connector;
use cardamomhold_entry::link::Link;
use cardamomhold_entry::metrics;
use cardamomhold_entry::owners;
use cardamomhold_entry::peers;
use cardamomhold_entry::relay;
use cardamomhold_entry::session;
use cardamomhold_entry::statement;
use cardamomhold_entry::view;
use cardamomhold_lead::voters;
use cardamomhold_limit::bounds;
use cardamomhold_pool::wait_queue;
use cardamomhold_workspace::access;
use cardamomhold_workspace::directory;
use tokio::net::TcpListener;

/// Operations that one test sends; far more than the limit allows meanwhile.
const OPERATIONS: usize = 60;

const INSTANCES: usize = 60;

/// More than the bucket holds, and what flows in during a test that takes two seconds.
const MAX_SERVED: usize = 24;

fn grant(workspace: &str) -> access::Grant {
    access::Grant {
        workspace: name::WorkspaceName::parse(workspace).unwrap(),
        version: 2,
    }
}

/// The groups of an instance whose workspace `small` has a limit and `free` has none; the instance
/// is the only voter.
async fn limited<C: link::Connector>(
    world: &world::World,
    connector: C,
) -> (limits::Handle, group::Handle<C::Link>) {
    let mut workspaces = directory::Directory::default();
    let limit = directory::Limit {
        rate: 5.0,
        burst: 6.0,
    };
    for (text, limit) in [("small", Some(limit)), ("free", None)] {
        let name = name::WorkspaceName::parse(text).unwrap();
        workspaces.add(directory::Workspace { name, limit }, [text]);
    }
    world.views.send_modify(|view| {
        let mut catalog = (*view.catalog).clone();
        catalog.version += 1;
        catalog.workspaces = Some(sync::Arc::new(workspaces));
        view.catalog = catalog.into();
    });
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let (limits, _) = limits::start(limits::task::Context {
        instance: world.instance.clone(),
        bounds: bounds::Bounds {
            window: time::Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        },
        views: world.views.subscribe(),
        phase: world.phases.subscribe(),
        peers: peers::Peers::open(&world.instance, any, world.traffic().clone())
            .await
            .unwrap(),
        metrics: metrics::Metrics::new().unwrap(),
    });
    let voters = voters::Voters::first([world.instance.clone()].into());
    limits.send(limits::Command::Voters(voters));
    limits.send(limits::Command::Votes);
    let mut groups = groups::start(groups::Context {
        limits: limits.clone(),
        ..world.groups_context(connector)
    });
    let name = world::group_name();
    let group = groups.wait_for(|g| g.contains_key(name.as_str())).await;
    let group = group.unwrap().get(name.as_str()).unwrap().clone();
    // The voter abstains after its start, and then the buckets fill.
    tokio::time::sleep(time::Duration::from_millis(3_200)).await;
    (limits, group)
}

/// Starts an owner of `a` with limits; returns its address.
async fn owner() -> (world::World, limits::Handle, net::SocketAddr) {
    let fleet = world::fleet(INSTANCES);
    let owner = owners::of_member(&fleet, "zone-a", &world::member("a"))[0].clone();
    let world = world::World::with_instance(&owner, INSTANCES);
    let (limits, group) = limited(&world, world.members.clone()).await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let groups: groups::Groups<_> =
        std::rc::Rc::new([(world::group_name(), group)].into_iter().collect());
    let context = relay::owner::Context {
        views: world.views.subscribe(),
        groups: tokio::sync::watch::channel(groups).1,
        phase: world.phases.subscribe(),
        limits: limits.clone(),
        traffic: world.traffic().clone(),
    };
    relay::owner::start(listener, context);
    (world, limits, address)
}

/// Sends a statement of a workspace through an owner.
async fn relay(
    world: &world::World,
    via: net::SocketAddr,
    workspace: &str,
) -> Result<answer::Answer, link::LinkError> {
    let owner = link::Owner {
        name: name::InstanceName::parse("owner").unwrap(),
        address: via,
    };
    let target = link::Target {
        group: world::group_name(),
        member: world::member("a"),
        address: ([127, 0, 0, 1], 1).into(),
        via: Some(owner),
        workspace: None,
    };
    let connector = relay::Connector::new(world.members.clone(), world.traffic());
    let (mut link, _) = connector.open(&target).await.unwrap();
    let deadline = clock::now().after(time::Duration::from_secs(5));
    link.set_priority(link::Priority {
        rank: 0,
        caller: world::caller(),
        grant: Some(grant(workspace)),
        target: deadline,
        deadline,
    });
    let command = link::Command::Pass {
        id: "q1",
        after: None,
        text: "READ x",
    };
    link.call(command).await
}

/// Statements that the members received.
fn received(world: &world::World) -> usize {
    let script = world.members.script.borrow();
    let statements = script.sent.iter().filter(|(_, _, s)| s.contains("READ x"));
    statements.count()
}

/// Guards against an owner that lets operations of other instances pass beyond the limit, or that
/// refuses them in another way than before they ran, with a time to return.
#[test]
fn at_owner() {
    world::run_in_real_time(async {
        let (world, _, via) = owner().await;
        let mut served = 0;
        for _ in 0..OPERATIONS {
            match relay(&world, via, "small").await {
                Ok(answer) => {
                    assert_eq!(answer.code(), None);
                    served += 1;
                }
                Err(link::LinkError::Limited(after)) => assert!(!after.is_zero()),
                Err(error) => panic!("{error}"),
            }
        }
        assert!((1..=MAX_SERVED).contains(&served), "{served}");
        assert_eq!(received(&world), served);
        for _ in 0..OPERATIONS {
            relay(&world, via, "free").await.unwrap();
        }
    });
}

fn request(workspace: &str) -> wait_queue::Request {
    wait_queue::Request {
        grant: Some(grant(workspace)),
        ..world::primary_request(time::Duration::from_secs(5))
    }
}

/// Sends operations of both workspaces; checks how many of them get a connection.
async fn assert_limited<L: link::Link>(group: &group::Handle<L>) {
    for (workspace, expected) in [("small", 1..=MAX_SERVED), ("free", OPERATIONS..=OPERATIONS)] {
        let mut served = 0;
        for _ in 0..OPERATIONS {
            let (reply, granted) = tokio::sync::oneshot::channel();
            let request = request(workspace);
            let message = group::Message::Request { request, reply };
            assert!(group.send(message).is_ok());
            match granted.await.unwrap() {
                Ok(mut checkout) => {
                    checkout.permit.mark_sent();
                    served += 1;
                }
                Err(group::Refusal::Overloaded(after)) => assert!(!after.is_zero()),
                Err(refusal) => panic!("{refusal:?}"),
            }
        }
        assert!(expected.contains(&served), "{workspace}: {served}");
    }
}

/// Guards against operations of this instance's own clients that pass beyond the limit, on the way
/// through its own queue.
#[test]
fn at_entry() {
    world::run_in_real_time(async {
        // One instance owns all members.
        let world = world::World::new(1);
        let (_, group) = limited(&world, world.members.clone()).await;
        assert_limited(&group).await;
    });
}

/// Guards against operations that pass beyond the limit on direct connections, which an instance
/// opens while it reaches no owner.
#[test]
fn without_owner() {
    world::run_in_real_time(async {
        // A port on which nobody listens.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let world = world::World::relayed(closed, INSTANCES);
        let connector = relay::Connector::new(world.members.clone(), world.traffic());
        let (_, group) = limited(&world, connector).await;
        assert_limited(&group).await;
        assert!(world.members.script.borrow().opened() > 0);
    });
}

/// Guards against tokens that are lost with operations that never ran.
#[test]
fn unused_permits() {
    world::run_in_real_time(async {
        let world = world::World::new(1);
        let (limits, _) = limited(&world, world.members.clone()).await;
        let workspace = grant("small").workspace;
        for _ in 0..OPERATIONS {
            let deadline = clock::now().after(time::Duration::from_secs(1));
            let permit = limits.acquire(Some(&workspace), deadline, deadline).await;
            assert!(permit.is_ok());
        }
    });
}

/// Guards against an entry that keeps sending operations to an owner that has refused one.
#[test]
fn entry_remembers() {
    world::run_in_real_time(async {
        let world = world::World::new(1);
        let (limits, _) = limited(&world, world.members.clone()).await;
        let context = attempt::Context {
            limits: limits.clone(),
            ..world.context()
        };
        let route = sync::Arc::new(view::Route {
            group: world::group_name(),
            consistency: view::Consistency::Primary,
            timeout: time::Duration::from_secs(1),
            target: time::Duration::from_millis(250),
            rank: 0,
            is_public: false,
        });
        let grant = grant("small");
        let after = time::Duration::from_secs(30);
        limits.send(limits::Command::Refused(grant.workspace.clone(), after));
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        let deadline = clock::now().after(time::Duration::from_secs(1));
        let call = call::Call {
            id: "q1",
            caller: &world::caller(),
            grant: Some(&grant),
            form: call::Form::Text("READ x"),
            access: statement::Access::Read,
            may_commit: true,
            target: deadline,
            deadline,
        };
        let requirement = wait_queue::Requirement::Primary;
        let session = session::Session::default();
        let started =
            attempt::start(&context, &session, &route, requirement.clone(), None, call).await;
        let failed = started.unwrap_err();
        assert_eq!(failed.code, answer::Code::Busy);
        assert!(failed.retry_after.unwrap() <= time::Duration::from_millis(300));
        assert_eq!(received(&world), 0);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        let started = attempt::start(&context, &session, &route, requirement, None, call).await;
        assert!(started.is_ok());
    });
}
