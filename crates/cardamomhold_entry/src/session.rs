//! The session aggregate: values, prepared statements, the transaction, and what of it a
//! borrowed connection must hold.

use std::collections;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::statement;

/// A prepared statement of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    /// What it may do.
    pub access: statement::Access,
    /// What it does.
    pub shape: String,
    /// Its name at members, made of access and shape, so that sessions share it.
    pub shared: String,
}

/// The transaction of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Transaction {
    /// None is open.
    #[default]
    None,
    /// One is open.
    Open {
        /// Whether it only reads.
        read_only: bool,
    },
    /// One failed, and its end is awaited.
    Failed,
}

/// One caller's session.
#[derive(Debug, Default)]
pub struct Session {
    values: collections::BTreeMap<String, String>,
    prepared: collections::HashMap<String, Prepared>,
    /// The transaction.
    pub transaction: Transaction,
    /// The last commit that was acknowledged, and when.
    pub own: Option<(position::Position, Timestamp)>,
}

/// What a connection to a member holds of a session.
#[derive(Debug, Default)]
pub struct Applied {
    values: collections::BTreeMap<String, String>,
    prepared: collections::HashSet<String>,
    /// Whether it holds what is not known here.
    is_unknown: bool,
}

/// What a connection lacks of a session.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Difference<'a> {
    /// Whether it holds values that the session does not have.
    pub is_foreign: bool,
    /// Values to set.
    pub values: Vec<(&'a str, &'a str)>,
    /// The statement to prepare.
    pub prepared: Option<&'a Prepared>,
}

impl Difference<'_> {
    /// Whether nothing is lacking.
    pub fn is_empty(&self) -> bool {
        !self.is_foreign && self.values.is_empty() && self.prepared.is_none()
    }
}

impl Session {
    /// Sets a value.
    pub fn set(&mut self, name: &str, value: &str) {
        self.values.insert(name.to_owned(), value.to_owned());
    }

    /// Prepares a statement; the name may be taken already, and means this one then.
    pub fn prepare(&mut self, name: &str, access: statement::Access, shape: &str) {
        let mark = match access {
            statement::Access::Read => 'r',
            statement::Access::Write => 'w',
        };
        let prepared = Prepared {
            access,
            shape: shape.to_owned(),
            shared: format!("{mark}_{shape}"),
        };
        self.prepared.insert(name.to_owned(), prepared);
    }

    /// Forgets a prepared statement; false when there is none.
    pub fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// A prepared statement.
    pub fn prepared(&self, name: &str) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// What a connection lacks before it may run a statement of the session.
    pub fn difference<'a>(
        &'a self,
        applied: &Applied,
        needed: Option<&'a Prepared>,
    ) -> Difference<'a> {
        let mut difference = Difference {
            is_foreign: applied.is_unknown,
            ..Difference::default()
        };
        for name in applied.values.keys() {
            difference.is_foreign |= !self.values.contains_key(name);
        }
        for (name, value) in &self.values {
            let is_set = !difference.is_foreign && applied.values.get(name) == Some(value);
            if !is_set {
                difference.values.push((name, value));
            }
        }
        difference.prepared =
            needed.filter(|n| difference.is_foreign || !applied.prepared.contains(&n.shared));
        difference
    }
}

impl Applied {
    /// Whether the connection holds nothing.
    pub fn is_empty(&self) -> bool {
        !self.is_unknown && self.values.is_empty() && self.prepared.is_empty()
    }

    /// Takes note that somebody else's state was brought to the connection.
    pub fn forget(&mut self) {
        self.is_unknown = true;
    }

    /// Takes note that the session's state was brought to the connection.
    pub fn take(&mut self, session: &Session, needed: Option<&Prepared>) {
        let is_foreign = session.difference(self, None).is_foreign;
        if is_foreign {
            self.prepared.clear();
            self.is_unknown = false;
        }
        if is_foreign || self.values != session.values {
            self.values.clone_from(&session.values);
        }
        if let Some(needed) = needed {
            self.prepared.insert(needed.shared.clone());
        }
    }
}
