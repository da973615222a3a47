//! Targets of lease renewal, and the number of requests that it causes.

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::lease;
use cardamomhold_lead::renewal;

/// Counts the requests in ten seconds of ticks with a constant remaining lease time.
fn count_requests(remaining_ms: u64, is_reader: bool, is_store_lost: bool) -> (u32, u32, u32) {
    let mut renewal = renewal::Renewal::default();
    let remaining = time::Duration::from_millis(remaining_ms);
    let (mut store, mut reader, mut majority) = (0, 0, 0);
    for tick in 0..100 {
        let now = Timestamp::from_millis(1_000 + tick * 100);
        let requests = renewal.next(now, remaining, is_reader, is_store_lost);
        store += u32::from(requests.store);
        reader += u32::from(requests.reader);
        majority += u32::from(requests.majority);
    }
    (store, reader, majority)
}

#[test]
fn instance_asks_reader() {
    let (store, reader, majority) = count_requests(800, false, false);
    assert_eq!((store, majority), (0, 0));
    assert!((25..=40).contains(&reader), "{reader}");
}

#[test]
fn reader_asks_store() {
    let (store, reader, majority) = count_requests(800, true, false);
    assert_eq!((reader, majority), (0, 0));
    assert!((25..=40).contains(&store), "{store}");
}

/// While the store is unavailable, readers ask a majority and the others ask their reader.
#[test]
fn reader_asks_majority() {
    let (_, _, majority) = count_requests(400, true, true);
    assert!((25..=40).contains(&majority), "{majority}");
    let (store, reader, majority) = count_requests(400, false, true);
    assert_eq!(majority, 0);
    assert!(store > 0 && reader > 0);
}

/// An instance that gets no confirmation from its reader asks a majority before its lease
/// expires.
#[test]
fn falls_back_to_majority() {
    let (store, _, majority) = count_requests(200, false, false);
    assert!(store > 0 && majority > 0);
    assert!(renewal::MAJORITY_THRESHOLD + renewal::RENEWAL_INTERVAL < lease::DURATION);
}

#[test]
fn limits_readers() {
    for count in [1, 4, 16, 17, 50, 64, 65, 1_500] {
        let mut readers = std::collections::BTreeSet::new();
        for index in 0..count {
            readers.insert(renewal::reader(index, count, 0));
        }
        assert_eq!(readers.len(), count.div_ceil(renewal::INSTANCES_PER_READER));
    }
}

/// An instance whose reader does not answer asks another one, which then reads the store.
#[test]
fn skips_unresponsive_reader() {
    let mut renewal = renewal::Renewal::default();
    let at = Timestamp::from_millis;
    assert_eq!(renewal.skipped_readers(at(1_000), renewal::Level::Zone), 0);
    renewal.record_answer(renewal::Level::Zone);
    renewal.record_sent(at(1_300), renewal::Level::Zone);
    assert_eq!(renewal.skipped_readers(at(1_300), renewal::Level::Zone), 0);
    renewal.record_sent(at(1_550), renewal::Level::Zone);
    assert_eq!(renewal.skipped_readers(at(1_600), renewal::Level::Zone), 0);
    assert_eq!(renewal.skipped_readers(at(1_700), renewal::Level::Zone), 1);
    assert_ne!(renewal::reader(9, 50, 0), renewal::reader(9, 50, 1));
    let mut other = renewal::Renewal::default();
    assert!(!other.acts_as_reader(at(1_700)));
    other.record_request(at(1_700));
    assert!(other.acts_as_reader(at(2_600)));
    assert!(!other.acts_as_reader(at(2_800)));
    renewal.record_answer(renewal::Level::Zone);
    assert_eq!(renewal.skipped_readers(at(6_600), renewal::Level::Zone), 1);
    renewal.record_answer(renewal::Level::Zone);
    assert_eq!(
        renewal.skipped_readers(at(6_800), renewal::Level::Zone),
        0,
        "the first reader is asked again"
    );
}

/// A reader that answers each request in time isn't skipped, however long after its last answer the
/// next request is due. Guards against instances of a zone that read the store beside their reader
/// for five seconds at a time.
#[test]
fn answering_reader_is_kept() {
    let mut renewal = renewal::Renewal::default();
    let mut sent = None;
    for tick in 0..400 {
        let now = Timestamp::from_millis(1_000 + tick * 50);
        // The reader keeps each request for the longest time, which ends on its own next tick.
        if sent.is_some_and(|at: Timestamp| now.since(at).as_millis() >= 350) {
            renewal.record_answer(renewal::Level::Fleet);
            sent = None;
        }
        assert_eq!(renewal.skipped_readers(now, renewal::Level::Fleet), 0);
        // Requests are sent on the instance's own ticks.
        if sent.is_none() && tick % 6 == 0 {
            renewal.record_sent(now, renewal::Level::Fleet);
            sent = Some(now);
        }
    }
}

/// After a reader was skipped, the next one is asked on the same tick. Guards against an instance
/// whose readers are all gone and that takes their place too late to change the voters.
#[test]
fn next_reader_is_asked_at_once() {
    let mut renewal = renewal::Renewal::default();
    let remaining = time::Duration::from_millis(700);
    let level = renewal::Level::Fleet;
    let mut skips = Vec::new();
    for tick in 0..20 {
        let now = Timestamp::from_millis(1_000 + tick * 100);
        let skipped = renewal.skipped_readers(now, level);
        if skipped > skips.len() {
            skips.push(tick * 100);
        }
        if renewal.next(now, remaining, false, false).reader {
            renewal.record_sent(now, level);
        }
    }
    assert_eq!(skips, [400, 800, 1_200, 1_600]);
}

/// While the store is unavailable, an instance that is not a reader rarely asks it.
#[test]
fn limits_store_retries() {
    let (store, _, _) = count_requests(800, false, true);
    assert!((9..=11).contains(&store), "{store}");
}
