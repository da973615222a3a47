//! Reading any bytes yields messages, the end of the stream or a typed error.

use bytes::BytesMut;
use cardamomhold_wire::answer;
use cardamomhold_wire::frame;
use pgwire::messages::startup;
use proptest::prelude::*;
use proptest::test_runner;

const SEED: u64 = 0x5eed_0004;

fn startup() -> BytesMut {
    let mut startup = startup::Startup::new();
    let user = ("user".to_owned(), "kalkbok".to_owned());
    startup.parameters.extend([user]);
    let mut out = BytesMut::new();
    answer::put(&mut out, &startup);
    out
}

fn tags() -> impl Strategy<Value = u8> {
    prop_oneof![
        8 => prop::sample::select(b"QPBEDCSHXpFdcf".to_vec()),
        1 => any::<u8>(),
    ]
}

/// Generates a message with a tag, any body and a length that is mostly correct.
fn message() -> impl Strategy<Value = Vec<u8>> {
    let body = prop::collection::vec(prop_oneof![Just(0u8), any::<u8>()], 0..40);
    (tags(), body, prop_oneof![6 => Just(0i32), 1 => -50..50i32]).prop_map(
        |(tag, body, len_error)| {
            let len = body.len() as i32 + 4 + len_error;
            let mut bytes = vec![tag];
            bytes.extend_from_slice(&len.to_be_bytes());
            bytes.extend_from_slice(&body);
            bytes
        },
    )
}

fn read_all(bytes: &[u8]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("runtime").block_on(async {
        let mut reader = frame::Reader::for_caller(bytes);
        let mut count = 0;
        while let Ok(Some(_)) = reader.next_frontend().await {
            count += 1;
        }
        count
    })
}

proptest! {
    #![proptest_config(test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 2_000,
        ..test_runner::Config::default()
    })]

    #[test]
    fn reading_terminates(messages in prop::collection::vec(message(), 1..6)) {
        let mut bytes = startup().to_vec();
        bytes.extend(messages.concat());
        let limit = messages.len() + messages.concat().len();
        prop_assert!(read_all(&bytes) <= limit + 1);
    }

    #[test]
    fn reads_any_first_bytes(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        prop_assert!(read_all(&bytes) <= bytes.len());
    }
}
