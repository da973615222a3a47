//! Choice of the new primary among the fenced members.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// A member that is fenced at the new term, with its frozen position.
#[derive(Debug, Clone, Copy)]
pub struct Frozen<'a> {
    /// The member.
    pub member: &'a name::MemberName,
    /// Term and end of the member's log.
    pub position: position::Position,
    /// Whether the member is neither draining nor leaving.
    pub accepts_work: bool,
}

/// Chooses the new primary; none while too few members are fenced.
///
/// A member qualifies when the log positions of a majority of fenced members, itself
/// included, are at or below its own. That majority shares a member with every majority
/// that confirmed a commit, so a qualified member holds every confirmed commit. Among the
/// qualified members, the order of preference is: the wanted member, one that accepts
/// work, the highest log position.
pub fn choose<'a>(
    frozen: &[Frozen<'a>],
    majority: usize,
    wanted: Option<&name::MemberName>,
) -> Option<&'a name::MemberName> {
    let qualifies = |candidate: &&Frozen<'a>| {
        let covered = frozen.iter().filter(|f| f.position <= candidate.position);
        covered.count() >= majority
    };
    let best = frozen.iter().filter(qualifies).max_by_key(|f| {
        let is_wanted = wanted == Some(f.member);
        (is_wanted, f.accepts_work, f.position)
    });
    best.map(|f| f.member)
}
