//! Where a transaction goes: to the primary, or to a replica within a read's bounds.

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;

/// What the instance knows of a group when it routes.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Term of the group's object.
    pub term: position::Term,
    /// The primary; none during a change.
    pub primary: Option<&'a name::MemberName>,
    /// Replicas that take work, the nearest first.
    pub replicas: &'a [Candidate<'a>],
}

/// A replica that a read may go to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The member.
    pub member: &'a name::MemberName,
    /// Whether it is in the instance's own zone.
    pub is_near: bool,
}

/// The chosen way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// The primary of the view's term.
    Primary(&'a name::MemberName),
    /// A replica; the primary takes over when the replica is behind.
    Replica(&'a name::MemberName),
}

/// Chooses the way of a transaction.
///
/// `spread` distributes a zone's reads over equally near replicas.
///
/// # Errors
/// [`outcome::Refusal::StaleView`] when the session has seen a later term than the
/// view, and [`outcome::Refusal::NoPrimary`] when only a primary would do.
pub fn choose<'a>(
    view: View<'a>,
    is_read: bool,
    seen: Option<position::Position>,
    spread: usize,
) -> Result<Route<'a>, outcome::Refusal> {
    if is_read && let Some(member) = nearest(view.replicas, spread) {
        return Ok(Route::Replica(member));
    }
    if seen.is_some_and(|s| s.term > view.term) {
        return Err(outcome::Refusal::StaleView);
    }
    let primary = view.primary.ok_or(outcome::Refusal::NoPrimary)?;
    Ok(Route::Primary(primary))
}

fn nearest<'a>(replicas: &'a [Candidate<'a>], spread: usize) -> Option<&'a name::MemberName> {
    let near = replicas.iter().filter(|c| c.is_near).count();
    let pool = if near > 0 { near } else { replicas.len() };
    let mut choices = replicas.iter().filter(|c| near == 0 || c.is_near);
    let at = spread.checked_rem(pool)?;
    choices.nth(at).map(|c| c.member)
}
