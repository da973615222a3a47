//! Malformed bytes between instances end at most the connection that they came on.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_core::name;
use cardamomhold_entry::clock;
use cardamomhold_entry::link;
use cardamomhold_entry::link::Connector;
use cardamomhold_entry::link::Link;
use cardamomhold_entry::message;
use cardamomhold_entry::relay;
use cardamomhold_entry::relay::frame;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const INSTANCES: usize = 20;

fn header() -> frame::Header {
    frame::Header {
        max_wait: None,
        group: world::group_name(),
        member: world::member("a"),
        caller: world::caller(),
        grant: None,
        rank: 0,
        target_us: 150_000,
    }
}

fn request(text: &str) -> Vec<u8> {
    let request = frame::Request {
        header: Some(header()),
        left_us: 800_000,
        body: frame::Body::Call(link::Command::Pass {
            id: "q1",
            after: None,
            text,
        }),
    };
    postcard::to_stdvec(&request).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Decoding never panics, whatever arrives.
    #[test]
    fn bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = frame::decode::<frame::Request<'_>>(&bytes);
        let _ = frame::decode::<frame::Reply>(&bytes);
        let _: Result<message::Envelope, _> = postcard::from_bytes(&bytes);
    }

    /// Nor does it for frames that are nearly right.
    #[test]
    fn changed_frames_are_decoded_or_refused(
        index in any::<prop::sample::Index>(),
        value in any::<u8>(),
        len in any::<prop::sample::Index>(),
    ) {
        let mut bytes = request("READ x");
        let at = index.index(bytes.len());
        bytes[at] = value;
        bytes.truncate(len.index(bytes.len()) + 1);
        let _ = frame::decode::<frame::Request<'_>>(&bytes);
    }
}

/// An owner that receives malformed frames, frames without an end and names that it doesn't know
/// goes on serving other instances.
#[test]
fn owner_goes_on() {
    world::run_in_real_time(async {
        let fleet = world::fleet(INSTANCES);
        let name = world::World::new(INSTANCES).first_owner("a");
        let owner = world::World::with_instance(&name, fleet.len());
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        relay::owner::start(
            listener,
            relay::owner::Context {
                views: owner.views.subscribe(),
                groups: owner.groups.clone(),
                phase: owner.phases.subscribe(),
                limits: Default::default(),
                traffic: owner.traffic().clone(),
                users: Default::default(),
            },
        );
        let good = request("READ x");
        let cut = &good[..good.len() - 3];
        let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_be_bytes(), bytes].concat();
        let odd: [Vec<u8>; 5] = [
            vec![0xff; 64],
            u32::MAX.to_be_bytes().to_vec(),
            framed(&[0xff; 40]),
            framed(cut),
            framed(b""),
        ];
        let mut held = Vec::new();
        for bytes in odd {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&bytes).await.unwrap();
            let mut end = Vec::new();
            let wait = time::Duration::from_millis(200);
            // A frame whose end is awaited leaves the connection open.
            let _ = tokio::time::timeout(wait, stream.read_to_end(&mut end)).await;
            held.push(stream);
        }
        let target = link::Target {
            group: world::group_name(),
            member: world::member("a"),
            address: ([127, 0, 0, 1], 1).into(),
            via: Some(link::Owner {
                name: name::InstanceName::parse("owner").unwrap(),
                address,
            }),
            workspace: None,
        };
        let connector = relay::Connector::new(owner.members.clone(), owner.traffic());
        let (mut link, _) = connector.open(&target).await.unwrap();
        let deadline = clock::now().after(time::Duration::from_secs(5));
        link.set_priority(link::Priority {
            max_wait: None,
            rank: 200,
            caller: world::caller(),
            grant: None,
            target: deadline,
            deadline,
        });
        let command = link::Command::Pass {
            id: "q1",
            after: None,
            text: "READ x",
        };
        let answer = link.call(command).await.unwrap();
        assert_eq!(answer.code(), None);
    });
}
