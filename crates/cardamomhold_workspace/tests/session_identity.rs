//! Who a session is, and by which name it is known.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_workspace::digest;
use cardamomhold_workspace::directory;
use cardamomhold_workspace::identity;

const KEY: &str = "secret-key-4711";

fn directory(text: &str, keys: &[&str]) -> directory::Directory {
    let workspace = directory::Workspace {
        name: name::WorkspaceName::parse(text).unwrap(),
        limit: None,
    };
    let mut directory = directory::Directory::default();
    directory.add(workspace, keys.iter().copied());
    directory
}

fn assert_hidden(identity: &identity::Identity) {
    for text in [identity.label(), identity.name().as_str()] {
        assert!(!text.contains("secret"), "{text}");
    }
    let grant = format!("{:?} {identity:?}", identity.grant());
    assert!(!grant.contains("secret"), "{grant}");
}

/// A session is its workspace in logs and queues, and its key is nowhere, also after the key was
/// withdrawn or the workspaces given up.
#[test]
fn key_is_hidden() {
    let known = directory("kalk", &[KEY]);
    let mut identity = identity::Identity::new(KEY);
    assert!(identity.authorize(Some(&known), 3, false));
    assert_hidden(&identity);
    assert_eq!(identity.label(), "kalk");
    assert_eq!(identity.name().as_str(), "kalk");
    assert_eq!(identity.grant().unwrap().version, 3);
    assert!(!identity.authorize(Some(&directory("kalk", &[])), 4, false));
    assert_hidden(&identity);
    assert_eq!(identity.workspace(), None);
    assert!(identity.authorize(None, 5, false));
    assert_hidden(&identity);
    assert_eq!(identity.grant(), None);
    assert!(identity.authorize(Some(&known), 6, false));
    assert_eq!(identity.label(), "kalk");
}

/// A key that nobody holds is known by its digest, which differs between keys, and on a public route
/// as `public`.
#[test]
fn unknown_has_digest() {
    let known = directory("kalk", &["other"]);
    let mut identity = identity::Identity::new(KEY);
    assert!(!identity.authorize(Some(&known), 3, false));
    assert_hidden(&identity);
    assert_eq!(identity.label(), format!("key-{}", digest::of(KEY)));
    assert!(identity.authorize(Some(&known), 3, true));
    assert_hidden(&identity);
    assert_eq!(identity.label(), "public");
    assert_ne!(digest::of("a"), digest::of("b"));
    assert_eq!(digest::of("a").len(), 8);
}

/// Without workspaces, a caller is known by its word as before.
#[test]
fn word_without_workspaces() {
    let mut identity = identity::Identity::new("tester 1");
    assert!(identity.authorize(None, 3, false));
    assert_eq!(identity.label(), "tester 1");
    assert_eq!(identity.name().as_str(), "tester_1");
    assert_eq!(identity.grant(), None);
}
