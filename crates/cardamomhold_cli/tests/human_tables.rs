//! Tests of the tables and of the settled status.

use cardamomhold_cli::status;
use cardamomhold_cli::table;
use cardamomhold_proto::operator as schema;

#[test]
fn aligns_columns() {
    let rows = [
        ["bookings".to_owned(), "7".to_owned()],
        ["Örebro".to_owned(), "12".to_owned()],
    ];
    let text = table::render(["NAME", "TERM"], &rows);
    assert_eq!(text, "NAME      TERM\nbookings  7\nÖrebro    12\n");
}

fn member(name: &str, role: &str) -> schema::MemberStatus {
    schema::MemberStatus {
        name: name.to_owned(),
        role: role.to_owned(),
        term: 2,
        reachable: true,
        ..Default::default()
    }
}

fn status_of(members: Vec<schema::MemberStatus>) -> schema::StatusReply {
    let group = schema::GroupStatus {
        name: "bookings".to_owned(),
        term: 2,
        primary: "a".to_owned(),
        members,
        ..Default::default()
    };
    schema::StatusReply {
        groups: vec![group],
        ..Default::default()
    }
}

#[test]
fn settled_requires_primary() {
    let settled = status_of(vec![member("a", "primary"), member("b", "replica")]);
    assert!(status::is_settled(&settled));
    let replica = status_of(vec![member("a", "replica"), member("b", "primary")]);
    assert!(
        !status::is_settled(&replica),
        "another member is the primary"
    );
    let mut stale = member("a", "primary");
    stale.term = 1;
    assert!(!status::is_settled(&status_of(vec![stale])), "an old term");
    let mut unreachable = member("a", "primary");
    unreachable.reachable = false;
    assert!(
        !status::is_settled(&status_of(vec![unreachable])),
        "unreachable"
    );
    let mut changing = status_of(vec![member("a", "primary")]);
    changing.groups[0].wanted = "b".to_owned();
    assert!(!status::is_settled(&changing), "a switchover is under way");
    let mut busy = member("b", "replica");
    busy.draining = true;
    busy.running = 1;
    let draining = status_of(vec![member("a", "primary"), busy]);
    assert!(
        !status::is_settled(&draining),
        "a draining member has running statements"
    );
}

#[test]
fn shows_unreachable_member() {
    let mut unreachable = member("b", "unknown");
    unreachable.reachable = false;
    let text = status::render(&status_of(vec![member("a", "primary"), unreachable]));
    assert!(text.contains("unreachable"), "{text}");
    assert!(text.contains("1/2"), "{text}");
}

#[test]
fn counts_zone_members() {
    let mut first = member("a", "primary");
    first.zone = "north".to_owned();
    let mut second = member("b", "unknown");
    second.zone = "south".to_owned();
    second.reachable = false;
    let mut status = status_of(vec![first, second]);
    for (name, zone, state) in [
        ("i", "north", "alive"),
        ("j", "north", "leaving"),
        ("k", "south", "dead"),
    ] {
        status.instances.push(schema::InstanceStatus {
            name: name.to_owned(),
            zone: zone.to_owned(),
            state: state.to_owned(),
        });
    }
    let zones = status::zones_of(&status);
    let counts = |z: &status::Zone| (z.alive, z.instances, z.reachable, z.members);
    assert_eq!(zones.len(), 2);
    assert_eq!(counts(&zones[0]), (1, 2, 1, 1));
    assert_eq!(counts(&zones[1]), (0, 1, 0, 1));
}
