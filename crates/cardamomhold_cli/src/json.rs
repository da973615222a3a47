//! Converts objects to and from JSON, for scripts and files.

use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::spec;
use cardamomhold_proto::entry;
use cardamomhold_proto::operator as schema;
use serde_json::Value;

use crate::failure;

/// Name of the only stop rule.
const STOP_RULE_NAME: &str = "default";

/// Parses a kind's name on the command line; `None` when it is unknown.
pub fn parse_kind(text: &str) -> Option<schema::Kind> {
    Some(match text {
        "group" => schema::Kind::Group,
        "rank" => schema::Kind::Rank,
        "read-kind" => schema::Kind::ReadKind,
        "caller" => schema::Kind::Caller,
        "stop-rule" => schema::Kind::StopRule,
        "leadership" => schema::Kind::Leadership,
        _ => return None,
    })
}

/// Returns a kind's name on the command line.
pub fn kind_name(kind: schema::Kind) -> &'static str {
    match kind {
        schema::Kind::Group => "group",
        schema::Kind::Rank => "rank",
        schema::Kind::ReadKind => "read-kind",
        schema::Kind::Caller => "caller",
        schema::Kind::StopRule => "stop-rule",
        schema::Kind::Leadership => "leadership",
        schema::Kind::Unspecified => "unknown",
    }
}

/// The object that a command applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its kind.
    pub kind: schema::Kind,
    /// Its name.
    pub name: String,
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", kind_name(self.kind), self.name)
    }
}

impl Target {
    /// Parses a kind and a name.
    ///
    /// # Errors
    /// [`failure::Failure`] when the kind is unknown, or the name is missing or invalid.
    pub fn parse(kind: &str, name: Option<&str>) -> Result<Self, failure::Failure> {
        let unknown = || failure::Failure::UnknownKind(kind.to_owned());
        let parsed = parse_kind(kind).ok_or_else(unknown)?;
        let name = match (parsed, name) {
            (schema::Kind::StopRule, None) => STOP_RULE_NAME,
            (_, Some(name)) => name,
            (_, None) => return Err(failure::Failure::NameNeeded(kind.to_owned())),
        };
        let target = Self {
            kind: parsed,
            name: name.to_owned(),
        };
        target.check_name()?;
        Ok(target)
    }

    fn check_name(&self) -> Result<(), failure::Failure> {
        let name = &self.name;
        let problem = match self.kind {
            schema::Kind::Group | schema::Kind::Leadership => {
                name::GroupName::parse(name).err().map(|e| e.to_string())
            }
            schema::Kind::Rank => name.parse::<rank::Rank>().err().map(|e| e.to_string()),
            schema::Kind::ReadKind => name::KindName::parse(name).err().map(|e| e.to_string()),
            schema::Kind::Caller => name::CallerName::parse(name).err().map(|e| e.to_string()),
            schema::Kind::StopRule | schema::Kind::Unspecified => {
                (name != STOP_RULE_NAME).then(|| format!("use {STOP_RULE_NAME}"))
            }
        };
        match problem {
            None => Ok(()),
            Some(problem) => Err(failure::Failure::Field {
                path: "name".to_owned(),
                problem,
            }),
        }
    }
}

/// Converts the content of an entry to JSON; null when it has none.
pub fn content(entry: &schema::Entry) -> Value {
    let Some(schema::entry::Spec::Leadership(leadership)) = &entry.spec else {
        let spec = entry::decode_spec(entry).ok();
        return spec.map(|s| untagged(&s)).unwrap_or_default();
    };
    serde_json::json!({"term": leadership.term, "primary": leadership.primary, "wanted": leadership.wanted})
}

/// Converts content to JSON, without a tag for its kind.
fn untagged(spec: &object::Spec) -> Value {
    let result = match spec {
        object::Spec::Group(spec) => serde_json::to_value(spec),
        object::Spec::Rank(spec) => serde_json::to_value(spec),
        object::Spec::ReadKind(spec) => serde_json::to_value(spec),
        object::Spec::Caller(spec) => serde_json::to_value(spec),
        object::Spec::StopRule(spec) => serde_json::to_value(spec),
        object::Spec::Leadership(spec) => serde_json::to_value(spec),
    };
    result.unwrap_or_default()
}

/// Converts a whole entry to JSON, for scripts.
pub fn entry(entry: &schema::Entry) -> Value {
    serde_json::json!({
        "kind": kind_name(entry.kind()),
        "name": entry.name,
        "version": entry.version,
        "removed": entry.removed,
        "author": entry.author,
        "change": entry.change,
        "changed_ms": entry.changed_ms,
        "content": content(entry),
    })
}

/// Parses the content of an object of the given kind.
///
/// # Errors
/// [`failure::Failure::Field`] with the path of the rejected field.
pub fn parse_content(kind: schema::Kind, value: Value) -> Result<object::Spec, failure::Failure> {
    Ok(match kind {
        schema::Kind::Group => object::Spec::Group(deserialize::<spec::GroupSpec>(value)?),
        schema::Kind::Rank => object::Spec::Rank(deserialize(value)?),
        schema::Kind::ReadKind => object::Spec::ReadKind(deserialize(value)?),
        schema::Kind::Caller => object::Spec::Caller(deserialize(value)?),
        schema::Kind::StopRule => object::Spec::StopRule(deserialize(value)?),
        schema::Kind::Leadership | schema::Kind::Unspecified => {
            return Err(failure::Failure::Field {
                path: "kind".to_owned(),
                problem: "is changed by the system only; order a switchover instead".to_owned(),
            });
        }
    })
}

fn deserialize<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, failure::Failure> {
    serde_path_to_error::deserialize(value).map_err(|error| failure::Failure::Field {
        path: error.path().to_string(),
        problem: error.into_inner().to_string(),
    })
}

/// Returns the content with the fields of the `field=value` pairs set.
///
/// # Errors
/// [`failure::Failure::BadPair`] when a pair has no `=`.
pub fn with_fields(content: &Value, pairs: &[String]) -> Result<Value, failure::Failure> {
    let mut fields = content.as_object().cloned().unwrap_or_default();
    for pair in pairs {
        let bad_pair = || failure::Failure::BadPair(pair.clone());
        let (name, text) = pair.split_once('=').ok_or_else(bad_pair)?;
        let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
        fields.insert(name.to_owned(), value);
    }
    Ok(Value::Object(fields))
}
