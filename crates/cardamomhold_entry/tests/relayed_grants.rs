//! Statements of workspaces at the owner of a member's connections.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_entry::admission;
use cardamomhold_entry::answer;
use cardamomhold_entry::attempt;
use cardamomhold_entry::call;
use cardamomhold_entry::checkout;
use cardamomhold_entry::clock;
use cardamomhold_entry::group;
use cardamomhold_entry::link;
use cardamomhold_entry::link::Connector;
use cardamomhold_entry::link::Link;
use cardamomhold_entry::metrics;
use cardamomhold_entry::owners;
use cardamomhold_entry::relay;
use cardamomhold_entry::relay::frame;
use cardamomhold_entry::session;
use cardamomhold_entry::statement;
use cardamomhold_pool::pool;
use cardamomhold_workspace::access;
use cardamomhold_workspace::directory;
use tokio::net::TcpListener;

const INSTANCES: usize = 60;

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::parse(text).unwrap()
}

/// Starts an owner of the connections to `a`, whose configuration has this version and workspaces.
async fn owner(version: u64, names: &[&str]) -> (world::World, net::SocketAddr) {
    let fleet = world::fleet(INSTANCES);
    let owner = owners::of_member(&fleet, "zone-a", &world::member("a"))[0].clone();
    let mut world = world::World::with_instance(&owner, INSTANCES);
    configure(&world, version, names);
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

fn configure(world: &world::World, version: u64, names: &[&str]) {
    let mut directory = directory::Directory::default();
    for text in names {
        let workspace = directory::Workspace {
            name: workspace(text),
            limit: None,
        };
        directory.add(workspace, []);
    }
    world.views.send_modify(|view| {
        let mut catalog = (*view.catalog).clone();
        catalog.version = version;
        catalog.workspaces = Some(directory.into());
        view.catalog = catalog.into();
    });
}

async fn connect(world: &world::World, via: net::SocketAddr) -> relay::Link<world::Member> {
    let target = link::Target {
        group: world::group_name(),
        member: world::member("a"),
        address: ([127, 0, 0, 1], 1).into(),
        via: Some(link::Owner {
            name: name::InstanceName::parse("owner").unwrap(),
            address: via,
        }),
        workspace: None,
    };
    let connector = relay::Connector::new(world.members.clone(), world.traffic());
    connector.open(&target).await.unwrap().0
}

/// Runs a statement for a workspace that a configuration of this version allows.
async fn run(
    link: &mut relay::Link<world::Member>,
    grant: Option<(&str, u64)>,
    text: &str,
) -> Result<answer::Answer, link::LinkError> {
    run_within(link, grant, None, text).await
}

async fn run_within(
    link: &mut relay::Link<world::Member>,
    grant: Option<(&str, u64)>,
    max_wait: Option<time::Duration>,
    text: &str,
) -> Result<answer::Answer, link::LinkError> {
    let deadline = clock::now().after(time::Duration::from_secs(20));
    let name = grant.map_or("caller", |(workspace, _)| workspace);
    link.set_priority(link::Priority {
        max_wait,
        rank: 0,
        caller: name::CallerName::parse(name).unwrap(),
        grant: grant.map(|(text, version)| access::Grant {
            workspace: workspace(text),
            version,
        }),
        target: deadline,
        deadline,
    });
    let pass = link::Command::Pass {
        id: "q1",
        after: None,
        text,
    };
    link.call(pass).await
}

/// Workspaces of the connections on which a command was sent.
fn workspaces(world: &world::World, text: &str) -> Vec<Option<name::WorkspaceName>> {
    let script = world.members.script.borrow();
    let sent = script
        .sent
        .iter()
        .filter(|(_, _, sent)| sent.contains(text));
    let numbers = sent.map(|(_, number, _)| number);
    numbers.map(|n| script.workspaces[n].clone()).collect()
}

/// Statements of several workspaces on one connection between instances run on connections of their
/// own workspaces, which are used again.
#[test]
fn own_connections_only() {
    world::run_in_real_time(async {
        let (world, via) = owner(3, &["kalk", "sand"]).await;
        let mut link = connect(&world, via).await;
        for round in 0..4 {
            for text in ["kalk", "sand"] {
                let statement = format!("READ {text}{round}");
                run(&mut link, Some((text, 3)), &statement).await.unwrap();
                assert_eq!(workspaces(&world, &statement), [Some(workspace(text))]);
            }
        }
        assert_eq!(world.members.script.borrow().opened(), 2);
    });
}

/// An owner with a newer configuration refuses a workspace that it doesn't know, and one without a
/// grant; nothing is sent to the member, and the connection between the instances goes on.
#[test]
fn newer_owner_refuses() {
    world::run_in_real_time(async {
        let (world, via) = owner(3, &["kalk"]).await;
        let mut link = connect(&world, via).await;
        for grant in [
            Some(("sand", 2)),
            Some(("sand", 3)),
            Some(("public", 3)),
            None,
        ] {
            let refused = run(&mut link, grant, "WRITE x 1").await;
            assert!(
                matches!(
                    refused,
                    Err(link::LinkError::Refused(answer::Code::Unauthorized))
                ),
                "{grant:?}: {refused:?}"
            );
        }
        assert_eq!(workspaces(&world, "WRITE x 1"), []);
        run(&mut link, Some(("sand", 4)), "READ y").await.unwrap();
        run(&mut link, Some(("kalk", 1)), "READ z").await.unwrap();
        configure(&world, 4, &["kalk"]);
        assert!(run(&mut link, Some(("sand", 4)), "READ y").await.is_err());
        run(&mut link, Some(("kalk", 4)), "READ z").await.unwrap();
    });
}

/// A caller whose workspace the owner doesn't know gets a refusal that allows it to come back, also
/// for a write: nothing ran. Guards against reporting such a write as in doubt.
#[test]
fn refused_is_busy() {
    world::run_in_real_time(async {
        let (owner, via) = owner(3, &["kalk"]).await;
        let world = world::World::new(INSTANCES);
        let grant = access::Grant {
            workspace: workspace("sand"),
            version: 2,
        };
        let deadline = clock::now().after(time::Duration::from_secs(5));
        let caller = world::caller();
        let call = call::Call {
            id: "q1",
            caller: &caller,
            grant: Some(&grant),
            form: call::Form::Text("WRITE x 1"),
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
        let mut link = connect(&world, via).await;
        link.set_priority(link::Priority {
            max_wait: None,
            rank: 0,
            caller: caller.clone(),
            grant: Some(grant.clone()),
            target: deadline,
            deadline,
        });
        let (handle, _receiver) = tokio::sync::mpsc::unbounded_channel();
        let group = checkout::Group {
            handle,
            silent: tokio::sync::watch::channel(Default::default()).1,
        };
        let granted = pool::Grant {
            max_wait: None,
            id: 1,
            member: world::member("a"),
            is_primary: false,
            after: None,
            link: None,
        };
        let connection = checkout::Connection::new(link, None);
        let mut checkout = checkout::Checkout::new(connection, None, granted, None, group);
        let ran = attempt::run(&context, &world::group_name(), &mut checkout, &call, None).await;
        let failure = ran.unwrap_err();
        assert_eq!(failure.code, answer::Code::Busy);
        assert!(failure.retry_after.is_some());
        assert!(checkout.connection.is_some(), "the connection was closed");
        let session = session::Session::default();
        let group = world::group_name();
        let begin = Some(false);
        let prepared = attempt::prepare(&context, &group, &mut checkout, &session, begin, &call);
        let refused = prepared.await.unwrap_err();
        assert!(refused.is_owner_refusal(), "{refused:?}");
        assert!(checkout.connection.is_some(), "the connection was closed");
        assert_eq!(workspaces(&owner, "WRITE x 1"), []);
        assert_eq!(workspaces(&owner, "Begin"), []);
    });
}

/// The header as instances know it that know no grants.
#[derive(serde::Serialize)]
struct FormerHeader<'a> {
    group: &'a str,
    member: &'a str,
    caller: &'a str,
    rank: u8,
    target_us: u64,
}

#[derive(serde::Serialize)]
struct FormerRequest<'a> {
    header: Option<FormerHeader<'a>>,
    left_us: u64,
    body: frame::Body<'a>,
}

