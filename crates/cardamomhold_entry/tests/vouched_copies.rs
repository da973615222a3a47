//! Up to which time copies of the store's objects are complete, and who watches the store.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::currency;
use cardamomhold_entry::currency::Mode;

const BOUNDS: currency::Bounds = currency::Bounds {
    config: time::Duration::from_millis(3_000),
    members: time::Duration::from_millis(7_000),
};

const IDLE: [Mode; 3] = [Mode::Idle; 3];

fn instance(number: u32) -> name::InstanceName {
    name::InstanceName::parse(&format!("entry-{number}")).unwrap()
}

fn rank(name: &name::InstanceName) -> u32 {
    name.as_str()[6..].parse().unwrap()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// An instance that started at 1,000 ms with complete copies of revision 10.
fn instance_at(checked: Option<u64>) -> currency::Currency {
    let mut currency = currency::Currency::new(at(1_000), BOUNDS);
    hold(&mut currency, 10, checked);
    currency
}

fn hold(currency: &mut currency::Currency, revision: u64, checked: Option<u64>) {
    for kind in Kind::ALL {
        let held = currency::Held {
            revision: Some(revision),
            head: revision,
            checked: checked.map(at),
        };
        currency.record_held(kind, held);
    }
}

fn vouch(origin: u32, head: u64) -> currency::Vouch {
    currency::Vouch {
        origin: instance(origin),
        ages_us: [0; 3],
        heads: [head; 3],
    }
}

fn modes(currency: &currency::Currency, ms: u64, own: u32, current: [Mode; 3]) -> [Mode; 3] {
    currency.modes(at(ms), &instance(own), rank, current)
}

/// Without an answer of the store, or a vouch that leads to one, nothing is vouched for.
#[test]
fn vouch_needs_a_check() {
    let own = instance(5);
    let currency = instance_at(None);
    assert_eq!(currency.vouch(at(1_000), &own), None);
    let currency = instance_at(Some(1_000));
    let given = currency.vouch(at(1_400), &own).unwrap();
    assert_eq!((given.origin, given.ages_us[0]), (own.clone(), 400_000));
    assert_eq!(currency.vouch(at(2_500), &own), None);
}

/// A vouch ages on its way, so that instances that vouch for one another in a circle soon vouch for
/// nothing.
#[test]
fn vouch_ages_on_its_way() {
    let (own, origin) = (instance(5), instance(0));
    let mut currency = instance_at(None);
    currency.record_vouch(&own, at(2_000), &vouch(0, 10));
    let given = currency.vouch(at(2_300), &own).unwrap();
    assert_eq!((given.origin, given.ages_us[0]), (origin, 300_000));
    currency.record_vouch(&own, at(1_900), &vouch(0, 10));
    assert_eq!(currency.vouch(at(2_300), &own).unwrap().ages_us[0], 300_000);
    assert_eq!(currency.vouch(at(3_500), &own), None);
}

/// An instance's own vouch that comes back shows nothing.
#[test]
fn own_vouch_counts_for_nothing() {
    let own = instance(5);
    let mut currency = instance_at(None);
    currency.record_vouch(&own, at(2_000), &vouch(5, 10));
    assert_eq!(currency.vouch(at(2_000), &own), None);
}

/// A vouch for newer objects counts once this instance has them; its copies are complete as of the
/// time of the vouch, not of their arrival.
#[test]
fn lacking_copy_is_not_complete() {
    let own = instance(5);
    let mut currency = instance_at(None);
    currency.record_vouch(&own, at(2_000), &vouch(0, 12));
    assert!(currency.is_behind(Kind::Config, 12));
    assert_eq!(currency.vouch(at(2_000), &own), None);
    hold(&mut currency, 12, None);
    assert_eq!(currency.vouch(at(2_400), &own).unwrap().ages_us[0], 400_000);
}

/// A read of the control objects shows the store's revision: copies of that revision are complete,
/// older ones may not be.
#[test]
fn revision_shows_completeness() {
    let own = instance(0);
    let mut currency = instance_at(Some(1_000));
    currency.record_control(at(2_000), 10);
    assert_eq!(currency.vouch(at(2_000), &own).unwrap().ages_us[0], 0);
    currency.record_control(at(2_300), 11);
    assert_eq!(currency.vouch(at(2_300), &own).unwrap().ages_us[0], 300_000);
    assert_eq!(modes(&currency, 2_300, 0, IDLE), [Mode::Long; 3]);
    assert_eq!(modes(&currency, 3_300, 0, IDLE), [Mode::Short; 3]);
}

/// When nobody vouches, those that others ask watch within a quarter of the time in which a change
/// must be in force, all others within half of it.
#[test]
fn next_by_rank_watches() {
    let mut currency = instance_at(None);
    currency.record_vouch(&instance(9), at(2_000), &vouch(0, 10));
    for own in [1, 2] {
        assert_eq!(modes(&currency, 2_700, own, IDLE), IDLE);
        let expected = [Mode::Short, Mode::Idle, Mode::Idle];
        assert_eq!(modes(&currency, 2_750, own, IDLE), expected);
    }
    assert_eq!(modes(&currency, 3_400, 50, IDLE), IDLE);
    assert_eq!(modes(&currency, 3_500, 50, IDLE)[0], Mode::Short);
    assert_eq!(modes(&currency, 5_500, 50, IDLE)[1], Mode::Short);
}

/// Of two that watch, the first by rank goes on: if each stopped for the other, nobody would watch.
#[test]
fn one_goes_on() {
    let watching = [Mode::Short; 3];
    let mut first = instance_at(Some(2_000));
    first.record_vouch(&instance(1), at(2_100), &vouch(2, 10));
    assert_eq!(modes(&first, 2_200, 1, watching), watching);
    let mut second = instance_at(Some(2_000));
    second.record_vouch(&instance(2), at(2_100), &vouch(1, 10));
    assert_eq!(modes(&second, 2_200, 2, watching), IDLE);
}

/// An instance that the store refuses looks for another one that vouches before it must watch, so
/// that the instances that ask it needn't.
#[test]
fn refused_reader_asks() {
    let mut first = instance_at(Some(2_000));
    assert_eq!(first.next_request(at(2_300), 0), None);
    assert!(first.next_request(at(2_400), 0).is_some());
    assert!(first.next_request(at(2_500), 0).is_some());
    first.record_vouch(&instance(0), at(2_500), &vouch(1, 10));
    assert_eq!(first.next_request(at(2_600), 0), None);
    let given = first.vouch(at(2_600), &instance(0)).unwrap();
    assert_eq!((given.origin, given.ages_us[0]), (instance(1), 100_000));
    let mut other = instance_at(Some(2_000));
    assert_eq!(other.next_request(at(2_700), 50), None);
    assert!(other.next_request(at(2_800), 50).is_some());
    assert_eq!(other.next_request(at(3_100), 50), None);
    assert!(other.next_request(at(3_200), 50).is_some());
}

/// An instance that began to watch the configuration vouches at once, although it need not watch the
/// members yet. Guards against readers that find nobody who vouches until the members are watched too.
#[test]
fn watched_config_suffices() {
    let own = instance(5);
    let mut currency = instance_at(None);
    currency.record_vouch(&own, at(2_000), &vouch(0, 10));
    assert_eq!(currency.vouch(at(3_600), &own), None);
    let held = currency::Held {
        revision: Some(11),
        head: 11,
        checked: Some(at(3_550)),
    };
    currency.record_held(Kind::Config, held);
    let given = currency.vouch(at(3_600), &own).unwrap();
    assert_eq!((given.origin, given.heads), (own.clone(), [11, 10, 10]));
    assert_eq!(currency.vouch(at(5_500), &own), None);
}

/// The first instances by rank list at their start, the others soon after if nobody answers. Guards
/// against a start that waits for its first copies as long as a running instance may for a change.
#[test]
fn first_copies_come_early() {
    let mut currency = currency::Currency::new(at(1_000), BOUNDS);
    let held = currency::Held {
        revision: Some(10),
        ..currency::Held::default()
    };
    currency.record_held(Kind::Instances, held);
    let expected = [Mode::Short, Mode::Short, Mode::Idle];
    assert_eq!(modes(&currency, 1_000, 5, IDLE), expected);
    assert_eq!(modes(&currency, 1_500, 50, IDLE), IDLE);
    assert_eq!(modes(&currency, 1_600, 50, IDLE), expected);
}

/// A vouch states the age of each kind. Guards against members that nobody has compared for longer than
/// `drainMs`, because readers that were lost one after the other had vouched for the configuration.
#[test]
fn members_age_by_themselves() {
    let (own, mut ms) = (instance(50), 2_000);
    let mut instances = [instance_at(None), instance_at(None), instance_at(None)];
    let mut last = instance_at(None);
    let first = currency::Vouch {
        origin: instance(9),
        ages_us: [0; 3],
        heads: [10; 3],
    };
    for currency in instances.iter_mut().chain([&mut last]) {
        currency.record_vouch(&own, at(ms), &first);
    }
    // Each reader takes over the configuration, vouches, and is lost before the members are due.
    for reader in 0..3 {
        ms += 1_700;
        let held = currency::Held {
            revision: Some(10),
            head: 10,
            checked: Some(at(ms)),
        };
        instances[reader].record_held(Kind::Config, held);
        let name = instance(reader as u32);
        let Some(vouch) = instances[reader].vouch(at(ms), &name) else {
            continue;
        };
        for currency in instances.iter_mut().chain([&mut last]) {
            currency.record_vouch(&own, at(ms), &vouch);
        }
    }
    // The members were compared at 2,000 ms. All must watch them after half of 7,000 ms.
    assert_ne!(
        modes(&last, 5_600, 50, IDLE)[Kind::Members as usize],
        Mode::Idle
    );
}
