//! Which member a planned change of primary goes to.

use cardamomhold_core::name;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

/// Why a planned change is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchoverError {
    /// No such member in the group.
    UnknownMember,
    /// The member is the primary already.
    IsPrimary,
    /// The member gets no new work.
    Draining,
    /// No other member takes work.
    NoCandidate,
    /// Another change is under way.
    Changing,
}

impl SwitchoverError {
    /// What the operator is told.
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

/// The leadership that asks for the change; without a name any other member will do.
///
/// # Errors
/// [`SwitchoverError`] when the named member can't take over.
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
