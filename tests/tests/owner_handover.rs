//! Ownership moves at once when an owner leaves, and soon when it dies.

use std::time;

use cardamomhold_proto::operator as schema;
use cardamomhold_tests::bed;
use cardamomhold_tests::instance;
use cardamomhold_tests::operate;

const GRACE: time::Duration = time::Duration::from_secs(20);

fn owner(shown: &schema::StatusReply) -> String {
    let members = shown.groups.iter().flat_map(|g| &g.members);
    let mut found = members.filter(|m| m.name == "bookings-a");
    found.next().map(|m| m.owner.clone()).unwrap_or_default()
}

/// A second instance in the zone of the primary, and an operator elsewhere who sees both.
async fn paired() -> (bed::Bed, instance::Instance, operate::Operator) {
    let bed = bed::Bed::start().await;
    let seeds = vec![bed.instances[0].addresses.peer];
    let second = bed.start_seeded("entry-a2", "a", seeds).await;
    let mut operator = operate::connect(bed.instances[1].addresses.peer).await;
    let both = |s: &schema::StatusReply| s.instances.len() == 4;
    operate::await_status(&mut operator, "four instances", both).await;
    (bed, second, operator)
}

/// Takes the owner out of the pair; gives the name of the one that stays.
async fn split(
    bed: &mut bed::Bed,
    second: instance::Instance,
    operator: &mut operate::Operator,
) -> (instance::Instance, Option<instance::Instance>, String) {
    let owner = owner(&operate::status(operator).await);
    if owner == second.name {
        return (second, None, "entry-a".to_owned());
    }
    assert_eq!(owner, "entry-a");
    let name = second.name.clone();
    (bed.take(0), Some(second), name)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_hands_over() {
    let (mut bed, second, mut operator) = paired().await;
    let (mut leaver, _kept, heir) = split(&mut bed, second, &mut operator).await;
    let stopping = tokio::spawn(async move { leaver.stop(GRACE).await });
    let moved = |s: &schema::StatusReply| owner(s) == heir;
    let shown = operate::await_status(&mut operator, "heir", moved).await;
    let is_leaving = shown.instances.iter().any(|i| i.state == "leaving");
    assert!(is_leaving, "announced, not found out: {shown:?}");
    assert_eq!(stopping.await.expect("stops"), 0, "nothing was cut");
    let client = bed.connect(1).await;
    client.batch_execute("SELECT 1").await.expect("heir serves");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_is_replaced() {
    let (mut bed, second, mut operator) = paired().await;
    let (mut victim, _kept, heir) = split(&mut bed, second, &mut operator).await;
    victim.kill();
    let moved = |s: &schema::StatusReply| owner(s) == heir;
    operate::await_status(&mut operator, "heir", moved).await;
    let client = bed.connect(1).await;
    client.batch_execute("SELECT 1").await.expect("heir serves");
}
