//! The difference between two contents, field by field.

use std::collections;
use std::fmt;

use serde_json::Value;

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Path of the field, such as `members[1].draining`.
    pub path: String,
    /// Its old value in JSON; none when it is new.
    pub before: Option<String>,
    /// Its new value in JSON; none when it is gone.
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

/// The fields that differ, in the order of their paths.
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
    let mut found = collections::BTreeMap::new();
    collect(value, "", &mut found);
    found
}

fn collect(value: &Value, path: &str, found: &mut collections::BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let inner = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect(field, &inner, found);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect(item, &format!("{path}[{i}]"), found);
            }
        }
        Value::Null => {}
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            found.insert(path.to_owned(), value.to_string());
        }
    }
}
