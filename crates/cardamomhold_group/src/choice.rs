//! Which of the fenced members becomes primary.

use cardamomhold_core::name;
use cardamomhold_core::position;

/// A member that is fenced at the new term, with its frozen position.
#[derive(Debug, Clone, Copy)]
pub struct Frozen<'a> {
    /// The member.
    pub member: &'a name::MemberName,
    /// Term and end of the log that it holds.
    pub held: position::Position,
    /// Whether it may take new work.
    pub is_welcome: bool,
}

/// Chooses the new primary; none while too few members are fenced.
///
/// A member qualifies when a majority of fenced members hold no more than it does: that
/// majority shares a member with every majority that confirmed a commit, so whoever
/// qualifies holds every confirmed commit. Among those, the wanted member goes first,
/// then one that may take work, then the one that holds most.
pub fn choose<'a>(
    frozen: &[Frozen<'a>],
    majority: usize,
    wanted: Option<&name::MemberName>,
) -> Option<&'a name::MemberName> {
    let qualifies = |candidate: &&Frozen<'a>| {
        let covered = frozen.iter().filter(|f| f.held <= candidate.held);
        covered.count() >= majority
    };
    let best = frozen.iter().filter(qualifies).max_by_key(|f| {
        let is_wanted = wanted == Some(f.member);
        (is_wanted, f.is_welcome, f.held)
    });
    best.map(|f| f.member)
}
