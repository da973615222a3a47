//! The slopes of docs/CAPACITY.md: what control costs an instance, at several sizes.
//!
//! `cargo run --release -p cardamomhold_bench --example control_cost [spread]`

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

const PAGE_BYTES: usize = 4_096;
const SEED: u64 = 1;

fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Bytes of one of many copies of what is made.
///
/// The copies are never freed, for a later measurement would be given their memory again.
fn bytes_of<T>(copies: usize, make: impl Fn() -> T) -> usize {
    mem::forget(make());
    let before = resident();
    for _ in 0..copies {
        mem::forget(make());
    }
    (resident() - before) / copies
}

/// Mean time of a call, in microseconds.
fn micros_of(calls: u32, mut call: impl FnMut()) -> f64 {
    let start = time::Instant::now();
    for _ in 0..calls {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

fn rumors(count: usize) -> Vec<message::Rumor> {
    let mut rumors = Vec::new();
    for at in 0..count {
        rumors.push(message::Rumor {
            instance: fleet::Instance {
                name: name::InstanceName::parse(&format!("entry-{at:04}")).expect("name"),
                zone: name::ZoneName::parse(&format!("zone-{}", at % 10)).expect("name"),
                address: format!("10.20.{}.{}:7101", at / 250, at % 250),
                state: fleet::InstanceState::Alive,
            },
            incarnation: 1_800_000_000_000 + at as u64,
        });
    }
    rumors
}

fn member(rumors: &[message::Rumor]) -> swim::Swim {
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

fn membership(count: usize) {
    let known = rumors(count);
    let bytes = bytes_of(16, || member(&known));
    let mut swim = member(&known);
    let snapshot = bytes_of(16, || swim.fleet());
    let mut now = 0;
    let tick = micros_of(2_000, || {
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
    let receive = micros_of(20_000, || {
        let message = gossip::decode(&datagram).expect("message");
        let mut outputs = Vec::new();
        swim.receive("10.20.0.1:7101", &message, Timestamp(now), &mut outputs);
        for output in outputs {
            if let message::Output::Send(_, message) = output {
                hint::black_box(gossip::encode(&message));
            }
        }
    });
    let snapshot_us = micros_of(50, || {
        hint::black_box(swim.fleet());
    });
    let fleet = swim.fleet();
    let endpoint = name::MemberName::parse("bookings-1").expect("name");
    let zone = name::ZoneName::parse("zone-3").expect("name");
    let owner = micros_of(2_000, || {
        hint::black_box(fleet.owner(&endpoint, &zone));
    });
    println!(
        "membership instances={count} bytes={bytes} bytes_per_entry={} snapshot_bytes={snapshot} \
         tick_us={tick:.2} message_us={receive:.2} snapshot_us={snapshot_us:.0} owner_us={owner:.2}",
        bytes / count
    );
}

fn group(at: usize) -> config::Change {
    let member = |m: usize| {
        format!(
            r#"{{"name":"group-{at:04}-{m}","zone":"zone-{m}","address":"10.30.{}.{}:5432","draining":false}}"#,
            at / 250,
            at % 250
        )
    };
    let members = [member(1), member(2), member(3)].join(",");
    let value = format!(
        r#"{{"author":"operator","change":"01890000-0000-7000-8000-000000000000","spec":{{"group":{{"members":[{members}],"slots":3,"connections":50,"key_retention_s":86400}}}}}}"#
    );
    config::Change {
        name: format!("config/group/group-{at:04}"),
        value: value.as_bytes().into(),
        version: at as u64 + 1,
        removed: false,
    }
}

fn configuration(count: usize) {
    let groups: Vec<config::Change> = (0..count).map(group).collect();
    let make = || {
        let mut config = config::Config::default();
        for group in &groups {
            config.merge(group);
        }
        config.set_complete(count as u64);
        config
    };
    let bytes = bytes_of(4, make);
    let mut config = make();
    let clone = micros_of(50, || {
        hint::black_box(config.clone());
    });
    let since = count as u64 - 1;
    let page = micros_of(200, || {
        hint::black_box(config.page(since, 32).changes.len());
    });
    let mut version = count as u64;
    let merge = micros_of(2_000, || {
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

fn spread(per_zone: usize) {
    let start = time::Instant::now();
    let shown = dissemination::run_sized(per_zone, SEED);
    println!(
        "spread instances={} p50_ms={} p99_ms={} max_ms={} bytes_per_s={:.0} pulls={:.2} \
         datagrams_per_s={:.1} run_s={:.1}",
        shown.instances,
        shown.p50_ms,
        shown.p99_ms,
        shown.max_ms,
        shown.bytes_per_s,
        shown.pulls,
        shown.datagrams_per_s,
        start.elapsed().as_secs_f64()
    );
}

fn main() {
    if env::args().nth(1).as_deref() == Some("spread") {
        for per_zone in [2, 55, 110, 220, dissemination::PER_ZONE] {
            spread(per_zone);
        }
        return;
    }
    for count in [440, 1_100, 2_200, 4_400] {
        membership(count);
    }
    for count in [800, 1_600, 3_200, 6_400] {
        configuration(count);
    }
}
