//! Random walks of the budget, against a count of what each holder has.

use std::collections;

use cardamomhold_budget::budget;
use cardamomhold_budget::plan;
use cardamomhold_core::time::Timestamp;
use proptest::prelude::*;

const LIMITS: plan::Limits = plan::Limits {
    bytes: 10_000,
    callers: 12,
    starts: 4,
    peers: 4,
};

#[derive(Debug, Clone)]
enum Event {
    Open,
    Start(usize),
    Charge(usize, usize),
    Hold(usize, usize),
    Release(usize, usize),
    Close(usize),
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        2 => Just(Event::Open),
        2 => (0usize..12).prop_map(Event::Start),
        6 => (0usize..12, 1usize..4_000).prop_map(|(i, n)| Event::Charge(i, n)),
        1 => (0usize..12, 1usize..2_000).prop_map(|(i, n)| Event::Hold(i, n)),
        3 => (0usize..12, 1usize..6_000).prop_map(|(i, n)| Event::Release(i, n)),
        1 => (0usize..12).prop_map(Event::Close),
        2 => (1u64..2_500).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..200)
}

/// What the walk knows about a holder.
#[derive(Debug, Default)]
struct Known {
    held: usize,
    wanted: collections::VecDeque<usize>,
    must_close: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Granted bytes never exceed the budget, the sum is right, nobody gives way for memory while
    /// no charge waits, and no charge waits for ever once holders that must give way have closed.
    #[test]
    fn bytes_stay_bounded(events in events()) {
        let mut budget = budget::Budget::new(LIMITS);
        let mut known: collections::BTreeMap<budget::Holder, Known> = Default::default();
        let mut now = Timestamp::default();
        let mut forced = 0;
        let end = [Event::Wait(1), Event::Wait(2_000), Event::Wait(2_000), Event::Wait(2_000)];
        for event in events.into_iter().chain(end) {
            let nth = |i: usize| known.keys().nth(i % known.len().max(1)).copied();
            let mut closing = Vec::new();
            let steps = match event {
                Event::Open => match budget.open(now, budget::Kind::Caller) {
                    Ok((holder, steps)) => {
                        known.insert(holder, Known::default());
                        steps
                    }
                    Err(reason) => {
                        prop_assert_eq!(reason, budget::Reason::Callers);
                        prop_assert_eq!(known.len(), LIMITS.callers);
                        Vec::new()
                    }
                },
                Event::Start(i) => {
                    nth(i).into_iter().for_each(|h| budget.start(h));
                    Vec::new()
                }
                Event::Charge(i, bytes) => match nth(i) {
                    Some(holder) => {
                        known.entry(holder).or_default().wanted.push_back(bytes);
                        budget.charge(now, holder, bytes)
                    }
                    None => Vec::new(),
                },
                Event::Hold(i, bytes) => match nth(i) {
                    Some(holder) => {
                        known.entry(holder).or_default().held += bytes;
                        forced += bytes;
                        budget.hold(now, holder, bytes)
                    }
                    None => Vec::new(),
                },
                Event::Release(i, bytes) => match nth(i) {
                    Some(holder) => {
                        let entry = known.entry(holder).or_default();
                        entry.held -= bytes.min(entry.held);
                        budget.release(now, holder, bytes)
                    }
                    None => Vec::new(),
                },
                Event::Close(i) => {
                    closing.extend(nth(i));
                    Vec::new()
                }
                Event::Wait(ms) => {
                    now = now.after(std::time::Duration::from_millis(ms));
                    // The connections that must close have done so.
                    closing.extend(known.iter().filter(|(_, k)| k.must_close).map(|(h, _)| *h));
                    budget.settle(now)
                }
            };
            let mut steps = collections::VecDeque::from(steps);
            loop {
                while let Some(step) = steps.pop_front() {
                    match step {
                        budget::Step::Grant(holder) => {
                            let entry = known.entry(holder).or_default();
                            entry.held += entry.wanted.pop_front().unwrap_or_default();
                        }
                        budget::Step::GiveWay(holder, reason) => {
                            let is_short = known.values().any(|k| !k.wanted.is_empty());
                            prop_assert!(is_short || reason != budget::Reason::Memory);
                            let entry = known.entry(holder).or_default();
                            prop_assert!(!entry.must_close || reason == budget::Reason::TooLarge);
                            if reason == budget::Reason::TooLarge {
                                // The charge is refused, and doesn't wait.
                                entry.wanted.pop_back();
                            }
                            entry.must_close = true;
                        }
                        budget::Step::Stay(holder) => {
                            known.entry(holder).or_default().must_close = false;
                        }
                    }
                }
                let Some(holder) = closing.pop() else {
                    break;
                };
                known.remove(&holder);
                steps.extend(budget.close(now, holder));
            }
            let sum: usize = known.values().map(|k| k.held).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert!(sum <= LIMITS.bytes + forced);
        }
        // Everyone that must has closed, and after the waits nobody is left to wait for.
        let waiting = known.values().filter(|k| !k.must_close).any(|k| !k.wanted.is_empty());
        let leaving = known.values().any(|k| k.must_close);
        prop_assert!(!waiting || leaving, "{known:?}");
    }
}
