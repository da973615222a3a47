//! A paused instance finds out that it is stale, and gets its place back.

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::cluster;
use cardamomhold_tests::operator;

fn owner<'a>(shown: &'a schema::StatusReply, member: &str) -> &'a str {
    let members = shown.groups.iter().flat_map(|g| &g.members);
    let mut found = members.filter(|m| m.name == member);
    found.next().map_or("", |m| m.owner.as_str())
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_rejoins() {
    let cluster = cluster::Cluster::start().await;
    let mut other = operator::connect(cluster.instances[1].addresses.peer).await;
    let before = |s: &schema::StatusReply| owner(s, "bookings-a") == "entry-a";
    operator::await_status(&mut other, "owner", before).await;
    let client = cluster.connect(1).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    let frozen = cluster.instances[0].freeze().await;
    let moved = |s: &schema::StatusReply| !before(s);
    operator::await_status(&mut other, "other owner", moved).await;
    let later = cluster.connect(2).await;
    later
        .execute("INSERT INTO booking VALUES ('while paused')", &[])
        .await
        .expect("the new owner serves");
    drop(frozen);
    operator::await_status(&mut other, "old owner", before).await;
    // Through the instance that was paused, which must have rejoined to own.
    let thawed = cluster.connect(0).await;
    thawed
        .execute("INSERT INTO booking VALUES ('after')", &[])
        .await
        .expect("the old owner serves");
    assert_eq!(cluster::count_rows(&client, "booking").await, 2);
}
