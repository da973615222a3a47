//! Chooses the member for a planned change of primary.

use cardamomhold_core::name;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

/// Reason why a planned change is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchoverError {
    /// The group has no such member.
    UnknownMember,
    /// The member is the primary already.
    IsPrimary,
    /// The member is being drained.
    Draining,
    /// No other member accepts work.
    NoCandidate,
    /// Another change is in progress.
    Changing,
}

impl SwitchoverError {
    /// Message for the operator.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownMember => "no such member",
            Self::IsPrimary => "is the primary already",
            Self::Draining => "is being drained",
            Self::NoCandidate => "no other member takes work",
            Self::Changing => "a change is under way; try again",
        }
    }
}

/// Returns the leadership that requests the change; if `member` is empty, the first other
/// member that isn't draining is chosen.
///
/// # Errors
/// [`SwitchoverError`] if the change is not possible.
pub fn request(
    spec: &spec::GroupSpec,
    leadership: &leadership::Leadership,
    member: &str,
) -> Result<leadership::Leadership, SwitchoverError> {
    let primary = leadership
        .primary
        .as_ref()
        .ok_or(SwitchoverError::Changing)?;
    let wanted = if member.is_empty() {
        let mut others = spec.members.iter().filter(|m| m.name != *primary);
        let member = others.find(|m| !m.draining);
        member.ok_or(SwitchoverError::NoCandidate)?
    } else {
        find_member(spec, primary, member)?
    };
    Ok(leadership::Leadership {
        wanted: Some(wanted.name.clone()),
        ..leadership.clone()
    })
}

fn find_member<'a>(
    spec: &'a spec::GroupSpec,
    primary: &name::MemberName,
    member: &str,
) -> Result<&'a spec::MemberSpec, SwitchoverError> {
    let mut members = spec.members.iter();
    let member = members.find(|m| m.name.as_str() == member);
    let member = member.ok_or(SwitchoverError::UnknownMember)?;
    if member.name == *primary {
        return Err(SwitchoverError::IsPrimary);
    }
    if member.draining {
        return Err(SwitchoverError::Draining);
    }
    Ok(member)
}
