//! Choice of the member to promote.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// Role that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// Status that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Role of the member.
    pub role: Role,
    /// Term of the member.
    pub term: position::Term,
    /// Newest position that the member has received.
    pub received: position::Position,
}

/// A member that may be promoted.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the member.
    pub name: &'a name::MemberName,
    /// Status that the member reports.
    pub status: Status,
}

/// Returns the candidate with the newest received position, apart from the `former` primary
/// and from the members in `tried`, which could not be promoted.
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

/// Returns the chosen member if it is already the primary of a term after `term`. Other
/// members that report the primary role are ignored: they may have been replaced since.
pub fn promoted<'a>(
    candidates: &[Candidate<'a>],
    chosen: Option<&name::MemberName>,
    term: position::Term,
) -> Option<Candidate<'a>> {
    for candidate in candidates {
        let is_primary = candidate.status.role == Role::Primary && candidate.status.term > term;
        if is_primary && chosen == Some(candidate.name) {
            return Some(*candidate);
        }
    }
    None
}
