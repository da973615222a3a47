//! Ownership of an endpoint moves to another instance: while its owner leaves, and after a
//! short time if the owner is killed.

use std::time;

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::cluster;
use cardamomhold_tests::instance;
use cardamomhold_tests::operator;

/// Grace time of a stop, longer than the tests need.
const STOP_GRACE: time::Duration = time::Duration::from_secs(20);

fn owner_of(status: &schema::StatusReply) -> String {
    let members = status.groups.iter().flat_map(|g| &g.members);
    let mut matching = members.filter(|m| m.name == "bookings-a");
    matching.next().map(|m| m.owner.clone()).unwrap_or_default()
}

/// Starts a cluster with a second instance in the primary's zone, and connects an operator
/// to an instance of another zone, which reports both.
async fn start_pair() -> (cluster::Cluster, instance::Instance, operator::Operator) {
    let cluster = cluster::Cluster::start().await;
    let seeds = vec![cluster.instances[0].addresses.peer];
    let second = cluster.start_with_seeds("entry-a2", "a", seeds).await;
    let mut operator = operator::connect(cluster.instances[1].addresses.peer).await;
    let has_four = |s: &schema::StatusReply| s.instances.len() == 4;
    operator::await_status(&mut operator, "four instances", has_four).await;
    (cluster, second, operator)
}

/// Removes the primary's owner from the pair. Returns the owner, the second instance unless it
/// is the owner, and the name of the instance of the pair that remains.
async fn remove_owner(
    cluster: &mut cluster::Cluster,
    second: instance::Instance,
    operator: &mut operator::Operator,
) -> (instance::Instance, Option<instance::Instance>, String) {
    let owner = owner_of(&operator::status(operator).await);
    if owner == second.name {
        return (second, None, "entry-a".to_owned());
    }
    assert_eq!(owner, "entry-a");
    let name = second.name.clone();
    (cluster.remove(0), Some(second), name)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_owner_hands_over() {
    let (mut cluster, second, mut operator) = start_pair().await;
    let (mut leaving, _other, successor) = remove_owner(&mut cluster, second, &mut operator).await;
    let stopping = tokio::spawn(async move { leaving.stop(STOP_GRACE).await });
    let is_moved = |s: &schema::StatusReply| owner_of(s) == successor;
    let status = operator::await_status(&mut operator, "successor as owner", is_moved).await;
    let is_leaving = status.instances.iter().any(|i| i.state == "leaving");
    assert!(
        is_leaving,
        "the leave is announced, not detected: {status:?}"
    );
    assert_eq!(
        stopping.await.expect("stops"),
        0,
        "nothing was open after the grace time"
    );
    let client = cluster.connect(1).await;
    client
        .batch_execute("SELECT 1")
        .await
        .expect("successor serves");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced() {
    let (mut cluster, second, mut operator) = start_pair().await;
    let (mut killed, _other, successor) = remove_owner(&mut cluster, second, &mut operator).await;
    killed.kill();
    let is_moved = |s: &schema::StatusReply| owner_of(s) == successor;
    operator::await_status(&mut operator, "successor as owner", is_moved).await;
    let client = cluster.connect(1).await;
    client
        .batch_execute("SELECT 1")
        .await
        .expect("successor serves");
}
