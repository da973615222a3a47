//! Validation of a configuration change before it is written; each error names its field.

use std::collections;
use std::fmt;
use std::net;

use cardamomhold_core::rank;
use cardamomhold_group::spec;

use crate::config;
use crate::object;

/// Maximum number of members in a group.
pub const MAX_MEMBERS: usize = 9;

/// An invalid field and its problem.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadField {
    /// Path of the field, such as `members[1].address`.
    pub path: String,
    /// Reason why the field is invalid.
    pub problem: Problem,
}

/// Reason why a field is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The number is outside its bounds.
    OutOfRange {
        /// Minimum accepted value.
        min: u64,
        /// Maximum accepted value.
        max: u64,
    },
    /// The text is not an `ip:port`.
    NotAddress,
    /// The name occurs twice.
    Duplicate,
    /// The kind of the content differs from the kind in the name.
    WrongKind,
    /// The shares of all ranks sum to more than 100 percent; contains the sum.
    SharesExceed(u32),
    /// Another group, named here, has a member with this name.
    UsedElsewhere(String),
    /// Operators can't change this kind of object; only the system can.
    NotForOperators,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfRange { min, max } => write!(f, "use a number from {min} to {max}"),
            Self::NotAddress => f.write_str("use an address such as 127.0.0.1:5432"),
            Self::Duplicate => f.write_str("stands twice"),
            Self::WrongKind => f.write_str("content is of another kind than the name"),
            Self::SharesExceed(sum) => {
                write!(f, "shares of all ranks sum to {sum} percent, at most 100")
            }
            Self::UsedElsewhere(group) => write!(f, "is a member of group {group} already"),
            Self::NotForOperators => {
                f.write_str("is changed by the system only; order a switchover instead")
            }
        }
    }
}

impl fmt::Display for BadField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for BadField {}

fn bad_field(path: &str, problem: Problem) -> BadField {
    BadField {
        path: path.to_owned(),
        problem,
    }
}

fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<(), BadField> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(bad_field(path, Problem::OutOfRange { min, max }))
}

/// Validates an operator's change against the bounds of its fields and against the rest of the
/// configuration.
///
/// # Errors
/// The first [`BadField`] found.
pub fn check(
    config: &config::Config,
    name: &object::ObjectName,
    spec: &object::Spec,
) -> Result<(), BadField> {
    match (name, spec) {
        (object::ObjectName::Group(_), object::Spec::Group(spec)) => {
            check_group(config, name, spec)
        }
        (object::ObjectName::Rank(rank), object::Spec::Rank(rule)) => {
            check_rank(config, *rank, rule)
        }
        (object::ObjectName::ReadKind(_), object::Spec::ReadKind(rule)) => {
            check_range("staleness_ms", rule.staleness_ms, 0, 86_400_000)
        }
        (object::ObjectName::Caller(_), object::Spec::Caller(rule)) => {
            check_range("weight", rule.weight.into(), 1, 1_000)?;
            check_range("connections", rule.connections.into(), 1, 1_000_000)
        }
        (object::ObjectName::StopRule, object::Spec::StopRule(rule)) => {
            check_range("notice_ms", rule.notice_ms, 0, 60_000)?;
            check_range("grace_ms", rule.grace_ms, 0, 600_000)?;
            check_range("idle_ms", rule.idle_ms, 100, 3_600_000)
        }
        (object::ObjectName::Leadership(_), _) => Err(bad_field("kind", Problem::NotForOperators)),
        _ => Err(bad_field("spec", Problem::WrongKind)),
    }
}

fn check_rank(
    config: &config::Config,
    rank: rank::Rank,
    rule: &object::RankRule,
) -> Result<(), BadField> {
    check_range("share_percent", rule.share_percent.into(), 1, 100)?;
    check_range("target_ms", rule.target_ms, 1, 3_600_000)?;
    check_range("deadline_ms", rule.deadline_ms, 1, 3_600_000)?;
    check_range("queue", rule.queue.into(), 1, 1_000_000)?;
    let mut sum = rule.share_percent;
    for other in rank::Rank::ALL {
        if other != rank {
            sum += config.rank_rule(other).share_percent;
        }
    }
    if sum > 100 {
        return Err(bad_field("share_percent", Problem::SharesExceed(sum)));
    }
    Ok(())
}

fn check_group(
    config: &config::Config,
    name: &object::ObjectName,
    spec: &spec::GroupSpec,
) -> Result<(), BadField> {
    check_range("members", spec.members.len() as u64, 1, MAX_MEMBERS as u64)?;
    check_range("slots", spec.slots.into(), 1, 10_000)?;
    check_range("connections", spec.connections.into(), 10, 100_000)?;
    check_range("key_retention_s", spec.key_retention_s, 60, 31_536_000)?;
    let mut names = collections::BTreeSet::new();
    for (i, member) in spec.members.iter().enumerate() {
        if member.address.parse::<net::SocketAddr>().is_err() {
            return Err(bad_field(
                &format!("members[{i}].address"),
                Problem::NotAddress,
            ));
        }
        if !names.insert(&member.name) {
            return Err(bad_field(&format!("members[{i}].name"), Problem::Duplicate));
        }
        for (group, other) in config.groups() {
            if object::ObjectName::Group(group.clone()) != *name
                && other.member(&member.name).is_some()
            {
                let problem = Problem::UsedElsewhere(group.to_string());
                return Err(bad_field(&format!("members[{i}].name"), problem));
            }
        }
    }
    Ok(())
}