fn request(grant: Option<access::Grant>) -> frame::Request<'static> {
    frame::Request {
        header: Some(frame::Header {
            max_wait: None,
            group: world::group_name(),
            member: world::member("a"),
            caller: world::caller(),
            grant,
            rank: 1,
            target_us: 150_000,
        }),
        left_us: 9,
        body: frame::Body::Prepare(vec![link::Command::Reset]),
    }
}

/// A refusal reports the queue of its own member; guards against a busy member that counts as idle
/// because its owner has refused.
#[test]
fn refusal_reports_load() {
    world::run_in_real_time(async {
        let (mut world, via) = owner(3, &["kalk"]).await;
        let mut link = connect(&world, via).await;
        run(&mut link, Some(("kalk", 3)), "READ a").await.unwrap();
        let group = world.group().await;
        let mut waiting = Vec::new();
        for _ in 0..40 {
            let deadline = clock::now().after(time::Duration::from_secs(20));
            let request = admission::Request {
                max_wait: None,
                rank: rank::Rank::Urgent,
                caller: world::caller(),
                workspace: Some(workspace("kalk")),
                target: deadline,
                deadline,
            };
            let (reply, admitted) = tokio::sync::oneshot::channel();
            let member = world::member("a");
            let admit = group::Message::Admit {
                member,
                request,
                reply,
            };
            group.send(admit).unwrap();
            waiting.push(admitted);
        }
        let max_wait = Some(time::Duration::ZERO);
        let refused = run_within(&mut link, Some(("kalk", 3)), max_wait, "READ b").await;
        assert!(
            matches!(refused, Err(link::LinkError::LongWait)),
            "{refused:?}"
        );
        let load = link.report().unwrap().load;
        assert!(load.waits_ms[0] > 0, "{load:?}");
        assert!(workspaces(&world, "READ b").is_empty());
    });
}

