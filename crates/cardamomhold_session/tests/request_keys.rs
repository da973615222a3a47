//! Failures at every step of a request: a key takes effect at most once, and "not run" is never
//! reported for a request that ran or may still run.

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;
use cardamomhold_session::retry;
use proptest::prelude::*;
use proptest::test_runner;

const DEADLINE_MS: u64 = 1000;
const SEED: u64 = 0x5eed_0001;

/// Simulated result of one attempt.
#[derive(Debug, Clone, Copy)]
enum Scenario {
    Refused,
    QueueFull,
    LostBeforeRun,
    BrokenBeforeCommit,
    LostAfterCommit,
    LostWithRows,
    Unconfirmed,
    /// Continues after the proxy closed its stream, and commits while a later attempt runs.
    Late,
    Answered,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Attempt(Scenario, u64),
    LateCommit,
    Promotion,
}

/// A committed row.
#[derive(Debug, Clone, Copy)]
struct Row {
    confirmed: bool,
}

/// Minimal model of the group's data.
#[derive(Debug, Default)]
struct World {
    rows: Vec<Row>,
    /// Number of attempts that may still commit.
    late: usize,
}

impl World {
    /// Commits one attempt; fails if its key has committed before.
    fn commit(&mut self, has_key: bool, confirmed: bool) -> bool {
        if has_key && !self.rows.is_empty() {
            return false;
        }
        self.rows.push(Row { confirmed });
        true
    }

    fn confirm(&mut self) {
        for row in &mut self.rows {
            row.confirmed = true;
        }
    }

    /// Discards unconfirmed rows; attempts on the old primary can't commit any more.
    fn promote(&mut self) {
        self.rows.retain(|row| row.confirmed);
        self.late = 0;
    }

    fn commit_late(&mut self, has_key: bool) {
        if self.late > 0 {
            self.late -= 1;
            self.commit(has_key, false);
        }
    }

    fn attempt(&mut self, has_key: bool, scenario: Scenario) -> (outcome::Outcome, bool) {
        let not_run = |refusal| (outcome::Outcome::NotRun(refusal), false);
        let unknown = |doubt| (outcome::Outcome::Unknown(doubt), false);
        match scenario {
            Scenario::Refused => return not_run(outcome::Refusal::NoPrimary),
            Scenario::QueueFull => return not_run(outcome::Refusal::QueueFull),
            Scenario::LostBeforeRun => return unknown(outcome::Doubt::OwnerLost),
            Scenario::BrokenBeforeCommit if has_key => {
                return not_run(outcome::Refusal::ConnectFailed);
            }
            Scenario::BrokenBeforeCommit => return unknown(outcome::Doubt::ConnectionLost),
            Scenario::Late => {
                self.late += 1;
                return unknown(outcome::Doubt::DeadlinePassed);
            }
            Scenario::LostAfterCommit
            | Scenario::LostWithRows
            | Scenario::Unconfirmed
            | Scenario::Answered => {}
        }
        self.commit(has_key, false);
        match scenario {
            Scenario::LostAfterCommit => unknown(outcome::Doubt::ConnectionLost),
            Scenario::LostWithRows => (
                outcome::Outcome::Unknown(outcome::Doubt::ConnectionLost),
                true,
            ),
            Scenario::Unconfirmed => unknown(outcome::Doubt::Unconfirmed),
            _ => {
                self.confirm();
                (outcome::Outcome::Ran, false)
            }
        }
    }
}

/// Runs one request; returns the outcome for the caller, or `None` when the events end before.
fn call(
    world: &mut World,
    idempotency: retry::Idempotency,
    doubt: Option<outcome::Doubt>,
    events: &mut impl Iterator<Item = Event>,
) -> Option<outcome::Outcome> {
    let has_key = idempotency == retry::Idempotency::Key;
    let mut now = Timestamp::default();
    let deadline = now.after(time::Duration::from_millis(DEADLINE_MS));
    let mut retry = retry::Retry::resume(idempotency, deadline, doubt);
    let mut has_rows = false;
    for event in events {
        match event {
            Event::LateCommit => world.commit_late(has_key),
            Event::Promotion => world.promote(),
            Event::Attempt(scenario, millis) => {
                now = now.after(time::Duration::from_millis(millis));
                let (outcome, forwarded) = world.attempt(has_key, scenario);
                assert!(!has_rows, "a second answer after rows of the first one");
                has_rows |= forwarded;
                if outcome == outcome::Outcome::Ran {
                    return Some(outcome);
                }
                let attempt = retry::Attempt {
                    outcome,
                    replica: None,
                    forwarded,
                    owner: None,
                };
                match retry.record_failure(now, attempt) {
                    retry::Step::Now | retry::Step::Later => {}
                    retry::Step::GiveUp(outcome) => return Some(outcome),
                }
            }
        }
    }
    None
}

fn scenario() -> impl Strategy<Value = Scenario> {
    prop_oneof![
        Just(Scenario::Refused),
        Just(Scenario::QueueFull),
        Just(Scenario::LostBeforeRun),
        Just(Scenario::BrokenBeforeCommit),
        Just(Scenario::LostAfterCommit),
        Just(Scenario::LostWithRows),
        Just(Scenario::Unconfirmed),
        Just(Scenario::Late),
        Just(Scenario::Answered),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (scenario(), 0..400u64).prop_map(|(scenario, millis)| Event::Attempt(scenario, millis)),
        2 => Just(Event::LateCommit),
        1 => Just(Event::Promotion),
    ]
}

fn config() -> test_runner::Config {
    let cases = std::env::var("CARDAMOMHOLD_CASES").ok();
    test_runner::Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(5_000),
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A caller that retries with its key until the outcome is "ran" ends with exactly one row.
    #[test]
    fn key_runs_once(events in proptest::collection::vec(event(), 1..40)) {
        let mut world = World::default();
        let mut events = events.into_iter();
        let mut doubt = None;
        while let Some(outcome) = call(&mut world, retry::Idempotency::Key, doubt, &mut events) {
            prop_assert!(world.rows.len() <= 1, "{} rows of one key", world.rows.len());
            match outcome {
                outcome::Outcome::Ran => {
                    world.promote();
                    prop_assert_eq!(world.rows.len(), 1, "an acknowledged row is lost");
                    break;
                }
                outcome::Outcome::NotRun(refusal) => {
                    let effects = world.rows.len() + world.late;
                    prop_assert_eq!(effects, 0, "reported {}", refusal);
                }
                outcome::Outcome::Unknown(cause) => doubt = Some(cause),
            }
        }
        while world.late > 0 {
            world.commit_late(true);
        }
        prop_assert!(world.rows.len() <= 1);
    }

    /// A request without a key is not sent again once it may have run.
    #[test]
    fn unkeyed_at_most_once(events in proptest::collection::vec(event(), 1..20)) {
        let mut world = World::default();
        let outcome = call(&mut world, retry::Idempotency::None, None, &mut events.into_iter());
        let effects = world.rows.len() + world.late;
        prop_assert!(effects <= 1, "{} effects", effects);
        if let Some(outcome::Outcome::NotRun(refusal)) = outcome {
            prop_assert_eq!(effects, 0, "reported {}", refusal);
        }
    }
}
