//! When the sessions of a stopping instance end.

use std::time;

use cardamomhold_entry::stop;
use cardamomhold_entry::stop::shutdown;

const GRACE: time::Duration = time::Duration::from_secs(6);

/// Guards against a burst of reconnecting callers: all sessions of an instance ended at once.
#[test]
fn ends_are_spread() {
    let schedule = stop::schedule(GRACE);
    for first in [0, 1_000, u32::MAX - 50] {
        let mut due = [0; 10];
        let mut idle = [0; 10];
        for offset in 0..100 {
            let end = schedule.session_end(u32::wrapping_add(first, offset));
            due[(end.due.as_micros() * 10 / schedule.draining.as_micros()) as usize] += 1;
            let span = schedule.closing - schedule.ending;
            let after = end.idle - schedule.ending;
            idle[(after.as_micros() * 10 / span.as_micros()) as usize] += 1;
        }
        for count in due.into_iter().chain(idle) {
            assert!((8..=12).contains(&count), "{due:?} {idle:?}");
        }
    }
}

/// Guards against a schedule that leaves no time between its phases, whatever the grace time.
#[test]
fn phases_are_ordered() {
    for seconds in 1..=60 {
        let grace = time::Duration::from_secs(seconds);
        let schedule = stop::schedule(grace);
        let times = [
            schedule.draining,
            schedule.ending,
            schedule.closing,
            schedule.exit,
            grace,
        ];
        assert!(times.is_sorted_by(|a, b| a < b), "{schedule:?}");
        assert!(schedule.exit <= grace * 9 / 10);
    }
}

/// The phases that a process begins, with the times at which they are due, until it exits.
fn steps(mut shutdown: shutdown::Shutdown) -> Vec<(stop::Phase, time::Duration)> {
    let mut steps = Vec::new();
    loop {
        let (step, due) = shutdown.next();
        let shutdown::Step::Enter(phase) = step else {
            return steps;
        };
        shutdown.enter(phase);
        steps.push((phase, due));
    }
}

/// Guards against a process that serves callers for the whole grace time although it has none, and
/// one that leaves callers out although it has some.
#[test]
fn phases_depend_on_service() {
    let schedule = stop::schedule(GRACE);
    let steps_served = steps(shutdown::Shutdown::new(schedule, true));
    let expected = [
        (stop::Phase::Leaving, time::Duration::ZERO),
        (stop::Phase::Draining, schedule.draining),
        (stop::Phase::Ending, schedule.ending),
        (stop::Phase::Closing, schedule.closing),
    ];
    assert_eq!(steps_served, expected);
    let steps_unserved = steps(shutdown::Shutdown::new(schedule, false));
    let zero = time::Duration::ZERO;
    assert_eq!(steps_unserved, expected.map(|(phase, _)| (phase, zero)));
}
