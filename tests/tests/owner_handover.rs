//! Ownership moves at once when an owner leaves, and soon when it dies.

use std::time;

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::cluster;
use cardamomhold_tests::instance;
use cardamomhold_tests::operator;

const GRACE: time::Duration = time::Duration::from_secs(20);

fn owner(shown: &schema::StatusReply) -> String {
    let members = shown.groups.iter().flat_map(|g| &g.members);
    let mut found = members.filter(|m| m.name == "bookings-a");
    found.next().map(|m| m.owner.clone()).unwrap_or_default()
}

/// A second instance in the zone of the primary, and an operator elsewhere who sees both.
async fn paired() -> (cluster::Cluster, instance::Instance, operator::Operator) {
    let cluster = cluster::Cluster::start().await;
    let seeds = vec![cluster.instances[0].addresses.peer];
    let second = cluster.start_with_seeds("entry-a2", "a", seeds).await;
    let mut operator = operator::connect(cluster.instances[1].addresses.peer).await;
    let both = |s: &schema::StatusReply| s.instances.len() == 4;
    operator::await_status(&mut operator, "four instances", both).await;
    (cluster, second, operator)
}

/// Takes the owner out of the pair; gives the name of the one that stays.
async fn split(
    cluster: &mut cluster::Cluster,
    second: instance::Instance,
    operator: &mut operator::Operator,
) -> (instance::Instance, Option<instance::Instance>, String) {
    let owner = owner(&operator::status(operator).await);
    if owner == second.name {
        return (second, None, "entry-a".to_owned());
    }
    assert_eq!(owner, "entry-a");
    let name = second.name.clone();
    (cluster.remove(0), Some(second), name)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_hands_over() {
    let (mut cluster, second, mut operator) = paired().await;
    let (mut leaver, _kept, heir) = split(&mut cluster, second, &mut operator).await;
    let stopping = tokio::spawn(async move { leaver.stop(GRACE).await });
    let moved = |s: &schema::StatusReply| owner(s) == heir;
    let shown = operator::await_status(&mut operator, "heir", moved).await;
    let is_leaving = shown.instances.iter().any(|i| i.state == "leaving");
    assert!(is_leaving, "announced, not found out: {shown:?}");
    assert_eq!(stopping.await.expect("stops"), 0, "nothing was cut");
    let client = cluster.connect(1).await;
    client.batch_execute("SELECT 1").await.expect("heir serves");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_is_replaced() {
    let (mut cluster, second, mut operator) = paired().await;
    let (mut victim, _kept, heir) = split(&mut cluster, second, &mut operator).await;
    victim.kill();
    let moved = |s: &schema::StatusReply| owner(s) == heir;
    operator::await_status(&mut operator, "heir", moved).await;
    let client = cluster.connect(1).await;
    client.batch_execute("SELECT 1").await.expect("heir serves");
}
