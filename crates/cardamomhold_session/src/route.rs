//! Routing of a transaction to the primary or to a replica.

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;

/// An instance's view of a group for routing.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Term of the group's leadership.
    pub term: position::Term,
    /// The primary; none during a change of the primary.
    pub primary: Option<&'a name::MemberName>,
    /// Replicas that accept reads.
    pub replicas: &'a [Candidate<'a>],
}

/// A replica that may run a read.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the replica.
    pub member: &'a name::MemberName,
    /// Whether the replica is in the instance's own zone.
    pub is_near: bool,
}

/// The chosen member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// The primary of the view's term.
    Primary(&'a name::MemberName),
    /// A replica; the transaction is retried on the primary when the replica is behind.
    Replica(&'a name::MemberName),
}

/// Chooses the member that runs a transaction.
///
/// `seen` is the position that the session's reads must include. `spread` selects one of several
/// equally near replicas; callers vary it to distribute a zone's reads over them.
///
/// # Errors
/// For a transaction that needs the primary: [`outcome::Refusal::StaleView`] when the term of
/// `seen` is later than that of the view, and [`outcome::Refusal::NoPrimary`] when there is none.
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
    let count = if near > 0 { near } else { replicas.len() };
    let mut choices = replicas.iter().filter(|c| near == 0 || c.is_near);
    let index = spread.checked_rem(count)?;
    choices.nth(index).map(|c| c.member)
}
