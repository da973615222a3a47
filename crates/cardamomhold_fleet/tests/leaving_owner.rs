//! The owner of an endpoint when every reachable instance is leaving.

use cardamomhold_core::name;
use cardamomhold_fleet::fleet;

fn instance(name: &str, state: fleet::InstanceState) -> fleet::Instance {
    fleet::Instance {
        name: name::InstanceName::parse(name).expect("name"),
        zone: name::ZoneName::parse("a").expect("name"),
        address: format!("{name}:1"),
        state,
    }
}

fn owner_among(instances: &[(&str, fleet::InstanceState)]) -> Option<String> {
    let mut fleet = fleet::Fleet::default();
    for (name, state) in instances {
        fleet.insert(instance(name, *state));
    }
    let endpoint = name::MemberName::parse("bookings-1").expect("name");
    let zone = name::ZoneName::parse("a").expect("name");
    let owner = fleet.owner(&endpoint, &zone);
    owner.map(|i| i.name.to_string())
}

#[test]
fn last_leaving_instance_owns() {
    let only = [("last", fleet::InstanceState::Leaving)];
    assert_eq!(owner_among(&only).as_deref(), Some("last"));
}

#[test]
fn prefers_other_instances() {
    let both = [
        ("last", fleet::InstanceState::Leaving),
        ("other", fleet::InstanceState::Suspect),
    ];
    assert_eq!(owner_among(&both).as_deref(), Some("other"));
}

#[test]
fn dead_instance_owns_nothing() {
    assert_eq!(owner_among(&[("dead", fleet::InstanceState::Dead)]), None);
}
