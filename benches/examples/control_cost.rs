//! Measures the cost of membership and configuration per instance at several sizes, for
//! docs/CAPACITY.md.
//!
//! `cargo run --release -p cardamomhold_bench --example control_cost [measure_spread]`

use std::env;
use std::fs;
use std::hint;
use std::mem;
use std::time;

use cardamomhold_bench::dissemination;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_daemon::gossip;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_fleet::swim;

/// Size of a memory page, in bytes.
const PAGE_SIZE: usize = 4_096;
/// Seed of the membership's random choices.
const SEED: u64 = 1;

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

/// Returns the mean memory of one value returned by `make`, in bytes, over a number of copies.
///
/// The copies are never freed, because a later measurement would reuse their memory.
fn bytes_per_copy<T>(copies: usize, make: impl Fn() -> T) -> usize {
    mem::forget(make());
    let before = resident_bytes();
    for _ in 0..copies {
        mem::forget(make());
    }
    (resident_bytes() - before) / copies
}

/// Returns the mean time of a call, in microseconds.
fn mean_us(calls: u32, mut call: impl FnMut()) -> f64 {
    let start = time::Instant::now();
    for _ in 0..calls {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

fn rumors(count: usize) -> Vec<message::Rumor> {
    let mut rumors = Vec::new();
    for index in 0..count {
        rumors.push(message::Rumor {
            instance: fleet::Instance {
                name: name::InstanceName::parse(&format!("entry-{index:04}")).expect("name"),
                zone: name::ZoneName::parse(&format!("zone-{}", index % 10)).expect("name"),
                address: format!("10.20.{}.{}:7101", index / 250, index % 250),
                state: fleet::InstanceState::Alive,
            },
            incarnation: 1_800_000_000_000 + index as u64,
        });
    }
    rumors
}

fn new_swim(rumors: &[message::Rumor]) -> swim::Swim {
    let mut swim = swim::Swim::new(swim::Config {
        own: rumors[0].instance.clone(),
        incarnation: rumors[0].incarnation,
        seeds: Vec::new(),
        seed: SEED,
        now: Timestamp(0),
    });
    swim.adopt(rumors, Timestamp(0));
    swim
}

fn measure_membership(count: usize) {
    let known = rumors(count);
    let bytes = bytes_per_copy(16, || new_swim(&known));
    let mut swim = new_swim(&known);
    let snapshot = bytes_per_copy(16, || swim.fleet());
    let mut now = 0;
    let tick = mean_us(2_000, || {
        now += 100_000;
        let mut outputs = Vec::new();
        swim.tick(Timestamp(now), &mut outputs);
        hint::black_box(outputs);
    });
    let ping = message::Message {
        from: rumors(2)[1].instance.name.clone(),
        incarnation: 1_800_000_000_001,
        sequence: 7,
        kind: message::Kind::Ping,
        rumors: Vec::new(),
        through: 9,
        answer_age: None,
        joining: false,
    };
    let datagram = gossip::encode(&ping);
    let receive = mean_us(20_000, || {
        let message = gossip::decode(&datagram).expect("message");
        let mut outputs = Vec::new();
        swim.receive("10.20.0.1:7101", &message, Timestamp(now), &mut outputs);
        for output in outputs {
            if let message::Output::Send(_, message) = output {
                hint::black_box(gossip::encode(&message));
            }
        }
    });
    let snapshot_us = mean_us(50, || {
        hint::black_box(swim.fleet());
    });
    let fleet = swim.fleet();
    let endpoint = name::MemberName::parse("bookings-1").expect("name");
    let zone = name::ZoneName::parse("zone-3").expect("name");
    let owner = mean_us(2_000, || {
        hint::black_box(fleet.owner(&endpoint, &zone));
    });
    println!(
        "membership instances={count} bytes={bytes} bytes_per_entry={} snapshot_bytes={snapshot} \
         tick_us={tick:.2} message_us={receive:.2} snapshot_us={snapshot_us:.0} owner_us={owner:.2}",
        bytes / count
    );
}

fn group(index: usize) -> config::Change {
    let member = |m: usize| {
        format!(
            r#"{{"name":"group-{index:04}-{m}","zone":"zone-{m}","address":"10.30.{}.{}:5432","draining":false}}"#,
            index / 250,
            index % 250
        )
    };
    let members = [member(1), member(2), member(3)].join(",");
    let value = format!(
        r#"{{"author":"operator","change":"01890000-0000-7000-8000-000000000000","spec":{{"group":{{"members":[{members}],"slots":3,"connections":50,"key_retention_s":86400}}}}}}"#
    );
    config::Change {
        name: format!("config/group/group-{index:04}"),
        value: value.as_bytes().into(),
        version: index as u64 + 1,
        removed: false,
    }
}

fn measure_configuration(count: usize) {
    let groups: Vec<config::Change> = (0..count).map(group).collect();
    let make = || {
        let mut config = config::Config::default();
        for group in &groups {
            config.merge(group);
        }
        config.set_complete(count as u64);
        config
    };
    let bytes = bytes_per_copy(4, make);
    let mut config = make();
    let clone = mean_us(50, || {
        hint::black_box(config.clone());
    });
    let since = count as u64 - 1;
    let page = mean_us(200, || {
        hint::black_box(config.page(since, 32).changes.len());
    });
    let mut version = count as u64;
    let merge = mean_us(2_000, || {
        version += 1;
        let mut change = group(version as usize % count);
        change.version = version;
        config.merge(&change);
    });
    println!(
        "configuration groups={count} bytes={bytes} bytes_per_group={} value_bytes={} \
         snapshot_us={clone:.0} page_us={page:.0} merge_us={merge:.1}",
        bytes / count,
        group(0).value.len()
    );
}

fn measure_spread(per_zone: usize) {
    let start = time::Instant::now();
    let result = dissemination::run_sized(per_zone, SEED);
    println!(
        "spread instances={} p50_ms={} p99_ms={} max_ms={} bytes_per_s={:.0} pulls={:.2} \
         datagrams_per_s={:.1} run_s={:.1}",
        result.instances,
        result.p50_ms,
        result.p99_ms,
        result.max_ms,
        result.bytes_per_s,
        result.pulls,
        result.datagrams_per_s,
        start.elapsed().as_secs_f64()
    );
}

fn main() {
    if env::args().nth(1).as_deref() == Some("spread") {
        for per_zone in [2, 55, 110, 220, dissemination::INSTANCES_PER_ZONE] {
            measure_spread(per_zone);
        }
        return;
    }
    for count in [440, 1_100, 2_200, 4_400] {
        measure_membership(count);
    }
    for count in [800, 1_600, 3_200, 6_400] {
        measure_configuration(count);
    }
}
