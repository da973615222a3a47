//! A paused instance finds out that it is stale, and gets its place back.

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::bed;
use cardamomhold_tests::operate;

fn owner<'a>(shown: &'a schema::StatusReply, member: &str) -> &'a str {
    let members = shown.groups.iter().flat_map(|g| &g.members);
    let mut found = members.filter(|m| m.name == member);
    found.next().map_or("", |m| m.owner.as_str())
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_rejoins() {
    let bed = bed::Bed::start().await;
    let mut other = operate::connect(bed.instances[1].addresses.peer).await;
    let before = |s: &schema::StatusReply| owner(s, "bookings-a") == "entry-a";
    operate::await_status(&mut other, "owner", before).await;
    let client = bed.connect(1).await;
    client
        .batch_execute("CREATE TABLE booking (farm TEXT)")
        .await
        .expect("create");
    let frozen = bed.instances[0].freeze().await;
    let moved = |s: &schema::StatusReply| !before(s);
    operate::await_status(&mut other, "other owner", moved).await;
    let later = bed.connect(2).await;
    later
        .execute("INSERT INTO booking VALUES ('while paused')", &[])
        .await
        .expect("the new owner serves");
    drop(frozen);
    operate::await_status(&mut other, "old owner", before).await;
    // Through the instance that was paused, which must have rejoined to own.
    let thawed = bed.connect(0).await;
    thawed
        .execute("INSERT INTO booking VALUES ('after')", &[])
        .await
        .expect("the old owner serves");
    assert_eq!(bed::count(&client, "booking").await, 2);
}
