//! Names of prepared statements at members.

use std::collections;

use cardamomhold_entry::session;
use cardamomhold_entry::statement;

/// Guards against a name that is cut in two: a member reads a name up to the next blank.
#[test]
fn names_have_no_blanks() {
    let shapes = [
        "READ a",
        "READ%20a",
        "READ_a",
        "a\tb",
        "k?",
        "",
        " ",
        "%",
        "r\u{e9}a d",
    ];
    let mut names = collections::BTreeSet::new();
    for shape in shapes {
        for access in [statement::Access::Read, statement::Access::Write] {
            let mut session = session::Session::default();
            session.prepare("own", access, shape);
            let prepared = session.prepared("own").map(|p| p.shared_name.clone());
            let name = prepared.unwrap_or_default();
            let is_word = !name.contains(|c: char| c.is_whitespace() || c.is_control());
            assert!(is_word && !name.is_empty(), "{name:?}");
            assert!(names.insert(name), "two statements share a name: {shape:?}");
        }
    }
}

/// Members keep the statements that were prepared before an update.
#[test]
fn plain_names_stay() {
    let mut session = session::Session::default();
    session.prepare("own", statement::Access::Write, "up?:k");
    let prepared = session.prepared("own").map(|p| p.shared_name.as_str());
    assert_eq!(prepared, Some("w_up?:k"));
}
