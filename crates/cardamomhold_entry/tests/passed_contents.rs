//! Objects of the store that instances pass on to one another.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::net;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::contents;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::contents::Replica;
use cardamomhold_entry::contents::Step;
use cardamomhold_entry::store;
use cardamomhold_entry::store::Change;

fn document(name: &str, revision: u64) -> store::Document {
    store::Document {
        name: name.to_owned(),
        revision,
        content: serde_json::json!({ "text": format!("{name}-{revision}") }),
    }
}

fn listed(documents: &[(&str, u64)], revision: u64) -> Replica {
    let mut replica = Replica::default();
    let documents = documents.iter().map(|(n, r)| document(n, *r));
    replica.list(store::Listing {
        documents: documents.collect(),
        revision,
    });
    replica
}

fn names(replica: &Replica) -> Vec<(&str, u64)> {
    let documents = replica.documents().values();
    documents.map(|d| (d.name.as_str(), d.revision)).collect()
}

fn source() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 7))
}

/// Passes on what `to` lacks; `lost` pages of the first answer don't arrive. Returns the number of
/// requests and whether `to` was updated.
fn pass(from: &mut Replica, to: &mut Replica, lost: usize) -> (usize, bool) {
    let mut now = Timestamp::from_millis(1_000);
    let (mut fetch, request) = contents::Fetch::start(now, source(), Kind::Members, to.revision());
    let mut next = Some(request);
    for requests in 0..1_000 {
        let Some(request) = next.take() else {
            now = fetch.due();
            match fetch.check(now) {
                Step::Request(request) => next = Some(request),
                step => panic!("{step:?}"),
            }
            continue;
        };
        let (revision, encoded) = from.encode_after(request.after).unwrap();
        let skipped = if requests == 0 { lost } else { 0 };
        for page in request.pages(revision, encoded).skip(skipped) {
            match fetch.receive(now, source(), page) {
                Step::Wait => {}
                Step::Request(request) => next = Some(request),
                Step::Done(update) => return (requests + 1, to.update(update)),
                Step::GiveUp => panic!("given up"),
            }
        }
    }
    panic!("no end");
}

/// Changed and removed objects arrive; only they are sent.
#[test]
fn changes_arrive() {
    let mut from = listed(&[("a", 3), ("b", 4), ("c", 5)], 10);
    let mut to = Replica::default();
    assert_eq!(pass(&mut from, &mut to, 0), (1, true));
    assert_eq!(to.documents(), from.documents());
    let changes = vec![
        Change::Put(document("b", 12)),
        Change::Removed("a".to_owned()),
    ];
    from.apply(changes, 13);
    let (_, encoded) = from.encode_after(Some(10)).unwrap();
    assert!(encoded.len() < 60, "{} bytes", encoded.len());
    assert_eq!(pass(&mut from, &mut to, 0), (1, true));
    assert_eq!(names(&to), [("b", 12), ("c", 5)]);
    assert_eq!((to.revision(), to.head()), (Some(13), 13));
}

/// A copy of an older revision changes nothing, so that an instance never goes back.
#[test]
fn older_copy_is_ignored() {
    let mut from = listed(&[("a", 3)], 10);
    assert!(from.encode_after(Some(10)).is_none());
    let (revision, encoded) = from.encode_after(None).unwrap();
    assert_eq!(revision, 10);
    let update = contents::Update::decode(encoded).unwrap();
    let mut newer = listed(&[("a", 9), ("b", 11)], 12);
    assert!(!newer.update(update));
    assert_eq!(names(&newer), [("a", 9), ("b", 11)]);
}

/// An object that was created again after its removal isn't removed by a late update.
#[test]
fn recreated_object_stays() {
    let mut from = listed(&[("a", 3)], 10);
    from.apply(vec![Change::Removed("a".to_owned())], 12);
    let (_, encoded) = from.encode_after(Some(10)).unwrap();
    let update = contents::Update::decode(encoded).unwrap();
    let mut to = listed(&[("a", 3)], 10);
    to.apply(vec![Change::Put(document("a", 11))], 11);
    to.apply(vec![Change::Put(document("a", 14))], 11);
    assert!(to.update(update));
    assert_eq!(names(&to), [("a", 14)]);
}

/// An instance that lacks removals which nobody remembers gets all objects.
#[test]
fn forgotten_removals_send_all() {
    let mut from = listed(&[("a", 3), ("b", 4)], 10);
    for number in 0..300 {
        let name = format!("gone-{number}");
        from.apply(vec![Change::Removed(name)], 20 + number);
    }
    from.apply(vec![Change::Removed("b".to_owned())], 500);
    let mut to = listed(&[("a", 3), ("b", 4), ("gone-1", 5)], 10);
    assert_eq!(pass(&mut from, &mut to, 0), (1, true));
    assert_eq!(names(&to), [("a", 3)]);
}

/// Many pages arrive in few requests, also when some are lost.
#[test]
fn lost_pages_are_requested_again() {
    let names: Vec<String> = (0..1_000).map(|n| format!("entry-{n:04}")).collect();
    let objects: Vec<_> = names.iter().map(|n| (n.as_str(), 5)).collect();
    let mut from = listed(&objects, 10);
    for lost in [0, 1, 8] {
        let mut to = Replica::default();
        let (requests, is_updated) = pass(&mut from, &mut to, lost);
        assert!(is_updated && requests < 20, "{requests}");
        assert_eq!(to.documents(), from.documents());
    }
}

/// Odd pages neither grow without bound nor end the process; a silent source is given up.
#[test]
fn odd_pages_are_harmless() {
    let now = Timestamp::from_millis(1_000);
    let (mut fetch, _) = contents::Fetch::start(now, source(), Kind::Config, None);
    for (len, offset) in [(u32::MAX, 0), (10, 10), (10, u32::MAX), (5_000, 7)] {
        let page = contents::Page {
            kind: Kind::Config,
            after: None,
            revision: 3,
            len,
            offset,
            bytes: vec![0; 5],
        };
        assert_eq!(fetch.receive(now, source(), page), Step::Wait);
    }
    for _ in 0..2 {
        let due = fetch.due();
        assert!(matches!(fetch.check(due), Step::Request(_)));
    }
    assert_eq!(fetch.check(fetch.due()), Step::GiveUp);
}

/// Guards against a copy put together from the pages of two instances, which may encode the same
/// revision differently.
#[test]
fn pages_of_others_are_ignored() {
    let now = Timestamp::from_millis(1_000);
    let (mut fetch, request) = contents::Fetch::start(now, source(), Kind::Members, None);
    let mut from = listed(&[("a", 3)], 10);
    let (revision, encoded) = from.encode_after(None).unwrap();
    let page = request.pages(revision, encoded).next().unwrap();
    let other = net::SocketAddr::from(([127, 0, 0, 1], 8));
    assert_eq!(fetch.receive(now, other, page.clone()), Step::Wait);
    assert!(matches!(fetch.receive(now, source(), page), Step::Done(_)));
}
