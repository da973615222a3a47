//! Reads wait for a replica only if it is likely to apply the missing writes in time.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_session::wait;

const HEALTHY: wait::ReplicaState = wait::ReplicaState {
    is_behind: true,
    delay: time::Duration::from_millis(3),
    silence: time::Duration::from_millis(90),
    lag: time::Duration::from_millis(90),
    staleness: time::Duration::from_secs(5),
};

const TIME_LEFT: time::Duration = time::Duration::from_secs(1);

#[test]
fn waits_for_healthy() {
    let wait = wait::decide(HEALTHY, TIME_LEFT);
    assert_eq!(wait, wait::Wait::AtMost(wait::MAX_WAIT));
    let ready = wait::ReplicaState {
        is_behind: false,
        ..HEALTHY
    };
    assert_eq!(wait::decide(ready, TIME_LEFT), wait::Wait::Ready);
}

#[test]
fn skips_unsuitable() {
    let slow = wait::ReplicaState {
        delay: time::Duration::from_millis(50),
        ..HEALTHY
    };
    let disconnected = wait::ReplicaState {
        silence: time::Duration::from_secs(2),
        ..HEALTHY
    };
    let stale = wait::ReplicaState {
        is_behind: false,
        lag: time::Duration::from_secs(9),
        ..HEALTHY
    };
    for replica in [slow, disconnected, stale] {
        assert_eq!(wait::decide(replica, TIME_LEFT), wait::Wait::Primary);
    }
    let short = time::Duration::from_millis(2);
    assert_eq!(wait::decide(HEALTHY, short), wait::Wait::Primary);
}

#[test]
fn delay_follows_reports() {
    let mut delays = wait::ApplyDelay::default();
    let log = position::LogPosition;
    for n in 1..=40 {
        delays.observe(Timestamp::from_millis(n * 100), log(n), log(n - 1));
        delays.observe(Timestamp::from_millis(n * 100 + 8), log(n), log(n));
    }
    let later = Timestamp::from_millis(4_050);
    let delay = delays.delay(later);
    assert!(delay > time::Duration::from_millis(7) && delay <= time::Duration::from_millis(8));
    delays.observe(later, log(60), log(40));
    let pending = delays.delay(Timestamp::from_millis(5_050));
    assert_eq!(
        pending,
        time::Duration::from_secs(1),
        "pending entries count"
    );
}
