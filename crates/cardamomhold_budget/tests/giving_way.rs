//! Who gives way when bytes or connections are short, and who doesn't.

// Clippy allows `unwrap` in tests, but not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_budget::budget;
use cardamomhold_budget::plan;
use cardamomhold_core::time::Timestamp;

const LIMITS: plan::Limits = plan::Limits {
    bytes: 1_000,
    callers: 4,
    starts: 2,
    peers: 2,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn open(budget: &mut budget::Budget, ms: u64) -> budget::Holder {
    let (holder, steps) = budget.open(at(ms), budget::Kind::Caller).unwrap();
    assert_eq!(steps, []);
    budget.start(holder);
    holder
}

/// Guards against shedding while there is room.
#[test]
fn fitting_charges_are_granted() {
    let mut budget = budget::Budget::new(LIMITS);
    let (a, b) = (open(&mut budget, 0), open(&mut budget, 0));
    let granted = budget.charge(at(0), a, 600);
    assert_eq!(granted, [budget::Step::Grant(a)]);
    // Long without progress, but nothing is short.
    let granted = budget.charge(at(60_000), b, 400);
    assert_eq!(granted, [budget::Step::Grant(b)]);
    assert_eq!(budget.next_wakeup(), None);
}

/// Guards against closing a client that has just begun, and against closing more than is needed.
#[test]
fn largest_without_progress_gives_way() {
    let mut budget = budget::Budget::new(LIMITS);
    let [a, b, c, d] = [0, 0, 0, 0].map(|ms| open(&mut budget, ms));
    budget.charge(at(0), a, 300);
    budget.charge(at(0), b, 500);
    budget.charge(at(900), c, 200);
    assert_eq!(budget.charge(at(950), d, 400), []);
    assert_eq!(budget.next_wakeup(), Some(at(1_000)));
    let steps = budget.settle(at(1_000));
    let reason = budget::Reason::Memory;
    assert_eq!(steps, [budget::Step::GiveWay(b, reason)]);
    // The 500 bytes on their way suffice.
    assert_eq!(budget.settle(at(5_000)), []);
    assert_eq!(budget.close(at(5_000), b), [budget::Step::Grant(d)]);
}

/// Guards against closing a holder that has finished meanwhile.
#[test]
fn progress_keeps_connection() {
    let mut budget = budget::Budget::new(LIMITS);
    let (a, b) = (open(&mut budget, 0), open(&mut budget, 0));
    budget.charge(at(0), a, 800);
    budget.charge(at(0), b, 300);
    let steps = budget.settle(at(2_000));
    assert_eq!(steps, [budget::Step::GiveWay(a, budget::Reason::Memory)]);
    let steps = budget.release(at(2_100), a, 800);
    assert_eq!(steps, [budget::Step::Stay(a), budget::Step::Grant(b)]);
}

/// Guards against a small charge that overtakes a large one without end.
#[test]
fn charges_wait_in_order() {
    let mut budget = budget::Budget::new(LIMITS);
    let [a, b, c] = [0, 0, 0].map(|ms| open(&mut budget, ms));
    budget.charge(at(0), a, 800);
    assert_eq!(budget.charge(at(1), b, 500), []);
    assert_eq!(budget.charge(at(2), c, 100), []);
    let steps = budget.release(at(3), a, 800);
    assert_eq!(steps, [budget::Step::Grant(b), budget::Step::Grant(c)]);
}

/// Guards against a charge that waits for ever, as it never fits.
#[test]
fn oversized_charge_is_refused() {
    let mut budget = budget::Budget::new(LIMITS);
    let a = open(&mut budget, 0);
    budget.charge(at(0), a, 600);
    let reason = budget::Reason::TooLarge;
    let steps = budget.charge(at(0), a, 500);
    assert_eq!(steps, [budget::Step::GiveWay(a, reason)]);
}

/// Guards against half-open starts that keep out others.
#[test]
fn oldest_start_gives_way() {
    let mut budget = budget::Budget::new(LIMITS);
    let (first, _) = budget.open(at(0), budget::Kind::Caller).unwrap();
    let (_, steps) = budget.open(at(1), budget::Kind::Caller).unwrap();
    assert_eq!(steps, []);
    let (_, steps) = budget.open(at(2), budget::Kind::Caller).unwrap();
    let reason = budget::Reason::Starts;
    assert_eq!(steps, [budget::Step::GiveWay(first, reason)]);
}

/// Guards against callers that take the descriptors of other instances and members.
#[test]
fn kinds_have_own_bounds() {
    let mut budget = budget::Budget::new(LIMITS);
    for _ in 0..LIMITS.callers {
        open(&mut budget, 0);
    }
    let refused = budget.open(at(0), budget::Kind::Caller);
    assert_eq!(refused, Err(budget::Reason::Callers));
    for _ in 0..LIMITS.peers {
        budget.open(at(0), budget::Kind::Peer).unwrap();
    }
    let refused = budget.open(at(0), budget::Kind::Peer);
    assert_eq!(refused, Err(budget::Reason::Peers));
    for _ in 0..100 {
        budget.open(at(0), budget::Kind::Outgoing).unwrap();
    }
}

/// Guards against limits that ordinary clients reach: several hundred sessions on the smallest
/// machine, and a line of 1 MiB with its copies.
#[test]
fn smallest_machine_suffices() {
    let limits = plan::Limits::of_machine(plan::DEFAULT_MEMORY_MB, plan::DEFAULT_MAX_FDS);
    assert!(limits.callers >= 900, "{limits:?}");
    assert!(limits.starts >= 200, "{limits:?}");
    assert!(limits.bytes >= 8 << 20, "{limits:?}");
    let tiny = plan::Limits::of_machine(1, 1);
    assert!(tiny.callers >= 1 && tiny.bytes >= 4 << 20, "{tiny:?}");
}
