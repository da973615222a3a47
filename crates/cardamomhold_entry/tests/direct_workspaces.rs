//! Workspaces on connections that an instance opens itself, as it reaches no owner.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::checkout;
use cardamomhold_entry::group;
use cardamomhold_entry::groups;
use cardamomhold_entry::relay;
use cardamomhold_workspace::access;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

type Link = relay::Link<world::Member>;

/// Time for which a request is useful.
const TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Starts the group of an instance whose owners can't be reached.
async fn cut_off() -> (world::World, group::Handle<Link>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let world = world::World::relayed(closed, 60);
    let mut groups = groups::start(world.groups_context(relay::Connector::new(
        world.members.clone(),
        world.traffic(),
    )));
    let name = world::group_name();
    let groups = groups.wait_for(|g| g.contains_key(name.as_str()));
    let group = groups.await.unwrap().get(name.as_str()).unwrap().clone();
    (world, group)
}

async fn check_out(group: &group::Handle<Link>, text: &str) -> checkout::Checkout<Link> {
    let (reply, granted) = oneshot::channel();
    let mut request = world::primary_request(TIMEOUT);
    request.grant = Some(access::Grant {
        workspace: name::WorkspaceName::parse(text).unwrap(),
        version: 1,
    });
    let message = group::Message::Request { request, reply };
    assert!(group.send(message).is_ok(), "the group's task has ended");
    granted.await.unwrap().unwrap()
}

/// Each request gets a connection that was opened for its workspace, and uses an idle one of the
/// same workspace; guards against direct connections that are shared by all.
#[test]
fn own_connections_only() {
    world::run_in_real_time(async {
        let (world, group) = cut_off().await;
        for text in ["kalk", "kalk", "sand", "sand", "kalk"] {
            let checkout = check_out(&group, text).await;
            let connection = checkout.connection.as_ref().unwrap();
            assert!(matches!(connection.link, relay::Link::Direct(_)));
            let workspace = name::WorkspaceName::parse(text).unwrap();
            assert_eq!(connection.workspace, Some(workspace));
        }
        let script = world.members.script.borrow();
        let opened = script.workspaces.values().flatten();
        let opened: Vec<&str> = opened.map(|w| w.as_str()).collect();
        assert_eq!(opened, ["kalk", "sand", "kalk"]);
    });
}
