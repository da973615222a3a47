//! An owner whose membership may have expired refuses work as "not run".

use std::sync;
use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::rank;
use cardamomhold_core::time::Timestamp;
use cardamomhold_daemon::clock;
use cardamomhold_daemon::fleet as fleet_task;
use cardamomhold_daemon::metrics;
use cardamomhold_daemon::owner;
use cardamomhold_daemon::stop;
use cardamomhold_daemon::stream;
use cardamomhold_fleet::fleet;
use tokio::sync::mpsc;
use tokio::sync::watch;

fn config_with_group() -> config::Config {
    let value = r#"{"author": "a", "change": "c", "spec": {"group": {
        "members": [{"name": "m", "zone": "a", "address": "127.0.0.1:1"}],
        "slots": 1, "connections": 10, "key_retention_s": 60}}}"#;
    let mut config = config::Config::default();
    config.merge(&config::Change {
        name: "config/group/g".to_owned(),
        value: value.as_bytes().into(),
        version: 1,
        removed: false,
    });
    config
}

fn ticket() -> stream::Ticket {
    stream::Ticket {
        group: name::GroupName::parse("g").expect("name"),
        member: name::MemberName::parse("m").expect("name"),
        term: position::Term(1),
        rank: rank::Rank::Normal,
        caller: name::CallerName::parse("kalkbok").expect("name"),
        deadline: time::Duration::from_secs(5),
        access: stream::Access::Write,
        request_key: None,
        begins: false,
        seen: None,
        setup: Vec::new(),
    }
}

/// The answer of an owner whose own membership is valid until `valid_until`.
async fn first_failure(valid_until: Option<Timestamp>) -> stream::Failure {
    let (_config, config) = watch::channel(sync::Arc::new(config_with_group()));
    let (_fleet, fleet) = watch::channel(sync::Arc::new(fleet::Fleet::default()));
    let (_membership, membership) = watch::channel(fleet_task::Membership {
        valid_until,
        answered_at: None,
    });
    let (_phase, phase) = watch::channel(stop::Phase::default());
    let (leaderships, _calls) = mpsc::channel(1);
    let owner = owner::start(owner::Context {
        instance: name::InstanceName::parse("entry-a").expect("name"),
        config,
        fleet,
        membership,
        clock: clock::Clock::start(),
        leaderships,
        metrics: metrics::Metrics::new().expect("metrics"),
        stop: stop::Stop::new(phase),
        accounts: accounts::Handle::unlimited(),
    });
    let (mut stream, end) = stream::pair();
    let request = owner::Request::Open(Box::new(ticket()), end);
    assert!(owner.send(request).await.is_ok());
    let batch = stream::Batch {
        frames: bytes::Bytes::from_static(b"Q\0\0\0\x0dSELECT 1\0"),
        sync: true,
        answers: 0,
    };
    // A refusal may have ended the stream already.
    let _ = stream.up.send(stream::Up::Batch(batch)).await;
    match stream.down.recv().await {
        Some(stream::Down::Failure(failure)) => failure,
        other => panic!("no failure: {other:?}"),
    }
}

#[tokio::test]
async fn expired_owner_refuses() {
    let rejoining = stream::Failure::NotRun(outcome::Refusal::Rejoining);
    assert_eq!(first_failure(None).await, rejoining);
    // A membership that expired at the start, as if the fleet's task had not renewed it.
    assert_eq!(first_failure(Some(Timestamp(0))).await, rejoining);
}

#[tokio::test]
async fn valid_owner_connects() {
    // Nobody listens at the member's address, so the owner fails when it connects.
    let failure = first_failure(Some(Timestamp::from_millis(60_000))).await;
    assert_eq!(
        failure,
        stream::Failure::NotRun(outcome::Refusal::ConnectFailed)
    );
}
