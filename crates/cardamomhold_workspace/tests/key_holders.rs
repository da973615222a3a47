//! Which workspace holds which key.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_workspace::directory;

fn workspace(text: &str, limit: Option<(f64, f64)>) -> directory::Workspace {
    directory::Workspace {
        name: name::WorkspaceName::parse(text).unwrap(),
        limit: limit.map(|(rate, burst)| directory::Limit { rate, burst }),
    }
}

fn holder<'a>(directory: &'a directory::Directory, key: &str) -> Option<&'a str> {
    directory.holder(key).map(|w| w.name.as_str())
}

/// A key that several workspaces claim belongs to none of them, in whatever order they come and
/// however many there are; the others of their keys are not affected.
#[test]
fn shared_belong_to_none() {
    let mut directory = directory::Directory::default();
    assert_eq!(directory.add(workspace("a", None), ["one", "two"]), 0);
    assert_eq!(directory.add(workspace("b", None), ["two", "three"]), 1);
    assert_eq!(directory.add(workspace("c", None), ["two"]), 1);
    assert_eq!(directory.add(workspace("a", None), ["two", "four"]), 1);
    assert_eq!(holder(&directory, "one"), Some("a"));
    assert_eq!(holder(&directory, "two"), None);
    assert_eq!(holder(&directory, "three"), Some("b"));
    assert_eq!(holder(&directory, "four"), Some("a"));
    assert_eq!(holder(&directory, ""), None);
}

/// A workspace that is listed twice is one workspace with the keys of both entries and the stricter
/// limits, in either order; guards against a second entry that lifts a limit.
#[test]
fn repeated_is_one() {
    let limits = [Some((10.0, 50.0)), Some((20.0, 5.0)), None];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut directory = directory::Directory::default();
        for index in order {
            let key = format!("key-{index}");
            directory.add(workspace("a", limits[index]), [key.as_str()]);
        }
        for index in 0..3 {
            assert_eq!(holder(&directory, &format!("key-{index}")), Some("a"));
        }
        let known: Vec<_> = directory.workspaces().collect();
        let strictest = directory::Limit {
            rate: 10.0,
            burst: 5.0,
        };
        assert_eq!(known.len(), 1);
        assert_eq!(known[0].limit, Some(strictest));
    }
}

/// A directory's debug text has no keys, as it may get into a log.
#[test]
fn debug_hides_keys() {
    let mut directory = directory::Directory::default();
    directory.add(workspace("a", None), ["secret-key"]);
    assert!(!format!("{directory:?}").contains("secret"));
}
