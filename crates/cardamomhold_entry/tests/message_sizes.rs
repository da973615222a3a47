//! Sizes of the datagrams, which docs/design/control-traffic.md counts with. Guards against messages
//! that grow with the number of groups.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::currency;
use cardamomhold_entry::message;
use cardamomhold_lead::pages;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_pool::exchange;
use cardamomhold_pool::interest;
use cardamomhold_pool::sample;

/// Largest datagram with a page of leaderships and without samples.
const MAX_PAGE_DATAGRAM: usize = 600;

fn group(index: usize) -> name::GroupName {
    name::GroupName::parse(&format!("huvo{index:04}a")).unwrap()
}

fn instance() -> name::InstanceName {
    name::InstanceName::parse("front-mitt-a-01").unwrap()
}

fn encoded(message: message::Message) -> usize {
    let from = instance();
    let envelope = message::Envelope { from, message };
    postcard::to_stdvec(&envelope).unwrap().len()
}

fn records(count: usize) -> record::Leaderships {
    let mut records = record::Leaderships::default();
    for index in 0..count {
        let primary = name::MemberName::parse(&format!("huvo{index:04}a-1")).unwrap();
        let first = record::Leadership::first(&group(index), &primary, position::Term(7));
        records.update(&first);
    }
    records
}

/// An exchange with a new sample of each group.
fn samples(count: usize) -> exchange::Exchange {
    let mut samples = exchange::Exchange::new(u64::MAX / 3);
    let position = position::Position::new(position::Term(7), position::LogPosition(90_000));
    for index in 0..count {
        let sent = Timestamp::from_millis(4_000_000);
        samples.insert(&group(index), sample::Sample { sent, position });
    }
    samples
}

/// What an instance that uses eight groups wants.
fn wanted() -> interest::Wanted {
    let mut interest = interest::Interest::default();
    for index in 0..8 {
        interest.record_use(Timestamp(1), &group(index));
    }
    interest.wanted(Timestamp(2), false)
}

fn request(samples: &exchange::Exchange) -> usize {
    encoded(message::Message::RenewalRequest {
        number: 4_000_000_000,
        held: message::Held {
            digest: u64::MAX,
            generation: 12,
            mark: Some(pages::Mark {
                run_id: u32::MAX,
                version: 900,
            }),
        },
        seen: message::Seen {
            config: 300,
            members: 90_000,
        },
        report: samples.report(),
        wanted: wanted(),
    })
}

fn reply(state: message::State, samples: &exchange::Exchange) -> usize {
    encoded(message::Message::RenewalReply {
        number: 4_000_000_000,
        age_us: 40_000,
        held_us: 120_000,
        state,
        lock: Some(promotion_lock::PromotionLock {
            holder: instance(),
            token: 90,
        }),
        seen: message::Seen {
            config: 300,
            members: 90_000,
        },
        samples: samples.answer(Timestamp::from_millis(4_000_100)),
        vouch: Some(currency::Vouch {
            origin: instance(),
            ages_us: [400_000; 3],
            heads: [90_000; 3],
        }),
    })
}

/// Without news a renewal costs the same with any number of groups.
#[test]
fn quiet_renewal_is_small() {
    let mark = pages::Mark {
        run_id: u32::MAX,
        version: 900,
    };
    let quiet = samples(0);
    let (request, reply) = (request(&quiet), reply(message::State::Same(mark), &quiet));
    println!("quiet: request {request}, reply {reply}");
    assert!(request <= 100 && reply <= 120, "{request} {reply}");
}

/// Samples are the part that follows the work: each group with one costs some 20 bytes.
#[test]
fn samples_follow_groups() {
    let mark = pages::Mark {
        run_id: u32::MAX,
        version: 900,
    };
    for count in [8, 140] {
        let reply = reply(message::State::Same(mark), &samples(count));
        println!("{count} groups with new samples: reply {reply}");
        assert!(reply <= 120 + 25 * count);
    }
}

/// Leaderships never make a datagram larger than a page.
#[test]
fn leaderships_are_paged() {
    for count in [1, 8, 140, 6_400] {
        let page = records(count).page(u32::MAX, None);
        let state = message::State::Changed { page, voters: None };
        let reply = reply(state, &samples(0));
        println!("{count} groups, no mark: reply {reply}");
        assert!(reply <= MAX_PAGE_DATAGRAM, "{count} groups: {reply}");
    }
}
