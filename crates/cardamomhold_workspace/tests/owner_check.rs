//! Whether an owner runs a statement that another instance has authorized.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_workspace::access;
use cardamomhold_workspace::directory;

fn directory(names: &[&str]) -> directory::Directory {
    let mut directory = directory::Directory::default();
    for text in names {
        let workspace = directory::Workspace {
            name: name::WorkspaceName::parse(text).unwrap(),
            limit: None,
        };
        directory.add(workspace, []);
    }
    directory
}

fn grant(text: &str, version: u64) -> access::Grant {
    access::Grant {
        workspace: name::WorkspaceName::parse(text).unwrap(),
        version,
    }
}

/// An owner whose configuration is at least as new decides by it; an older one relies on the grant.
#[test]
fn newer_decides() {
    let known = directory(&["a"]);
    let check = |text: &str, version: u64| {
        let grant = grant(text, version);
        access::is_valid(Some(&known), 5, Some(&grant), false)
    };
    assert!(check("a", 4) && check("a", 5) && check("a", 6));
    assert!(!check("b", 4) && !check("b", 5));
    assert!(check("b", 6));
}

/// Callers without a key are known by a public route of the group, and not by a name in the
/// configuration.
#[test]
fn public_needs_route() {
    let known = directory(&["a"]);
    let grant = grant("public", 5);
    assert!(access::is_valid(Some(&known), 5, Some(&grant), true));
    assert!(!access::is_valid(Some(&known), 5, Some(&grant), false));
}

/// While workspaces are introduced or given up, an owner runs nothing that its own configuration
/// can't attribute.
#[test]
fn change_of_kind() {
    let known = directory(&["a"]);
    assert!(access::is_valid(None, 5, None, false));
    assert!(!access::is_valid(Some(&known), 5, None, true));
    assert!(!access::is_valid(None, 5, Some(&grant("a", 5)), true));
    assert!(!access::is_valid(None, 5, Some(&grant("public", 4)), true));
    assert!(access::is_valid(None, 5, Some(&grant("a", 6)), false));
}
