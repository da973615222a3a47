//! Conversion of the fleet's state to the types of the operators' service.

use cardamomhold_fleet::fleet;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use cardamomhold_proto::operator as schema;

/// Converts an instance's state.
pub fn encode_instance(instance: &fleet::Instance) -> schema::InstanceStatus {
    let state = match instance.state {
        fleet::InstanceState::Alive => "alive",
        fleet::InstanceState::Suspect => "suspect",
        fleet::InstanceState::Leaving => "leaving",
        fleet::InstanceState::Dead => "dead",
    };
    schema::InstanceStatus {
        name: instance.name.to_string(),
        zone: instance.zone.to_string(),
        state: state.to_owned(),
    }
}

/// Converts a member's state; `status` is `None` while it is unreachable, or if this instance
/// doesn't monitor its group.
pub fn encode_member(
    member: &spec::MemberSpec,
    status: Option<&status::MemberStatus>,
) -> schema::MemberStatus {
    let role = match status.map(|s| s.role) {
        Some(status::MemberRole::Primary) => "primary",
        Some(status::MemberRole::Replica) => "replica",
        None => "unknown",
    };
    schema::MemberStatus {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        role: role.to_owned(),
        term: status.map(|s| s.term.0).unwrap_or_default(),
        received: status.map(|s| s.received.0).unwrap_or_default(),
        applied: status.map(|s| s.applied.0).unwrap_or_default(),
        reachable: status.is_some(),
        draining: member.draining || status.is_some_and(|s| s.leaving),
        ..Default::default()
    }
}
