//! Computes the difference between two contents, field by field.

use std::collections;
use std::fmt;

use serde_json::Value;

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Path of the field, such as `members[1].draining`.
    pub path: String,
    /// Its old value in JSON; `None` when it is new.
    pub before: Option<String>,
    /// Its new value in JSON; `None` when it was removed.
    pub after: Option<String>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the fields that differ, in the order of their paths.
pub fn diff(before: &Value, after: &Value) -> Vec<Line> {
    let before = leaves(before);
    let after = leaves(after);
    let paths: collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut lines = Vec::new();
    for path in paths {
        if before.get(path) == after.get(path) {
            continue;
        }
        lines.push(Line {
            path: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        });
    }
    lines
}

fn leaves(value: &Value) -> collections::BTreeMap<String, String> {
    let mut leaves = collections::BTreeMap::new();
    collect_leaves(value, "", &mut leaves);
    leaves
}

fn collect_leaves(value: &Value, path: &str, leaves: &mut collections::BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let field_path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_leaves(field, &field_path, leaves);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect_leaves(item, &format!("{path}[{i}]"), leaves);
            }
        }
        Value::Null => {}
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            leaves.insert(path.to_owned(), value.to_string());
        }
    }
}
