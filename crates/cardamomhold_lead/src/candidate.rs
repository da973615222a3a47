//! Which member takes over.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// A member's role, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// What a member says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: position::Term,
    /// The newest position that it has received.
    pub received: position::Position,
}

/// A member that may take over.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The member.
    pub name: &'a name::MemberName,
    /// What it says of itself.
    pub status: Status,
}

/// The member that has received most; `tried` are those that could not be promoted.
pub fn choose<'a>(
    candidates: &[Candidate<'a>],
    former: Option<&name::MemberName>,
    tried: &[name::MemberName],
) -> Option<Candidate<'a>> {
    let mut best: Option<Candidate<'a>> = None;
    for candidate in candidates {
        if former == Some(candidate.name) || tried.contains(candidate.name) {
            continue;
        }
        if best.is_none_or(|b| candidate.status.received > b.status.received) {
            best = Some(*candidate);
        }
    }
    best
}

/// The chosen member, if it leads a term after `term` already. Another that leads may have
/// been replaced since.
pub fn promoted<'a>(
    candidates: &[Candidate<'a>],
    chosen: Option<&name::MemberName>,
    term: position::Term,
) -> Option<Candidate<'a>> {
    for candidate in candidates {
        let leads = candidate.status.role == Role::Primary && candidate.status.term > term;
        if leads && chosen == Some(candidate.name) {
            return Some(*candidate);
        }
    }
    None
}