/// The longest wait arrives with the grant; guards against an owner that reads one without the
/// other.
#[test]
fn wait_comes_along() {
    let grant = Some(access::Grant {
        workspace: workspace("large"),
        version: 3,
    });
    let max_wait = Some(time::Duration::from_millis(20));
    for (grant, max_wait) in [(grant.clone(), max_wait), (grant, None), (None, max_wait)] {
        let mut sent = request(grant.clone());
        sent.header.as_mut().unwrap().max_wait = max_wait;
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let received: frame::Request<'_> = frame::decode(&bytes).unwrap();
        let header = received.header.unwrap();
        assert_eq!((header.grant, header.max_wait), (grant, max_wait));
    }
}

/// Without workspaces, frames are the same bytes as before; guards against instances that can't
/// understand each other while a deployment is upgraded.
#[test]
fn frames_are_unchanged() {
    let former = FormerRequest {
        header: Some(FormerHeader {
            group: "bookings",
            member: "a",
            caller: "kalkbok",
            rank: 1,
            target_us: 150_000,
        }),
        left_us: 9,
        body: frame::Body::Prepare(vec![link::Command::Reset]),
    };
    let former = postcard::to_stdvec(&former).unwrap();
    assert_eq!(postcard::to_stdvec(&request(None)).unwrap(), former);
    let held = frame::Request {
        header: None,
        ..request(None)
    };
    let former_held = FormerRequest {
        header: None,
        left_us: 9,
        body: frame::Body::Prepare(vec![link::Command::Reset]),
    };
    let former_held = postcard::to_stdvec(&former_held).unwrap();
    assert_eq!(postcard::to_stdvec(&held).unwrap(), former_held);
    assert_eq!(
        postcard::to_stdvec(&answer::Code::Other).unwrap(),
        [13],
        "a code was inserted"
    );
}

/// A grant arrives as it was sent.
#[test]
fn grant_is_carried() {
    let grant = access::Grant {
        workspace: workspace("kalk"),
        version: 77,
    };
    let bytes = postcard::to_stdvec(&request(Some(grant.clone()))).unwrap();
    let decoded: frame::Request<'_> = frame::decode(&bytes).unwrap();
    assert_eq!(decoded.header.unwrap().grant, Some(grant));
}
