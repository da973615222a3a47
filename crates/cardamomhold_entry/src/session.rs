//! The session aggregate: values, prepared statements and the transaction of a caller, and the
//! part of them that has been applied to a connection.

use std::collections;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::statement;

/// Most bytes that a session keeps: two prepared statements or four values of the longest line.
pub const MAX_KEPT_BYTES: usize = 4 << 20;

/// Bytes that each value and prepared statement takes beside its texts.
const ENTRY_BYTES: usize = 256;

/// Most bytes of applied state that are remembered for an idle connection; a larger state is
/// cleared by the connection's next user.
const MAX_APPLIED_BYTES: usize = 64 << 10;

/// A prepared statement of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    /// Whether it may write.
    pub access: statement::Access,
    /// The statement itself, passed on undecoded.
    pub shape: String,
    /// Its name at members, derived from access and shape so that sessions can share it.
    pub shared_name: String,
}

/// The transaction of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open.
    Open {
        /// Whether it is read-only.
        read_only: bool,
    },
    /// The transaction failed and must be ended by the caller.
    Failed,
}

/// One caller's session.
#[derive(Debug, Default)]
pub struct Session {
    values: collections::BTreeMap<String, String>,
    prepared: collections::HashMap<String, Prepared>,
    kept_bytes: usize,
    /// The state of its transaction.
    pub transaction: Transaction,
    /// Log position of the last acknowledged commit, and when it was acknowledged.
    pub last_commit: Option<(position::Position, Timestamp)>,
}

/// Session state that has been applied to a connection.
#[derive(Debug, Default)]
pub struct Applied {
    values: collections::BTreeMap<String, String>,
    prepared: collections::HashSet<String>,
    /// Whether the connection may have state that isn't recorded here.
    is_unknown: bool,
}

/// Changes that bring a connection to a session's state.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Difference<'a> {
    /// Whether the connection must be reset first, as it has or may have values that the session
    /// doesn't have.
    pub needs_reset: bool,
    /// Values to set.
    pub values: Vec<(&'a str, &'a str)>,
    /// Statement to prepare.
    pub prepared: Option<&'a Prepared>,
}

impl Difference<'_> {
    /// Whether no change is needed.
    pub fn is_empty(&self) -> bool {
        !self.needs_reset && self.values.is_empty() && self.prepared.is_none()
    }
}

impl Prepared {
    fn kept_bytes(&self, name: &str) -> usize {
        ENTRY_BYTES + name.len() + self.shape.len() + self.shared_name.len()
    }
}

impl Session {
    /// Bytes of the values and prepared statements.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Whether a value may be set without exceeding [`MAX_KEPT_BYTES`].
    pub fn may_set(&self, name: &str, value: &str) -> bool {
        let replaced = self.values.get(name).map_or(0, |v| value_bytes(name, v));
        self.kept_bytes - replaced + value_bytes(name, value) <= MAX_KEPT_BYTES
    }

    /// Whether a statement may be prepared without exceeding [`MAX_KEPT_BYTES`].
    pub fn may_prepare(&self, name: &str, shape: &str) -> bool {
        let replaced = self.prepared.get(name).map_or(0, |p| p.kept_bytes(name));
        // Two copies: the shape, and the shared name that contains it.
        let added = ENTRY_BYTES + name.len() + 2 * (shape.len() + 1);
        self.kept_bytes - replaced + added <= MAX_KEPT_BYTES
    }

    /// Sets a value.
    pub fn set(&mut self, name: &str, value: &str) {
        let replaced = self.values.insert(name.to_owned(), value.to_owned());
        self.kept_bytes -= replaced.map_or(0, |v| value_bytes(name, &v));
        self.kept_bytes += value_bytes(name, value);
    }

    /// Prepares a statement; replaces one of the same name.
    pub fn prepare(&mut self, name: &str, access: statement::Access, shape: &str) {
        let prefix = match access {
            statement::Access::Read => 'r',
            statement::Access::Write => 'w',
        };
        let prepared = Prepared {
            access,
            shape: shape.to_owned(),
            shared_name: shared_name(prefix, shape),
        };
        self.kept_bytes += prepared.kept_bytes(name);
        let replaced = self.prepared.insert(name.to_owned(), prepared);
        self.kept_bytes -= replaced.map_or(0, |p| p.kept_bytes(name));
    }

    /// Removes a prepared statement; false when there is none.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let removed = self.prepared.remove(name);
        self.kept_bytes -= removed.as_ref().map_or(0, |p| p.kept_bytes(name));
        removed.is_some()
    }

    /// Looks up a prepared statement.
    pub fn prepared(&self, name: &str) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// Changes to a connection that are needed before it can run a statement of the session;
    /// `needed` is the prepared statement to run, if it is one.
    pub fn difference<'a>(
        &'a self,
        applied: &Applied,
        needed: Option<&'a Prepared>,
    ) -> Difference<'a> {
        let mut difference = Difference {
            needs_reset: applied.is_unknown,
            ..Difference::default()
        };
        for name in applied.values.keys() {
            difference.needs_reset |= !self.values.contains_key(name);
        }
        for (name, value) in &self.values {
            let is_set = !difference.needs_reset && applied.values.get(name) == Some(value);
            if !is_set {
                difference.values.push((name, value));
            }
        }
        difference.prepared =
            needed.filter(|n| difference.needs_reset || !applied.prepared.contains(&n.shared_name));
        difference
    }
}

/// Name of a prepared statement at members, different for each access and shape. A member reads a
/// name up to the next blank, so that blanks and control characters are escaped.
fn shared_name(prefix: char, shape: &str) -> String {
    let mut name = format!("{prefix}_");
    for character in shape.chars() {
        if character.is_whitespace() || character.is_control() || character == '%' {
            name.push_str(&format!("%{:X};", u32::from(character)));
            continue;
        }
        name.push(character);
    }
    name
}

fn value_bytes(name: &str, value: &str) -> usize {
    ENTRY_BYTES + name.len() + value.len()
}

impl Applied {
    /// Forgets a large state before the connection is idle; the next use clears it at the member.
    pub fn trim(&mut self) {
        let values = self.values.iter().map(|(n, v)| value_bytes(n, v));
        let prepared = self.prepared.iter().map(|p| ENTRY_BYTES + p.len());
        if values.chain(prepared).sum::<usize>() > MAX_APPLIED_BYTES {
            *self = Self {
                is_unknown: true,
                ..Self::default()
            };
        }
    }

    /// Whether no session state has been applied.
    pub fn is_empty(&self) -> bool {
        !self.is_unknown && self.values.is_empty() && self.prepared.is_empty()
    }

    /// Marks the connection's state as unknown, as another instance has set it.
    pub fn mark_unknown(&mut self) {
        self.is_unknown = true;
    }

    /// Records that the session's state was applied to the connection.
    pub fn record(&mut self, session: &Session, needed: Option<&Prepared>) {
        let needs_reset = session.difference(self, None).needs_reset;
        if needs_reset {
            self.prepared.clear();
            self.is_unknown = false;
        }
        if needs_reset || self.values != session.values {
            self.values.clone_from(&session.values);
        }
        if let Some(needed) = needed {
            self.prepared.insert(needed.shared_name.clone());
        }
    }
}
