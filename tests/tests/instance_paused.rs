//! A paused instance detects that its view is stale, rejoins and owns its endpoint again.

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::cluster;
use cardamomhold_tests::operator;

fn owner_of<'a>(status: &'a schema::StatusReply, member: &str) -> &'a str {
    let members = status.groups.iter().flat_map(|g| &g.members);
    let mut matching = members.filter(|m| m.name == member);
    matching.next().map_or("", |m| m.owner.as_str())
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_rejoins() {
    let cluster = cluster::Cluster::start().await;
    let mut other = operator::connect(cluster.instances[1].addresses.peer).await;
    let is_original = |s: &schema::StatusReply| owner_of(s, "bookings-a") == "entry-a";
    operator::await_status(&mut other, "owner", is_original).await;
    let client = cluster.connect(1).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    let freeze = cluster.instances[0].freeze().await;
    let is_other = |s: &schema::StatusReply| !is_original(s);
    operator::await_status(&mut other, "other owner", is_other).await;
    let second_client = cluster.connect(2).await;
    second_client
        .execute("INSERT INTO booking VALUES ('while paused')", &[])
        .await
        .expect("the new owner serves");
    drop(freeze);
    operator::await_status(&mut other, "old owner", is_original).await;
    // Connects through the paused instance, which owns the endpoint only after rejoining.
    let first_client = cluster.connect(0).await;
    first_client
        .execute("INSERT INTO booking VALUES ('after')", &[])
        .await
        .expect("the old owner serves");
    assert_eq!(cluster::count_rows(&client, "booking").await, 2);
}
