//! What further attempts of a batch leave out, after refusals that name another way.

use cardamomhold_core::name;
use cardamomhold_core::outcome;

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Way {
    /// The member.
    pub member: name::MemberName,
    /// Address of the member's owner; none when it is this instance.
    pub owner: Option<String>,
}

/// The owners and members that further attempts of the same batch leave out.
#[derive(Debug, Clone, Default)]
pub struct Avoided {
    /// Addresses of owners that are stopping.
    pub owners: Vec<String>,
    /// Replicas that are leaving.
    pub members: Vec<name::MemberName>,
}

impl Avoided {
    /// Takes a refusal in; true when another way is worth trying at once.
    pub fn note(&mut self, refusal: outcome::Refusal, way: Option<Way>) -> bool {
        let Some(way) = way else {
            return false;
        };
        match (refusal, way.owner) {
            (outcome::Refusal::Stopping, Some(owner)) => add(&mut self.owners, owner),
            (outcome::Refusal::EndpointLeaving, _) => add(&mut self.members, way.member),
            _ => false,
        }
    }
}

/// Adds what is not there yet; false when it was.
fn add<T: PartialEq>(list: &mut Vec<T>, item: T) -> bool {
    if list.contains(&item) {
        return false;
    }
    list.push(item);
    true
}
