//! A model of the renewals' bytes in virtual time, with the real messages, samples and choice of
//! readers. Guards against a reader whose bytes grow with the product of instances and groups.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::currency;
use cardamomhold_entry::message;
use cardamomhold_entry::registry;
use cardamomhold_lead::pages;
use cardamomhold_lead::promotion_lock;
use cardamomhold_pool::exchange;
use cardamomhold_pool::interest;
use cardamomhold_pool::sample;

/// Bytes that a link carries in a second; a reader's control takes at most half of it.
const LINK_BYTES: usize = 1_250_000;

/// Groups that the clients of one instance use.
const USED_GROUPS: usize = 8;

/// Interval of the renewals.
const ROUND_US: u64 = 250_000;

const ROUNDS: u64 = 8;

/// Headers of a datagram, in bytes.
const HEADER_LEN: usize = 28;

struct Instance {
    exchange: exchange::Exchange,
    interest: interest::Interest,
}

fn group(index: usize) -> name::GroupName {
    name::GroupName::parse(&format!("huvo{index:04}a")).unwrap()
}

fn encoded(from: &name::InstanceName, message: message::Message) -> usize {
    let from = from.clone();
    let envelope = message::Envelope { from, message };
    postcard::to_stdvec(&envelope).unwrap().len() + HEADER_LEN
}

fn seen() -> message::Seen {
    message::Seen {
        config: 300,
        members: 90_000,
    }
}

fn mark() -> pages::Mark {
    pages::Mark {
        run_id: u32::MAX,
        version: 900,
    }
}

/// Bytes a second of the busiest and the median instance. Each group has a new sample in each
/// interval at each instance that uses it. An instance that `wants_all` names all groups.
fn run(count: usize, groups: usize, wants_all: bool) -> (usize, usize) {
    let mut fleet = registry::Instances::new();
    for index in 0..count {
        let name = name::InstanceName::parse(&format!("front-{index:05}")).unwrap();
        let entry = registry::Entry {
            address: ([127, 0, 0, 1], 7000).into(),
            zone: format!("zone-{}", index % 3),
        };
        fleet.insert(name, entry);
    }
    let names: Vec<_> = fleet.keys().cloned().collect();
    let mut instances: collections::BTreeMap<_, _> = collections::BTreeMap::new();
    for (index, name) in names.iter().enumerate() {
        let exchange = exchange::Exchange::new(index as u64);
        let interest = interest::Interest::default();
        instances.insert(name.clone(), Instance { exchange, interest });
    }
    let mut bytes: collections::BTreeMap<name::InstanceName, usize> = collections::BTreeMap::new();
    for round in 1..=ROUNDS {
        for (index, name) in names.iter().enumerate() {
            let now = Timestamp(round * ROUND_US + index as u64 * ROUND_US / count as u64);
            let instance = instances.get_mut(name).unwrap();
            for used in 0..USED_GROUPS {
                let group = group((index * USED_GROUPS + used) % groups);
                let log = position::LogPosition(90_000 + round);
                let position = position::Position::new(position::Term(7), log);
                let sent = Timestamp(now.0 - 1_000);
                instance
                    .exchange
                    .insert(&group, sample::Sample { sent, position });
                instance.interest.record_use(now, &group);
            }
            let zone_reader = registry::reader(&fleet, name, 0);
            let is_relaying = zone_reader == name;
            let reader = match is_relaying {
                true => registry::fleet_reader(&fleet, name, 0),
                false => zone_reader,
            };
            if reader == name {
                continue;
            }
            let wanted = instance.interest.wanted(now, is_relaying || wants_all);
            let report = instance.exchange.report();
            let reference = report.reference;
            let request = message::Message::RenewalRequest {
                number: 4_000_000_000,
                held: message::Held {
                    digest: u64::MAX,
                    generation: 12,
                    mark: Some(mark()),
                },
                seen: seen(),
                report: report.clone(),
                wanted: wanted.clone(),
            };
            let source = instances.get_mut(reader).unwrap();
            source.exchange.apply_report(&report);
            let answer = source.exchange.answer_wanted(now, reference, &wanted);
            let reply = message::Message::RenewalReply {
                number: 4_000_000_000,
                age_us: 40_000,
                held_us: 120_000,
                state: message::State::Same(mark()),
                lock: Some(promotion_lock::PromotionLock {
                    holder: reader.clone(),
                    token: 90,
                }),
                seen: seen(),
                samples: answer.clone(),
                vouch: Some(currency::Vouch {
                    origin: reader.clone(),
                    ages_us: [400_000; 3],
                    heads: [90_000; 3],
                }),
            };
            let instance = instances.get_mut(name).unwrap();
            instance.interest.record_answer(now);
            instance.exchange.apply_answer(now, now, &answer);
            // The first answers have what the readers have collected until then.
            if round > ROUNDS / 2 {
                let len = encoded(name, request) + encoded(reader, reply);
                *bytes.entry(name.clone()).or_default() += len;
                *bytes.entry(reader.clone()).or_default() += len;
            }
        }
    }
    let mut bytes: Vec<_> = bytes.into_values().collect();
    bytes.sort_unstable();
    let rounds_a_second = (1_000_000 / ROUND_US) as usize;
    let counted = (ROUNDS / 2) as usize;
    let a_second = |bytes: usize| bytes * rounds_a_second / counted;
    (
        a_second(bytes[bytes.len() - 1]),
        a_second(bytes[bytes.len() / 2]),
    )
}

/// Groups grow with the instances, while each instance's clients use as many as before. The last
/// fleet has as many groups as each instance uses.
#[test]
fn reader_keeps_to_its_link() {
    let mut medians = Vec::new();
    for (count, groups) in [(26, 26), (134, 134), (295, 295), (295, 8)] {
        let (all, median_all) = run(count, groups, true);
        let (busiest, median) = run(count, groups, false);
        println!(
            "{count} instances, {groups} groups: busiest {busiest}, median {median}; with the \
             samples of all groups {all}, {median_all}"
        );
        assert!(busiest <= LINK_BYTES / 2, "{count}: {busiest}");
        medians.push(median);
    }
    // What an instance uses is the same at all sizes.
    assert!(medians[2] <= medians[0] * 11 / 10, "{medians:?}");
}
